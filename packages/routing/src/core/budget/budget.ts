/**
 * The budget of repeated sends to one service, shared by all daemons without a word between them.
 *
 * The users allow, in any window, a share of the requests plus a fixed number, summed over all daemons. The share is
 * spent where the requests are; of the fixed number each daemon takes an equal part, so that the sum holds in any
 * partition of the fleet. What was spent stays spent for the length of a window: daemons that ended count as sharers that
 * long, and one that starts again has no part that long.
 */
import type { TimerService } from '@celeryyoke/core';

import { SlidingMax } from './sliding-max.js';
import { SlidingSum } from './sliding-sum.js';

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

/** Options of a budget. */
export interface RepeatBudgetOptions {
  readonly bounds: BudgetBounds;
  /** Number of daemons that share it. */
  readonly daemons: () => number;
  /** Monotonic time before which this daemon has no part of the fixed number, in milliseconds. */
  readonly fixedPartFrom: number;
  readonly timers: TimerService;
}

/** The budget of one service in one daemon. */
export class RepeatBudget {
  private readonly requests: SlidingSum;

  private readonly repeats: SlidingSum;

  private readonly daemons: SlidingMax;

  /**
   * Makes a budget.
   * @param options - What the users allow, and how it is shared.
   */
  constructor(private readonly options: RepeatBudgetOptions) {
    const { windowMs } = options.bounds;
    this.requests = new SlidingSum(windowMs);
    this.repeats = new SlidingSum(windowMs);
    this.daemons = new SlidingMax(windowMs);
  }

  /** Counts a request. */
  earn(): void {
    const now = this.options.timers.now();
    this.daemons.note(this.options.daemons(), now);
    this.requests.add(1, now);
  }

  /**
   * Asks for one repeat.
   * @returns Whether it is allowed; it then counts as spent.
   */
  spend(): boolean {
    const now = this.options.timers.now();
    if (this.left(now) < 1) return false;
    this.repeats.add(1, now);
    return true;
  }

  /** Repeats that are left. */
  left(now = this.options.timers.now()): number {
    const allowed = this.options.bounds.ratio * this.requests.total(now) + this.fixedPart(now);
    return CAUTION * allowed - this.repeats.total(now);
  }

  /** Daemons among which this one divides the fixed number. */
  get sharers(): number {
    return this.daemons.note(this.options.daemons(), this.options.timers.now());
  }

  private fixedPart(now: number): number {
    const { bounds, fixedPartFrom } = this.options;
    return now < fixedPartFrom ? 0 : bounds.slack / Math.max(1, this.sharers);
  }
}
