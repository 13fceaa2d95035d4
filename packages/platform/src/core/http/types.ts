/** Types of one HTTP exchange with an upstream. */
import type { Readable } from 'node:stream';

/** Header names and their values; a name that came more than once has a list. */
export type HeaderMap = Readonly<Record<string, string | readonly string[]>>;

/** A request to an upstream. */
export interface ExchangeCall {
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body?: string | Buffer | Readable | undefined;
  /** Cancels the exchange, also while the answer's body still comes. */
  readonly signal?: AbortSignal | undefined;
  /** Asked in the very step that hands the request to a socket; when false, it is refused as not sent. */
  readonly isAllowed?: (() => boolean) | undefined;
}

/** An answer whose body is still to come. */
export interface ExchangeAnswer {
  readonly status: number;
  readonly headers: HeaderMap;
  /** The raw body; when it breaks, it is destroyed with StreamBroken. */
  readonly body: Readable;
}

/** Connections to one upstream. */
export interface Exchanger {
  /**
   * Sends a request once.
   * @param call - The request.
   * @returns The answer once its head has come.
   * @throws CeleryyokeError UpstreamRefused when no byte was sent, OutcomeUnknown otherwise.
   */
  send(call: ExchangeCall): Promise<ExchangeAnswer>;
  /** Waits for running exchanges, then closes the connections. */
  close(): Promise<void>;
  /** Closes the connections at once; running exchanges break. */
  destroy(): Promise<void>;
}

/** Options of an exchanger. */
export interface ExchangerOptions {
  /** Upstream's name, for errors. */
  readonly name: string;
  /** Base URL, such as `http://10.0.0.1:8000`. */
  readonly address: string;
  /** Longest time to set up a connection in milliseconds; 2,000 when left out. */
  readonly connectTimeoutMs?: number;
}
