/**
 * The budget of repeated sends to one service, shared by all daemons without a word between them.
 *
 * The users allow, in any window, a share of the requests plus a fixed number, summed over all daemons. The share is
 * spent where the requests are; of the fixed number each daemon takes an equal part, so that the sum holds in any
 * partition of the fleet.
 */
import type { TimerService } from '@celeryyoke/core';

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

/** The budget of one service in one daemon. */
export class RepeatBudget {
  private readonly requests: SlidingSum;

  private readonly repeats: SlidingSum;

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
    this.requests = new SlidingSum(bounds.windowMs);
    this.repeats = new SlidingSum(bounds.windowMs);
  }

  /** Counts a request. */
  earn(): void {
    this.requests.add(1, this.timers.now());
  }

  /**
   * Asks for one repeat.
   * @returns Whether it is allowed; it then counts as spent.
   */
  spend(): boolean {
    const now = this.timers.now();
    if (this.left(now) < 1) return false;
    this.repeats.add(1, now);
    return true;
  }

  /** Repeats that are left. */
  left(now = this.timers.now()): number {
    const { ratio, slack } = this.bounds;
    const allowed = ratio * this.requests.total(now) + slack / Math.max(1, this.daemons());
    return CAUTION * allowed - this.repeats.total(now);
  }
}
