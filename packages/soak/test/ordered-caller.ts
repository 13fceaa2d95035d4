/** Callers that read each event of their streams. */
import type { IncomingMessage } from 'node:http';
import { request } from 'node:http';

import { MODEL_NAME } from '@celeryyoke/adapter/testing';
import { createSystemTimers } from '@celeryyoke/core';

import { CALLER_HOST } from '../src/core/site/index.js';

const OK = 200;
/** Pause of a caller whom nothing tells when to come back, in seconds. */
const RETRY_S = 0.3;
/** Time for which a caller that reads in pauses does not read, in milliseconds. */
const READ_PAUSE_MS = 5;
const MS_PER_SECOND = 1000;

const timers = createSystemTimers();

/** An event as its caller has received it. */
export interface OrderedEvent {
  readonly id: number;
  readonly version: string;
  readonly run: string;
  /** Of the event after which its run was to go on. */
  readonly after: number;
}

/** What one attempt of a caller has brought. */
export interface OrderedAnswer {
  readonly status: number;
  readonly events: readonly OrderedEvent[];
  readonly isWhole: boolean;
  readonly retryAfterMs: number;
}

const ID_LINE = /^id: ?(\d+)$/m;
const DATA_LINE = /^data: ?(\S+) (\S+) (\d+)$/m;

/** Reads an event as a client of event streams does. */
function readEvent(text: string): OrderedEvent | undefined {
  const [, id] = ID_LINE.exec(text) ?? [];
  const [, version = '', run = '', after = ''] = DATA_LINE.exec(text) ?? [];
  return id === undefined ? undefined : { id: Number(id), version, run, after: Number(after) };
}

/** One attempt of a caller. */
export interface OrderedCall {
  readonly callers: string;
  readonly id: string;
  readonly path: string;
  /** Undefined for a request that is no generation. */
  readonly adapter: number | undefined;
  readonly leftMs: number;
  readonly leavesAfter: number;
  readonly lastEventId?: string;
  readonly resumes: string | undefined;
  readonly overlaps: boolean;
  readonly readsSlowly: boolean;
}

function generationHeaders(adapter: number): Readonly<Record<string, string>> {
  return { 'celeryyoke-model': `${MODEL_NAME}/a${adapter}`, 'celeryyoke-token-count': '200,60' };
}

/** Sends the request of a stream, and reads what it brings. */
export function callStream(options: OrderedCall): Promise<OrderedAnswer> {
  const { callers, id, path, adapter, leftMs, leavesAfter, lastEventId, resumes, overlaps, readsSlowly } =
    options;
  const [host, port] = callers.split(':') as [string, string];
  const events: OrderedEvent[] = [];
  return new Promise((resolve) => {
    let hasLeft = false;
    let res: IncomingMessage | undefined;
    const finish = (isWhole: boolean): void => {
      const status = res?.statusCode ?? 0;
      resolve({
        status,
        events: status === OK ? [...events] : [],
        isWhole: isWhole && !hasLeft && status === OK,
        retryAfterMs: Number(res?.headers['retry-after'] ?? RETRY_S) * MS_PER_SECOND,
      });
    };
    const req = request(
      {
        host,
        port,
        path,
        method: 'POST',
        agent: false,
        headers: {
          host: CALLER_HOST,
          'celeryyoke-request-id': id,
          'celeryyoke-deadline-remaining': String(leftMs),
          ...(adapter === undefined ? {} : generationHeaders(adapter)),
          ...(lastEventId === undefined ? {} : { 'last-event-id': lastEventId }),
          ...(resumes === undefined ? {} : { resumes }),
        },
      },
      (received) => {
        res = received;
        let unread = '';
        received.on('data', (chunk: Buffer) => {
          if (readsSlowly) {
            received.pause();
            timers.after(READ_PAUSE_MS, () => received.resume());
          }
          if (hasLeft || received.statusCode !== OK) return;
          // The line feed of a line's end may still come.
          unread = (unread + chunk.toString('latin1')).replace(/\r\n|\r(?!$)/g, '\n');
          const texts = unread.split('\n\n');
          unread = texts.pop()!;
          for (const text of texts) {
            const event = readEvent(text);
            if (event !== undefined && !hasLeft) events.push(event);
            if (events.length < leavesAfter) continue;
            hasLeft = true;
            if (overlaps) finish(false);
            else req.destroy();
          }
        });
        received.on('end', () => finish(received.complete));
        received.on('error', () => finish(false));
        received.on('close', () => finish(false));
      },
    );
    req.on('error', () => finish(false));
    const timer = timers.after(leftMs, () => req.destroy());
    req.on('close', () => {
      timer.cancel();
      finish(false);
    });
    req.end('prompt');
  });
}
