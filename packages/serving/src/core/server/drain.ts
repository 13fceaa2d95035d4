/** The drain of the callers' server: what it says to requests that still come in on kept connections. */
import type { ServerResponse } from 'node:http';

import type { TimerService } from '@celeryyoke/core';
import { CeleryyokeError } from '@celeryyoke/core';

/** State of the drain. */
export class Drainer {
  private readonly stopped = new AbortController();

  /** Monotonic milliseconds from which on new requests are refused; undefined as long as nothing drains. */
  private refuseFrom: number | undefined;

  /**
   * Makes the state of a server that does not drain.
   * @param timers - Gives the time.
   * @param graceMs - How long requests on kept connections are still answered, each the last on its connection.
   */
  constructor(
    private readonly timers: TimerService,
    private readonly graceMs: number,
  ) {}

  /** Begins the drain; calling it twice does nothing. */
  begin(): void {
    this.refuseFrom ??= this.timers.now() + this.graceMs;
  }

  /** Ends the drain at once: a stop by force. */
  end(): void {
    this.refuseFrom = -Infinity;
    this.stopped.abort();
  }

  /**
   * Admits a request, or refuses it.
   * @param res - Its answer, which closes its connection during a drain.
   * @throws CeleryyokeError Draining.
   */
  admit(res: ServerResponse): void {
    if (this.refuseFrom === undefined) return;
    res.setHeader('connection', 'close');
    if (this.timers.now() >= this.refuseFrom) throw new CeleryyokeError('Draining');
  }

  /**
   * Waits until new requests are refused.
   * @param hasConnections - Whether there is a kept connection on which one may come in.
   */
  async waitForGrace(hasConnections: boolean): Promise<void> {
    const leftMs = (this.refuseFrom ?? 0) - this.timers.now();
    if (!hasConnections || leftMs <= 0) return;
    await this.timers.sleep(leftMs, this.stopped.signal).catch(() => undefined);
  }
}
