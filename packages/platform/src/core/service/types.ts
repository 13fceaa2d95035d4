/** Plain services: any method, bodies streamed both ways. */
import type { Readable } from 'node:stream';

import type { ExchangeAnswer, HeaderMap } from '../http/index.js';

/** A call of a plain service. */
export interface ServiceCall {
  readonly method: string;
  /** Path below the service's own prefix, with its query. */
  readonly path: string;
  /** End-to-end headers; hop-by-hop ones are left out by the client. */
  readonly headers: HeaderMap;
  /** Body as it comes from the caller; it is read only once a connection stands. */
  readonly body?: Readable | Buffer | string | undefined;
  readonly signal: AbortSignal;
}

/** A client of one upstream of a plain service. */
export interface ServiceClient {
  /**
   * Sends a call once.
   * @param call - The call.
   * @returns The answer once its head has come; its body is raw.
   * @throws CeleryyokeError UpstreamRefused when it is proved that it did not run, OutcomeUnknown otherwise.
   */
  call(call: ServiceCall): Promise<ExchangeAnswer>;
  /** Closes its connections. */
  close(): Promise<void>;
}

/** Makes a client for an upstream's address. */
export type ServiceClientFactory = (name: string, address: string) => ServiceClient;
