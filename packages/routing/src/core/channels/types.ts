/** One HTTP exchange with a replica. */

/** Headers of an answer, by name in lower case. */
export type HeaderMap = Readonly<Record<string, string | readonly string[] | undefined>>;

/** A request to a replica. */
export interface UpstreamCall {
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** Names and values by turns. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
}

/** Why an exchange failed. */
export enum ChannelFailure {
  /** No byte was handed to a connection. */
  NotSent = 'notSent',
  /** The request was sent; it may have run. */
  Broken = 'broken',
  /** This daemon gave it up. */
  Cancelled = 'cancelled',
}

/** Told of the steps of an exchange; after the end or a failure it hears nothing more. */
export interface AnswerSink {
  /** The first byte is handed to a connection: from now on the request may run. */
  onSent(): void;
  /** The head of the answer has come. */
  onHead(status: number, headers: HeaderMap): void;
  /** Bytes of the body. */
  onData(chunk: Buffer): void;
  /** The answer is complete. */
  onEnd(): void;
  /** The exchange failed. */
  onFail(failure: ChannelFailure, err: Error): void;
}

/** A running exchange. */
export interface RunningExchange {
  /** Breaks it off; the replica sees the connection close. */
  cancel(reason: string): void;
}
