/** Limits that overloaded replicas declare. */

/** Limit of a replica for all daemons together, as its responses declare it. */
export interface ReplicaLimitRow {
  /** Identity of one incarnation of the replica. */
  readonly replica: string;
  /** Requests, or rejections, per second; undefined once its responses declare no limit any more. */
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

/** A daemon's request for slots of a replica. */
export interface SlotRequest {
  readonly replica: string;
  /** Requests that the replica works on at once. */
  readonly slots: number;
  /** Slots that the daemon has already. */
  readonly held: number;
  readonly wanted: number;
}

/** Response to a {@link SlotRequest}. */
export interface SlotGrant {
  readonly granted: number;
  /** Time after which to ask again, in milliseconds; 0 when all was granted. */
  readonly waitMs: number;
}

/** The end of a request that had a slot. */
export interface SlotRelease {
  readonly replica: string;
  /** Rejections per second that the replica bears. */
  readonly rejectionsPerSecond: number;
  /** Whether the replica rejected the request for want of room. */
  readonly wasRejected: boolean;
}
