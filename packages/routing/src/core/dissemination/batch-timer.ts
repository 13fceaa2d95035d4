/** Schedules batches of collected changes: soon for urgent changes, later together with others otherwise. */
import type { TimerHandle, TimerService } from '@celeryyoke/core';

/** Shortest time between two batches, in milliseconds. */
const MIN_INTERVAL_MS = 25;

/** Timer for the next batch; keeps at most one batch pending. */
export class BatchTimer {
  /** Monotonic time of the last batch, in milliseconds. */
  lastSentAt = 0;

  private pending: { readonly dueAt: number; readonly handle: TimerHandle } | undefined;

  /**
   * Creates a timer without a pending batch.
   * @param timers - Time.
   * @param send - Sends the batch.
   */
  constructor(
    private readonly timers: TimerService,
    private readonly send: () => void,
  ) {}

  /**
   * Schedules a batch, unless one is due earlier already.
   * @param delayMs - Longest wait, in milliseconds; {@link MIN_INTERVAL_MS} after the last batch may prolong
   *   it.
   */
  schedule(delayMs: number): void {
    const now = this.timers.now();
    const dueAt = Math.max(now + delayMs, this.lastSentAt + MIN_INTERVAL_MS);
    if (this.pending !== undefined && this.pending.dueAt <= dueAt) return;
    this.cancel();
    this.pending = { dueAt, handle: this.timers.after(dueAt - now, () => this.sendNow()) };
  }

  /** Sends a batch now, in place of a pending one. */
  sendNow(): void {
    this.cancel();
    this.lastSentAt = this.timers.now();
    this.send();
  }

  /** Cancels the pending batch. */
  cancel(): void {
    this.pending?.handle.cancel();
    this.pending = undefined;
  }
}
