/** Measures for how long a request waits for each cause, so that logs tell where its time was spent. */
import type { TimerService } from '@celeryyoke/core';

/** What a request can wait for between its arrival and the end of its last attempt. */
export enum WaitCause {
  /** A report of the replicas that may have crashed under the request. */
  Suspicion = 'suspicionMs',
  /** The software version that began the stream which the request goes on with. */
  Version = 'versionMs',
  /** Any replica that can take the request. */
  Replica = 'replicaMs',
  /** Its adapter, on the engines that were chosen. */
  Adapter = 'adapterMs',
  /** The answer of an engine's owner to a request for admission. */
  Admission = 'admissionMs',
  /** The delay that the owner asked for. */
  Delay = 'delayMs',
  /** The permits for limits that a replica declares. */
  Permit = 'permitMs',
  /** Attempts in progress. */
  Attempt = 'attemptMs',
}

/** Waits of one request, in milliseconds. */
export type WaitSummary = Readonly<Partial<Record<WaitCause | 'readMs', number>>>;

/** Sums up the waits of one request, including those in progress. */
export class WaitTimes {
  private readonly totals = new Map<WaitCause, number>();

  /** Monotonic times at which the waits in progress began, by cause, in milliseconds. */
  private readonly ongoing = new Map<WaitCause, number>();

  /** Time from the arrival to the start of the execution: reading the body, and the end of a late turn. */
  private readonly readMs: number;

  /**
   * @param arrivedAt - Monotonic time at which the head was read, in milliseconds.
   */
  constructor(
    private readonly timers: Pick<TimerService, 'now'>,
    arrivedAt: number,
  ) {
    this.readMs = timers.now() - arrivedAt;
  }

  /**
   * Counts the time until a wait settles.
   * @returns What the wait resolves to.
   */
  async measure<T>(cause: WaitCause, wait: T | Promise<T>): Promise<T> {
    const startedAt = this.timers.now();
    if (!this.ongoing.has(cause)) this.ongoing.set(cause, startedAt);
    try {
      return await wait;
    } finally {
      this.ongoing.delete(cause);
      this.totals.set(cause, (this.totals.get(cause) ?? 0) + this.timers.now() - startedAt);
    }
  }

  /** Returns the waits of a whole millisecond or more, also those in progress. */
  summary(): WaitSummary {
    const now = this.timers.now();
    const causes = new Set([...this.totals.keys(), ...this.ongoing.keys()]);
    const summary: Partial<Record<WaitCause | 'readMs', number>> = {};
    for (const cause of causes) {
      const waitedMs = (this.totals.get(cause) ?? 0) + now - (this.ongoing.get(cause) ?? now);
      if (Math.round(waitedMs) > 0) summary[cause] = Math.round(waitedMs);
    }
    if (Math.round(this.readMs) > 0) summary.readMs = Math.round(this.readMs);
    return summary;
  }
}
