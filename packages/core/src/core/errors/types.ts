/** Types of the error catalogue. */

/** What is known about whether a request ran when it ends with an error. */
export enum RunState {
  /** It is proved that no upstream ran it. */
  NotRun = 'not-run',
  /** It may have run, in part or in whole. */
  Unknown = 'unknown',
  /** The error does not concern a request's run. */
  None = 'none',
}

/** Values put into a message. */
export type ErrorParams = Readonly<Record<string, string | number | undefined>>;

/** One entry of the catalogue. */
export interface ErrorEntry {
  /** Stable result code; never used again for another meaning. */
  readonly code: number;
  /** Short title in the docs. */
  readonly title: string;
  /** HTTP status with which callers and operators see it. */
  readonly status: number;
  /** What is known about the request's run. */
  readonly run: RunState;
  /** Makes the message. */
  readonly message: (params: ErrorParams) => string;
  /** What to do about it. */
  readonly hint: string;
}
