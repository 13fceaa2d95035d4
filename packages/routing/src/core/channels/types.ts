/** HTTP exchanges with replicas. */

/** Headers of a response, by name in lower case. */
export type HeaderMap = Readonly<Record<string, string | readonly string[] | undefined>>;

/** What an exchange is for; what an upstream has declared may rule out some purposes and not others. */
export enum ExchangePurpose {
  /** A request of a caller, the first attempt or a retry. */
  Request = 'request',
  /** A migrated stream that goes on where the state of its run was copied to. */
  Continuation = 'continuation',
  /** An order to an engine. */
  Order = 'order',
  /** A request for the report of an engine. */
  Report = 'report',
  /** A request to copy the state of a run to another engine. */
  RunCopy = 'run-copy',
  /** A read of the platform's store, which is no replica. */
  StoreRead = 'store-read',
}

/** A request to a replica. */
export interface UpstreamCall {
  readonly purpose: ExchangePurpose;
  readonly method: string;
  /** Path with the query. */
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** Whether it must not go over a connection that was used before. */
  readonly needsNewConnection?: boolean;
  /** Id of the caller's request, which the response names; undefined for other calls. */
  readonly requestId?: string;
}

/** Why an exchange failed. */
export enum ChannelFailure {
  /** No byte was handed to a connection, so the request can't have run. */
  NotSent = 'notSent',
  /** The request was sent, and may have run. */
  Broken = 'broken',
  /** This daemon cancelled the request after it was sent, so it may have run. */
  Cancelled = 'cancelled',
  /** Nothing was sent, as the upstream has declared that it takes no such exchange now. */
  Withheld = 'withheld',
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

/** Decides which exchanges of a pool may be sent, and reads the heads of all responses. */
export interface UpstreamGuard {
  /**
   * Returns why an exchange must not be sent now; undefined when it may be. Called before a connection is used,
   * and again in the step that writes the request, as setting up a connection takes a while.
   * @param upstream - Id of the upstream.
   */
  refusal(upstream: string, purpose: ExchangePurpose): string | undefined;
  /**
   * Called with the head of each response, before the sink of its exchange.
   * @param upstream - Id of the upstream that the exchange was sent to.
   * @param requestId - Id of the request that was sent; undefined if it was no caller's.
   */
  onResponseHead(upstream: string, status: number, headers: HeaderMap, requestId: string | undefined): void;
  /** Called when a connection to an upstream has been established. */
  onConnected(upstream: string): void;
  /** Called when a connection to an upstream could not be established. */
  onConnectFailed(upstream: string, err: Error): void;
  /** Called when setting up a connection to an upstream takes longer than usual. */
  onSlowConnect(upstream: string): void;
  /** Called when a connection ended after a request was sent and before the head of its response. */
  onConnectionLost(upstream: string): void;
}

/** Handle of a running exchange. */
export interface ExchangeHandle {
  /** Cancels the exchange; the replica sees the connection close. */
  cancel(reason: string): void;
  /** Whether the replica may have received a byte of the request. */
  mayHaveArrived(): boolean;
  /**
   * Monotonic time at which the connection to the replica was established, in milliseconds; undefined before that, and if
   * a peer holds the connection.
   */
  connectedAt?(): number | undefined;
  /** Stops reading the response, which holds the replica back; what was read before is still passed on. */
  pause(): void;
  /** Goes on reading the response. */
  resume(): void;
}
