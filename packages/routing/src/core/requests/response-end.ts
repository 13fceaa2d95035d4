/**
 * How a response to a caller that is not whole ends, whatever it ends for.
 *
 * A response with neither a length nor chunks is whole when its connection closes in good order, which the system also does
 * for a process that exits. So its connection has to be reset, and what is open when the process exits in the same step.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { TimerService } from '@celeryyoke/core';

/**
 * Time from the last bytes until their connection is reset, in milliseconds: callers read the end of the connection with
 * bytes that are still unread, and some of them can't tell a reset from a plain end then.
 */
const RESET_DELAY_MS = 50;

const brokenByReset = new WeakSet<ServerResponse>();

/** Records that a response is broken off by a reset, as its replica's had neither a length nor chunks. */
export function markForReset(res: ServerResponse): void {
  brokenByReset.add(res);
}

/** Ends a response that is not whole so that it does not look complete; nothing may be written to it any more. */
export function breakOff(res: ServerResponse, timers: Pick<TimerService, 'after'>): void {
  if (brokenByReset.has(res)) timers.after(RESET_DELAY_MS, () => breakOffNow(res));
  else breakOffNow(res);
}

function breakOffNow(res: ServerResponse): void {
  if (brokenByReset.has(res)) res.socket?.resetAndDestroy();
  else res.destroy();
}

/** Responses whose last byte has not been handed to the system. */
export class OpenResponses {
  private readonly open = new Set<ServerResponse>();

  get count(): number {
    return this.open.size;
  }

  [Symbol.iterator](): IterableIterator<ServerResponse> {
    return this.open.values();
  }

  /** Adds a response until it is written, or its connection has closed. */
  add(res: ServerResponse): void {
    this.open.add(res);
    const remove = (): void => {
      this.open.delete(res);
    };
    res.once('finish', remove);
    res.once('close', remove);
  }

  /** Returns the response that is open on a connection. */
  on(socket: Socket): ServerResponse | undefined {
    return [...this.open].find((res) => res.socket === socket);
  }

  /** Breaks all of them off in this step. */
  breakOffNow(): void {
    for (const res of [...this.open]) breakOffNow(res);
  }
}
