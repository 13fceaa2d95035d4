/** Rate limits that overloaded replicas declare. */

/** Rate limit of a replica for all daemons together, as its responses declare it. */
export interface ReplicaLimitRow {
  /** Identity of one incarnation of the replica. */
  readonly replica: string;
  /** Requests per second; undefined once its responses declare no limit any more. */
  readonly ratePerSecond: number | undefined;
  /** Incremented with each change, whichever daemon sees it. */
  readonly version: number;
}

/** Whether a request may be sent to a replica now. */
export interface AttemptPermit {
  readonly isGranted: boolean;
  /** Time after which to ask again, in milliseconds; 0 when the request is granted. */
  readonly waitMs: number;
}
