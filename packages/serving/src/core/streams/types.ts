/** Types of streamed answers. */

/** How the relay of one upstream's stream ended. */
export enum RelayEnd {
  /** The closing event came: the caller has the whole answer. */
  Complete = 'complete',
  /** The stream ended or failed before its closing event. */
  Broken = 'broken',
  /** The stream belongs to another answer. */
  Wrong = 'wrong',
  /** The caller took nothing for too long. */
  Stalled = 'stalled',
  /** The request was cancelled while the stream ran. */
  Cancelled = 'cancelled',
}

/** What came of relaying one upstream's stream. */
export interface RelayResult {
  readonly end: RelayEnd;
  /** Why it broke, for logs and records. */
  readonly reason?: string;
}
