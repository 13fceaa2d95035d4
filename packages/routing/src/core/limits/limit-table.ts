/** The limits that replicas state, as this daemon knows them. */
import type { TimerService } from '@celeryyoke/core';

import type { ReplicaLimitRow } from './types.js';

/** Time after the last word of a limit from which an answer without one ends it, in milliseconds. */
const SETTLED_MS = 500;

/** A row and when it was last confirmed. */
interface Known {
  readonly row: ReplicaLimitRow;
  /** Monotonic time at which this daemon last heard of the limit, in milliseconds. */
  heardAt: number;
}

/** The latest row of each replica. */
export class LimitTable {
  private readonly known = new Map<string, Known>();

  /**
   * Makes an empty table.
   * @param timers - Time.
   */
  constructor(private readonly timers: TimerService) {}

  /**
   * Tells the rate that a replica takes.
   * @param replica - One start of it.
   * @returns Requests a second; undefined when it states none.
   */
  rate(replica: string): number | undefined {
    return this.known.get(replica)?.row.ratePerSecond;
  }

  /**
   * Finds the row of a replica.
   * @param replica - One start of it.
   * @returns The row, or undefined when it never stated a limit.
   */
  get(replica: string): ReplicaLimitRow | undefined {
    return this.known.get(replica)?.row;
  }

  /**
   * Takes a row of another daemon.
   * @param row - The row.
   * @returns Whether it was news.
   */
  merge(row: ReplicaLimitRow): boolean {
    const known = this.known.get(row.replica);
    if (known !== undefined && !isLater(row, known.row)) return false;
    this.known.set(row.replica, { row, heardAt: this.timers.now() });
    return true;
  }

  /**
   * Learns from an answer.
   * @param replica - Who answered.
   * @param ratePerSecond - The limit that the answer names; undefined when it names none.
   * @param sentAt - Monotonic time at which the request was sent, in milliseconds.
   * @returns The new row, or undefined when nothing has changed.
   */
  noteAnswer(
    replica: string,
    ratePerSecond: number | undefined,
    sentAt: number,
  ): ReplicaLimitRow | undefined {
    const known = this.known.get(replica);
    if (known?.row.ratePerSecond === ratePerSecond) {
      if (known !== undefined && ratePerSecond !== undefined) known.heardAt = this.timers.now();
      return undefined;
    }
    // The answer may have been on its way before the limit was stated.
    if (ratePerSecond === undefined && sentAt < known!.heardAt + SETTLED_MS) return undefined;
    const row = { replica, ratePerSecond, version: (known?.row.version ?? 0) + 1 };
    this.merge(row);
    return row;
  }

  /** All rows. */
  rows(): ReplicaLimitRow[] {
    return [...this.known.values()].map(({ row }) => row);
  }

  /**
   * Forgets a replica that is gone.
   * @param replica - One start of it.
   */
  forget(replica: string): void {
    this.known.delete(replica);
  }
}

/** Of two rows that daemons made at the same time, the stricter one holds. */
function isLater(row: ReplicaLimitRow, known: ReplicaLimitRow): boolean {
  if (row.version !== known.version) return row.version > known.version;
  return strictness(row) > strictness(known);
}

function strictness({ ratePerSecond }: ReplicaLimitRow): number {
  return -(ratePerSecond ?? Number.POSITIVE_INFINITY);
}
