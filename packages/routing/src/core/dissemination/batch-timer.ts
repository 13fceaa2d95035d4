/** Decides when collected changes are sent: soon when one is urgent, together with others otherwise. */
import type { TimerHandle, TimerService } from '@celeryyoke/core';

/** Least time between two batches, in milliseconds. */
const LEAST_GAP_MS = 25;

/** The next batch of one daemon. */
export class BatchTimer {
  /** Monotonic time of the last batch, in milliseconds. */
  lastAt = 0;

  private next: { readonly dueAt: number; readonly handle: TimerHandle } | undefined;

  /**
   * Makes a timer that waits for changes.
   * @param timers - Time.
   * @param onDue - Sends the batch.
   */
  constructor(
    private readonly timers: TimerService,
    private readonly onDue: () => void,
  ) {}

  /**
   * Has a batch sent.
   * @param delayMs - Longest wait, in milliseconds; an earlier batch takes the changes along.
   */
  schedule(delayMs: number): void {
    const now = this.timers.now();
    const dueAt = Math.max(now + delayMs, this.lastAt + LEAST_GAP_MS);
    if (this.next !== undefined && this.next.dueAt <= dueAt) return;
    this.cancel();
    this.next = { dueAt, handle: this.timers.after(dueAt - now, () => this.fire()) };
  }

  /** Sends a batch now. */
  fire(): void {
    this.cancel();
    this.lastAt = this.timers.now();
    this.onDue();
  }

  /** Takes the pending batch back. */
  cancel(): void {
    this.next?.handle.cancel();
    this.next = undefined;
  }
}
