/** How many daemons share the fixed part of a budget. */

/** What a daemon knows of the fleet. */
export interface KnownFleet {
  /** Members that may be running, this daemon included. */
  readonly possible: number;
  /** Address of this daemon. */
  readonly self: string;
  /** Addresses of daemons that there should be. */
  readonly seeds: readonly string[];
}

/**
 * Counts the daemons that share the fixed part.
 * @param fleet - What this daemon knows.
 * @returns Their number; Infinity for a daemon that meets none of those that there should be, as it may be cut off.
 */
export function countSharers({ possible, self, seeds }: KnownFleet): number {
  const shouldMeetOthers = seeds.some((seed) => seed !== self);
  return possible <= 1 && shouldMeetOthers ? Number.POSITIVE_INFINITY : possible;
}
