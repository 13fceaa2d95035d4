/** Types of the paths from daemons to replicas. */
import type { ReplicaEntry } from '../view/index.js';

/** Why a daemon can't use its own connections to the replicas of a service. */
export enum CutCause {
  /** None of them accepts a connection from here, while peers reach them: this daemon is cut off. */
  NoConnection = 'noConnection',
  /** They accept connections and nothing comes, while peers hear from them: this daemon is cut off. */
  Silence = 'silence',
  /** None of them accepts a connection, and no peer that was asked reaches them either. */
  Unreachable = 'unreachable',
}

/** Services whose replicas one daemon can't reach. */
export interface CutOffRow {
  /** Address of the daemon. */
  readonly address: string;
  /** Raised by the daemon with each change. */
  readonly version: number;
  readonly services: readonly string[];
}

/** What peers say of the replicas of a service. */
export interface PeerEvidence {
  /** Monotonic time of the latest bytes that a peer has received from each replica, at the earliest, in milliseconds. */
  readonly heardAt: ReadonlyMap<string, number>;
  /** Whether a peer has just established a connection to a replica, or has heard from one if that was enough. */
  readonly isReached: boolean;
}

/** An exchange with a replica on a connection of this daemon. */
export interface ExchangeStart {
  readonly replica: ReplicaEntry;
  /** Urgency of its request; 0 is the most urgent. Replicas begin more urgent ones first. */
  readonly rank: number;
  /** Monotonic milliseconds. */
  readonly startedAt: number;
}

/** An exchange that is in progress. */
export interface RunningExchange extends ExchangeStart {
  /** Whether the replica has sent anything in it. */
  readonly hasBegun: boolean;
  /** Monotonic time of the last bytes from the replica, or of the start, in milliseconds. */
  readonly lastDataAt: number;
}

/** What proves that the connection of an exchange is dead. */
export enum DeathProof {
  /** This daemon is cut off, and a peer has heard from the replica since. */
  HeardByPeer = 'heardByPeer',
  /** The replica has responded to a later exchange on a newer connection, and to none on older ones. */
  Overtaken = 'overtaken',
}
