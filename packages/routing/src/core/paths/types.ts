/** Types of the paths from daemons to replicas. */

/** Why a daemon counts as cut off from the replicas of a service. */
export enum CutCause {
  /** None of them accepts a connection. */
  NoConnection = 'noConnection',
  /** They accept connections, and none of them responds any more. */
  Silence = 'silence',
}

/** Services whose replicas one daemon can't reach. */
export interface CutOffRow {
  /** Address of the daemon. */
  readonly address: string;
  /** Raised by the daemon with each change. */
  readonly version: number;
  readonly services: readonly string[];
}
