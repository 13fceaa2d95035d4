/**
 * The budget of repeated sends to one service, shared by all daemons without a word between them.
 *
 * The users allow, in any window, a share of the requests plus a fixed number, summed over all daemons. The share is
 * spent where the requests are; of the fixed number each daemon takes an equal part, so that the sum holds in any
 * partition of the fleet.
 */
import type { TimerService } from '@celeryyoke/core';

/** Parts into which the window is cut; a finer cut counts more exactly. */
const BUCKETS = 20;
/** Part of the allowance that is used: the other side counts in windows that begin elsewhere. */
const CAUTION = 0.8;

/** What the users allow. */
export interface BudgetBounds {
  /** Repeats for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Repeats in a window besides, over all daemons. */
  readonly slack: number;
}

/** Counts in a window that slides. */
class SlidingCount {
  private readonly counts = new Array<number>(BUCKETS).fill(0);

  private bucket = 0;

  constructor(private readonly bucketMs: number) {}

  add(now: number): void {
    this.slide(now);
    this.counts[this.bucket % BUCKETS]! += 1;
  }

  sum(now: number): number {
    this.slide(now);
    return this.counts.reduce((total, count) => total + count, 0);
  }

  private slide(now: number): void {
    const bucket = Math.floor(now / this.bucketMs);
    const steps = Math.min(BUCKETS, bucket - this.bucket);
    for (let step = 1; step <= steps; step += 1) this.counts[(this.bucket + step) % BUCKETS] = 0;
    this.bucket = Math.max(bucket, this.bucket);
  }
}

/** The budget of one service in one daemon. */
export class RepeatBudget {
  private readonly requests: SlidingCount;

  private readonly repeats: SlidingCount;

  /**
   * Makes a budget.
   * @param bounds - What the users allow.
   * @param daemons - Number of daemons that share it.
   * @param timers - Time.
   */
  constructor(
    private readonly bounds: BudgetBounds,
    private readonly daemons: () => number,
    private readonly timers: TimerService,
  ) {
    this.requests = new SlidingCount(bounds.windowMs / BUCKETS);
    this.repeats = new SlidingCount(bounds.windowMs / BUCKETS);
  }

  /** Counts a request. */
  earn(): void {
    this.requests.add(this.timers.now());
  }

  /**
   * Asks for one repeat.
   * @returns Whether it is allowed; it then counts as spent.
   */
  spend(): boolean {
    const now = this.timers.now();
    if (this.left(now) < 1) return false;
    this.repeats.add(now);
    return true;
  }

  /** Repeats that are left. */
  left(now = this.timers.now()): number {
    const { ratio, slack } = this.bounds;
    const allowed = ratio * this.requests.sum(now) + slack / Math.max(1, this.daemons());
    return CAUTION * allowed - this.repeats.sum(now);
  }
}
