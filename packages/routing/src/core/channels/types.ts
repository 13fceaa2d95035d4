/** HTTP exchanges with replicas. */

/** Headers of a response, by name in lower case. */
export type HeaderMap = Readonly<Record<string, string | readonly string[] | undefined>>;

/** A request to a replica. */
export interface UpstreamCall {
  readonly method: string;
  /** Path with the query. */
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
}

/** Why an exchange failed. */
export enum ChannelFailure {
  /** No byte was handed to a connection, so the request can't have run. */
  NotSent = 'notSent',
  /** The request was sent, and may have run. */
  Broken = 'broken',
  /** This daemon cancelled the request after it was sent, so it may have run. */
  Cancelled = 'cancelled',
}

/** Callbacks for the steps of an exchange; none is called after the end or a failure. */
export interface ResponseSink {
  /** The first byte is handed to a connection: from now on the request may run. */
  onSent(): void;
  /** The head of the response has arrived. */
  onHead(status: number, headers: HeaderMap): void;
  /** Bytes of the body have arrived. */
  onData(chunk: Buffer): void;
  /** The response is complete. */
  onEnd(): void;
  /** The exchange failed. */
  onFail(failure: ChannelFailure, err: Error): void;
}

/** Reads the heads of all responses on the connections of a pool. */
export interface ResponseMonitor {
  /**
   * Called with the head of each response, before the sink of its exchange.
   * @param upstream - Id of the upstream that the exchange was sent to.
   */
  onResponseHead(upstream: string, status: number, headers: HeaderMap): void;
}

/** Handle of a running exchange. */
export interface ExchangeHandle {
  /** Cancels the exchange; the replica sees the connection close. */
  cancel(reason: string): void;
}
