/** What replicas declare about whether they accept what is sent to them. */

/** Where a declaration was read. */
export enum DeclarationSource {
  /** The replica's entry in the platform's registry. */
  Entry = 'entry',
  /** A report that the replica returned. */
  Report = 'report',
  /** The head of any response of the replica. */
  Response = 'response',
  /** Another daemon that has read the declaration. */
  Peer = 'peer',
}

/** What the head of a response declares about the replica. */
export interface ReplicaDeclaration {
  /** Whether the replica is shutting down. */
  readonly isLeaving: boolean;
  /** Time for which the replica wants nothing from this daemon, in milliseconds; 0 when it states none. */
  readonly retryAfterMs: number;
}

/** Whether a replica accepts what is sent to it, as far as this daemon knows. */
export enum AvailabilityState {
  Accepting = 'accepting',
  /** The replica has asked this daemon to send it nothing for a while. */
  Backoff = 'backoff',
  /** The registry no longer lists the replica. */
  Unlisted = 'unlisted',
  /** The replica is shutting down. */
  Leaving = 'leaving',
}

/** A state and since when it holds. */
export interface Availability {
  readonly state: AvailabilityState;
  /** Time since the declaration, in milliseconds; 0 while the replica accepts what is sent to it. */
  readonly forMs: number;
}

/** A replica that leaves, as daemons tell each other. */
export interface LeavingReplica {
  /** Incarnation of the replica. */
  readonly replica: string;
  /** Monotonic time of this daemon at which the replica was first known to leave, in milliseconds. */
  readonly since: number;
}
