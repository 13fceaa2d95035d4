/** Exchanges whose response is small and buffered as a whole. */
import type { TimerService } from '@celeryyoke/core';
import { ByteBuffer } from '@celeryyoke/core';

import type { ChannelPool, UpstreamAddress } from './pool.js';
import type { ResponseSink, ChannelFailure, HeaderMap, ExchangeHandle, UpstreamCall } from './types.js';

/** A complete response. */
export interface BufferedResponse {
  readonly status: number;
  readonly headers: HeaderMap;
  readonly body: Buffer;
}

/** An exchange that brought no complete response. */
export class ExchangeError extends Error {
  /**
   * @param failure - Whether the request was sent.
   */
  constructor(
    readonly failure: ChannelFailure,
    message: string,
  ) {
    super(message);
  }
}

/** An exchange whose response is larger than its caller takes. */
export class ResponseTooLargeError extends ExchangeError {}

/** Limits of an exchange. */
export interface ExchangeOptions {
  readonly timers: TimerService;
  /** Timeout until the response is complete, in milliseconds. */
  readonly timeoutMs: number;
  /** Largest body of the response, in bytes. */
  readonly maxBodyBytes: number;
  /** Cancels the exchange. */
  readonly signal?: AbortSignal;
}

/**
 * Sends a request on a pooled connection and buffers the response.
 * @throws ResponseTooLargeError when the response is larger than the options allow.
 * @throws ExchangeError when the response is not complete in time.
 */
export function requestBuffered(
  pool: ChannelPool,
  upstream: UpstreamAddress,
  call: UpstreamCall,
  options: ExchangeOptions,
): Promise<BufferedResponse> {
  return bufferResponse((sink) => pool.send(upstream, call, sink), options);
}

/**
 * Buffers the response of an exchange.
 * @param start - Sends the request.
 * @throws ResponseTooLargeError when the response is larger than the options allow.
 * @throws ExchangeError when the response is not complete in time.
 */
export function bufferResponse(
  start: (sink: ResponseSink) => ExchangeHandle,
  options: ExchangeOptions,
): Promise<BufferedResponse> {
  return new Promise((resolve, reject) => {
    const body = new ByteBuffer();
    let status = 0;
    let headers: HeaderMap = {};
    let isTooLarge = false;
    const exchange = start({
      onSent: () => undefined,
      onHead: (code, fields) => {
        status = code;
        headers = fields;
      },
      onData: (chunk) => {
        body.append(chunk);
        isTooLarge = body.length > options.maxBodyBytes;
        if (isTooLarge) exchange.cancel('The response is too large.');
      },
      onEnd: () => {
        cleanUp();
        resolve({ status, headers, body: body.bytes });
      },
      onFail: (failure, err) => {
        cleanUp();
        const FailureError = isTooLarge ? ResponseTooLargeError : ExchangeError;
        reject(new FailureError(failure, err.message));
      },
    });
    // Cancelling makes the exchange fail, which rejects the promise.
    const timer = options.timers.after(options.timeoutMs, () =>
      exchange.cancel(`No complete response within ${options.timeoutMs} ms.`),
    );
    const abort = (): void => exchange.cancel('The call was aborted.');
    options.signal?.addEventListener('abort', abort, { once: true });
    function cleanUp(): void {
      timer?.cancel();
      options.signal?.removeEventListener('abort', abort);
    }
  });
}
