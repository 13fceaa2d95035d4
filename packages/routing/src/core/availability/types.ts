/** What replicas declare about whether they accept requests. */

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

/** Whether a replica accepts requests, as far as this daemon knows. */
export enum AvailabilityState {
  Accepting = 'accepting',
  /** The replica has asked this daemon to send it nothing for a while. */
  Backoff = 'backoff',
  /** The replica is shutting down. */
  Leaving = 'leaving',
}

/** A state and since when it holds. */
export interface Availability {
  readonly state: AvailabilityState;
  /** Time since the declaration, in milliseconds; 0 while the replica accepts requests. */
  readonly forMs: number;
}
