/** Rates that replicas in need state. */

/** What a replica takes from all daemons together, as its answers say. */
export interface ReplicaLimitRow {
  /** One start of the replica. */
  readonly replica: string;
  /** Requests a second; undefined once its answers name no limit any more. */
  readonly ratePerSecond: number | undefined;
  /** Raised with each change, whoever saw it. */
  readonly version: number;
}

/** Whether a request may be sent to a replica now. */
export interface SendPermit {
  readonly isGranted: boolean;
  /** Time after which to ask again, in milliseconds; 0 when it is granted. */
  readonly waitMs: number;
}
