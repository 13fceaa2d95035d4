/** The rate limits that replicas declare, as far as this daemon knows them. */
import type { TimerService } from '@celeryyoke/core';

import type { ReplicaLimitRow } from './types.js';

/** Time after the last confirmation of a limit before which a response without a limit does not end it. */
const MIN_LIMIT_AGE_MS = 500;

/** A row and when its limit was last confirmed. */
interface KnownLimit {
  readonly row: ReplicaLimitRow;
  /** Monotonic time at which this daemon last received or saw the limit, in milliseconds. */
  confirmedAt: number;
}

/** Stores the latest row of each replica, merged from responses and from other daemons. */
export class LimitTable {
  private readonly known = new Map<string, KnownLimit>();

  constructor(private readonly timers: TimerService) {}

  /**
   * Returns the rate limit of a replica.
   * @returns Requests per second; undefined when it declares none.
   */
  rate(replica: string): number | undefined {
    return this.known.get(replica)?.row.ratePerSecond;
  }

  /** Returns the row of a replica, or undefined when it never declared a limit. */
  get(replica: string): ReplicaLimitRow | undefined {
    return this.known.get(replica)?.row;
  }

  /**
   * Merges a row of another daemon.
   * @returns Whether it replaced the known one.
   */
  merge(row: ReplicaLimitRow): boolean {
    const known = this.known.get(row.replica);
    if (known !== undefined && !supersedes(row, known.row)) return false;
    this.known.set(row.replica, { row, confirmedAt: this.timers.now() });
    return true;
  }

  /**
   * Updates the limit of a replica from a response.
   * @param ratePerSecond - The limit in the response; undefined when it declares none.
   * @param sentAt - Monotonic time at which the request was sent, in milliseconds.
   * @returns The new row, or undefined when nothing has changed.
   */
  updateFromResponse(
    replica: string,
    ratePerSecond: number | undefined,
    sentAt: number,
  ): ReplicaLimitRow | undefined {
    const known = this.known.get(replica);
    if (known?.row.ratePerSecond === ratePerSecond) {
      if (known !== undefined && ratePerSecond !== undefined) known.confirmedAt = this.timers.now();
      return undefined;
    }
    // The response may be older than the limit.
    if (ratePerSecond === undefined && sentAt < known!.confirmedAt + MIN_LIMIT_AGE_MS) return undefined;
    const row = { replica, ratePerSecond, version: (known?.row.version ?? 0) + 1 };
    this.merge(row);
    return row;
  }

  /** Returns all rows. */
  rows(): ReplicaLimitRow[] {
    return [...this.known.values()].map(({ row }) => row);
  }

  /** Removes a replica that no longer exists. */
  forget(replica: string): void {
    this.known.delete(replica);
  }
}

/**
 * Returns whether a row replaces the known one. Of two that were created at the same time, the stricter one
 * wins.
 */
function supersedes(row: ReplicaLimitRow, known: ReplicaLimitRow): boolean {
  if (row.version !== known.version) return row.version > known.version;
  return strictness(row) > strictness(known);
}

function strictness({ ratePerSecond }: ReplicaLimitRow): number {
  return -(ratePerSecond ?? Number.POSITIVE_INFINITY);
}
