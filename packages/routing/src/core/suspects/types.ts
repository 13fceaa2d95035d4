/** What daemons tell each other about requests under which replicas crash. */
import type { EndCertainty, SuspectRequest } from '@celeryyoke/core';

/** Kinds of rows; the numbers are sent. */
export enum SuspectRowKind {
  /** A replica crashed with certain requests in flight. */
  Crash = 1,
  /** A suspect has ended well. */
  Cleared = 2,
  /** A request is refused for a time. */
  Quarantine = 3,
  /** A replica that was reported to have crashed responds. */
  Refuted = 4,
}

/** Requests that one daemon had in flight at a crash. */
export interface CrashRow {
  readonly kind: SuspectRowKind.Crash;
  /** Incarnation of the replica. */
  readonly replica: string;
  /** Address of the daemon. */
  readonly reporter: string;
  /** Monotonic time of the crash, or of the last bytes from a replica that is silent, in milliseconds. */
  readonly at: number;
  readonly certainty: EndCertainty;
  readonly requests: readonly SuspectRequest[];
}

/** A suspect that has ended well. */
export interface ClearedRow {
  readonly kind: SuspectRowKind.Cleared;
  readonly fingerprint: string;
  /** Monotonic time of its end, in milliseconds. */
  readonly at: number;
}

/** A request that is refused for a time. */
export interface QuarantineRow {
  readonly kind: SuspectRowKind.Quarantine;
  readonly fingerprint: string;
  /** Whether the ends of these replicas are only presumed, so that it is refused for a short time. */
  readonly isProvisional: boolean;
  /** Incarnations of the replicas that crashed under it. */
  readonly replicas: readonly string[];
  /** Monotonic time of the end, in milliseconds. */
  readonly until: number;
}

/** A replica that responds although it was reported to have crashed. */
export interface RefutedRow {
  readonly kind: SuspectRowKind.Refuted;
  /** Incarnation of the replica. */
  readonly replica: string;
}

/** A row of the shared state. */
export type SuspectRow = CrashRow | ClearedRow | QuarantineRow | RefutedRow;
