/** Small exchanges whose whole answer is read. */
import type { TimerService } from '@celeryyoke/core';

import type { ChannelPool, UpstreamAddress } from './pool.js';
import type { AnswerSink, ChannelFailure, HeaderMap, RunningExchange, UpstreamCall } from './types.js';

/** A whole answer. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: HeaderMap;
  readonly body: Buffer;
}

/** An exchange that brought no whole answer. */
export class ExchangeError extends Error {
  /**
   * Makes the error.
   * @param failure - Whether a byte was sent.
   * @param message - What went wrong.
   */
  constructor(
    readonly failure: ChannelFailure,
    message: string,
  ) {
    super(message);
  }
}

/** Limits of an exchange. */
export interface ReadOptions {
  readonly timers: TimerService;
  /** Longest time until the whole answer has come, in milliseconds. */
  readonly timeoutMs: number;
  /** Ends the exchange early. */
  readonly signal?: AbortSignal;
}

/**
 * Sends a request on a connection of the pool and reads the whole answer.
 * @param pool - The connections.
 * @param upstream - Where to.
 * @param call - The request.
 * @param options - Time, its limit in milliseconds, and a signal that ends the call early.
 * @returns The answer.
 * @throws ExchangeError when it did not come whole and in time.
 */
export function exchangeWhole(
  pool: ChannelPool,
  upstream: UpstreamAddress,
  call: UpstreamCall,
  options: ReadOptions,
): Promise<WholeAnswer> {
  return readWhole((sink) => pool.send(upstream, call, sink), options);
}

/**
 * Reads the whole answer of an exchange.
 * @param start - Sends the request.
 * @param options - Time, its limit in milliseconds, and a signal that ends the call early.
 * @returns The answer.
 * @throws ExchangeError when it did not come whole and in time.
 */
export function readWhole(
  start: (sink: AnswerSink) => RunningExchange,
  options: ReadOptions,
): Promise<WholeAnswer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let status = 0;
    let headers: HeaderMap = {};
    const exchange = start({
      onSent: () => undefined,
      onHead: (code, fields) => {
        status = code;
        headers = fields;
      },
      onData: (chunk) => chunks.push(chunk),
      onEnd: () => {
        release();
        resolve({ status, headers, body: Buffer.concat(chunks) });
      },
      onFail: (failure, err) => {
        release();
        reject(new ExchangeError(failure, err.message));
      },
    });
    // A cancelled exchange fails, and that ends the call.
    const timer = options.timers.after(options.timeoutMs, () =>
      exchange.cancel(`No answer within ${options.timeoutMs} ms.`),
    );
    const stop = (): void => exchange.cancel('The call was given up.');
    options.signal?.addEventListener('abort', stop, { once: true });
    function release(): void {
      timer?.cancel();
      options.signal?.removeEventListener('abort', stop);
    }
  });
}
