/**
 * Sends requests to one upstream and says of each failure whether a byte may have been sent.
 *
 * It stands on undici's `dispatch`, the one interface that tells when a request is handed to a socket: an
 * exchange that fails before is proved not to have run, one that fails after is not.
 */
import type { IncomingHttpHeaders } from 'node:http';

import { CeleryyokeError } from '@celeryyoke/core';
import type { Dispatcher } from 'undici';
import { Pool } from 'undici';

import { AnswerBody } from './body.js';
import type { ExchangeAnswer, ExchangeCall, Exchanger, ExchangerOptions, HeaderMap } from './types.js';

const DEFAULT_CONNECT_TIMEOUT_MS = 2000;
const NO_TIMEOUT = 0;
/** A streamed answer holds its connection, so a request must never wait behind another. */
const UNLIMITED_CONNECTIONS = null;
const KEEP_ALIVE_MS = 30_000;
const FIRST_FINAL_STATUS = 200;

type Settle = (answer: ExchangeAnswer) => void;
type Fail = (err: CeleryyokeError) => void;

/** One exchange; undici calls it back. */
class Exchange implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;

  private body: AnswerBody | undefined;

  private settled = false;

  private readonly onAbort = (): void => this.cancel();

  constructor(
    private readonly upstream: string,
    private readonly call: ExchangeCall,
    private readonly resolve: Settle,
    private readonly reject: Fail,
  ) {
    call.signal?.addEventListener('abort', this.onAbort, { once: true });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    // The library may put a request that it has handed to a socket before on another one; never send it twice.
    const isOver = this.settled || this.controller !== undefined;
    if (isOver || this.call.isAllowed?.() === false) {
      const reason = isOver ? 'The connection closed before the answer.' : 'It may no longer be sent.';
      this.fail(new Error(reason));
      controller.abort(new Error(reason));
      return;
    }
    this.controller = controller;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < FIRST_FINAL_STATUS) return;
    const body = new AnswerBody(controller);
    this.body = body;
    this.settled = true;
    this.resolve({ status, headers: headers as HeaderMap, body });
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.body?.accept(chunk);
  }

  onResponseEnd(): void {
    this.forget();
    this.body?.finish();
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    this.fail(err);
  }

  /** Ends the exchange early. */
  fail(cause: unknown): void {
    this.forget();
    const { upstream } = this;
    if (this.body !== undefined) {
      this.body.fail(new CeleryyokeError('StreamBroken', { upstream }, { cause }));
      return;
    }
    if (this.settled) return;
    this.settled = true;
    const kind = this.controller === undefined ? 'UpstreamRefused' : 'OutcomeUnknown';
    this.reject(new CeleryyokeError(kind, { upstream }, { cause }));
  }

  private cancel(): void {
    const reason: unknown = this.call.signal?.reason;
    const { controller } = this;
    this.fail(reason);
    controller?.abort(reason instanceof Error ? reason : new Error('The exchange was cancelled.'));
  }

  private forget(): void {
    this.call.signal?.removeEventListener('abort', this.onAbort);
  }
}

class PoolExchanger implements Exchanger {
  private readonly pool: Pool;

  constructor(private readonly options: ExchangerOptions) {
    this.pool = new Pool(options.address, {
      connections: UNLIMITED_CONNECTIONS,
      pipelining: 1,
      // How long an answer may take is the caller's to say, by the timer service.
      headersTimeout: NO_TIMEOUT,
      bodyTimeout: NO_TIMEOUT,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: { timeout: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS },
    });
  }

  send(call: ExchangeCall): Promise<ExchangeAnswer> {
    const { name } = this.options;
    return new Promise((resolve, reject) => {
      if (call.signal?.aborted) {
        reject(new CeleryyokeError('UpstreamRefused', { upstream: name }, { cause: call.signal.reason }));
        return;
      }
      const exchange = new Exchange(name, call, resolve, reject);
      try {
        this.pool.dispatch(
          {
            method: call.method,
            path: call.path,
            headers: call.headers as Record<string, string | string[]>,
            body: call.body ?? null,
            idempotent: false,
          },
          exchange,
        );
      } catch (err) {
        exchange.fail(err);
      }
    });
  }

  async close(): Promise<void> {
    if (!this.pool.closed) await this.pool.close();
  }

  async destroy(): Promise<void> {
    if (!this.pool.destroyed) await this.pool.destroy();
  }
}

/**
 * Makes the connections to one upstream; none is opened before the first request.
 * @param options - Name and address.
 * @returns The exchanger.
 */
export function createExchanger(options: ExchangerOptions): Exchanger {
  return new PoolExchanger(options);
}
