/** A client of one upstream of a plain service. */
import { CeleryyokeError, isHopByHop } from '@celeryyoke/core';

import type { ExchangeAnswer, Exchanger, HeaderMap } from '../http/index.js';
import { createExchanger, headerOf, NOT_STARTED_HEADER } from '../http/index.js';
import type { ServiceCall, ServiceClient } from './types.js';

/** Headers of a caller's connection that are this daemon's own to set towards the upstream. */
const OWN_HEADERS: ReadonlySet<string> = new Set(['expect', 'host']);

/** Options of a client of a plain service. */
export interface ServiceClientOptions {
  /** Upstream's name, for errors. */
  readonly name: string;
  /** Base URL. */
  readonly address: string;
  /** Longest time to set up a connection in milliseconds. */
  readonly connectTimeoutMs?: number;
}

/**
 * Leaves out the headers that concern one connection only, among them those that `Connection` names.
 * @param headers - Headers of one hop.
 * @returns Headers for the next hop.
 */
export function endToEndHeaders(headers: HeaderMap): HeaderMap {
  const connection = headerOf(headers, 'connection');
  const entries = Object.entries(headers).filter(
    ([name]) => !OWN_HEADERS.has(name) && !isHopByHop(name, connection),
  );
  return Object.fromEntries(entries);
}

class HttpServiceClient implements ServiceClient {
  private readonly exchanger: Exchanger;

  constructor(private readonly options: ServiceClientOptions) {
    this.exchanger = createExchanger(options);
  }

  async call(call: ServiceCall): Promise<ExchangeAnswer> {
    const answer = await this.exchanger.send({ ...call, headers: endToEndHeaders(call.headers) });
    if (headerOf(answer.headers, NOT_STARTED_HEADER) === '1') {
      answer.body.destroy();
      const cause = new Error(`The service answered with status ${answer.status}.`);
      throw new CeleryyokeError('UpstreamRefused', { upstream: this.options.name }, { cause });
    }
    return { ...answer, headers: endToEndHeaders(answer.headers) };
  }

  close(): Promise<void> {
    return this.exchanger.destroy();
  }
}

/**
 * Makes a client of one upstream of a plain service.
 * @param options - Name and address.
 * @returns The client.
 */
export function createServiceClient(options: ServiceClientOptions): ServiceClient {
  return new HttpServiceClient(options);
}
