/** Reads a whole answer that is not streamed, and makes sure that nothing of it is missing. */
import type { Readable } from 'node:stream';

import type { TimerService } from '@celeryyoke/core';
import { ByteBuffer, CeleryyokeError } from '@celeryyoke/core';

/** How long an answer may take to end after its last event, in milliseconds. */
const END_MS = 1000;

/** Options of reading a whole answer. */
export interface WholeOptions {
  readonly upstream: string;
  readonly maxBytes: number;
  readonly signal: AbortSignal;
}

/** A whole answer. */
export interface WholeAnswer {
  readonly bytes: Buffer;
  /** What the bytes say as JSON. */
  readonly value: unknown;
}

function collect(body: Readable, { upstream, maxBytes, signal }: WholeOptions): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const answer = new ByteBuffer();
    const onAbort = (): void => fail(signal.reason);
    function fail(reason: unknown): void {
      signal.removeEventListener('abort', onAbort);
      reject(reason);
    }
    const onBroken = (cause: Error): void =>
      fail(new CeleryyokeError('OutcomeUnknown', { upstream }, { cause }));
    body.on('data', (chunk: Buffer) => {
      if (answer.length + chunk.length > maxBytes) onBroken(new Error('The answer is too large.'));
      else answer.append(chunk);
    });
    body.once('end', () => {
      signal.removeEventListener('abort', onAbort);
      resolve(answer.bytes);
    });
    body.on('error', onBroken);
    body.once('close', () => onBroken(new Error('The answer was cut off.')));
    signal.addEventListener('abort', onAbort, { once: true });
    if (signal.aborted) onAbort();
  });
}

/**
 * Reads a whole JSON answer.
 * @param body - The upstream's body.
 * @param options - Bounds.
 * @returns Its bytes and what they say.
 * @throws CeleryyokeError OutcomeUnknown when it was cut off or is not whole JSON.
 */
export async function readWholeAnswer(body: Readable, options: WholeOptions): Promise<WholeAnswer> {
  const bytes = await collect(body, options);
  try {
    // A connection that is closed early can look like the end of the answer; cut JSON does not parse.
    return { bytes, value: JSON.parse(bytes.toString('utf8')) };
  } catch (cause) {
    throw new CeleryyokeError('OutcomeUnknown', { upstream: options.upstream }, { cause });
  }
}

/**
 * Waits for the end of a body whose last event has come.
 * @param body - The upstream's body.
 * @param timers - Bounds the wait.
 * @returns Whether it ended by itself.
 */
export function bodyEnded(body: Readable, timers: TimerService): Promise<boolean> {
  if (body.readableEnded) return Promise.resolve(true);
  if (body.destroyed) return Promise.resolve(false);
  return new Promise((resolve) => {
    const timer = timers.after(END_MS, () => resolve(false));
    const settle = (isEnded: boolean): void => {
      timer.cancel();
      resolve(isEnded);
    };
    body.once('end', () => settle(true));
    body.once('close', () => settle(body.readableEnded));
    body.resume();
  });
}
