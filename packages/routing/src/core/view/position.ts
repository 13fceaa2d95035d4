/** Order of the revisions of a store that may come back from a copy of itself. */

/** A revision, and the sequence that it belongs to. */
export interface Position {
  /** Number of the sequence; a later one has a larger number. */
  readonly epoch: number;
  /** Revisions are in order within one sequence only; 0 before the first one. */
  readonly revision: number;
}

/** Position of a copy that has no records. */
export const NO_POSITION: Position = { epoch: 0, revision: 0 };

/** Returns whether a position is later than another one. */
export function isAfter(left: Position, right: Position): boolean {
  if (left.epoch !== right.epoch) return left.epoch > right.epoch;
  return left.revision > right.revision;
}
