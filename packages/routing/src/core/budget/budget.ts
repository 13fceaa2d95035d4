/**
 * The budget of repeated sends to one service, shared by all daemons without a word between them.
 *
 * The users allow, in any window, a share of the requests plus a fixed number, summed over all daemons. The share is
 * spent where the requests are; of the fixed number each daemon takes its share, so that the sum holds in any partition
 * of the fleet.
 *
 * The users count a repeat when it arrives at a replica. How long that takes is not known beforehand, so a repeat counts
 * from its reservation until a window after the moment by which it must have arrived.
 */
import type { TimerService } from '@celeryyoke/core';

import { RepeatPermit } from './permit.js';
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
  /** This daemon's part of the fixed number, from 0 to 1. */
  readonly share: () => number;
  readonly timers: TimerService;
}

/** The budget of one service in one daemon. */
export class RepeatBudget {
  private readonly requests: SlidingSum;

  /** Repeats that are reserved and may still arrive. */
  private pending = 0;

  /** Repeats that have arrived. */
  private readonly settled: SlidingSum;

  /**
   * Makes a budget.
   * @param options - What the users allow, and how it is shared.
   */
  constructor(private readonly options: RepeatBudgetOptions) {
    const { windowMs } = options.bounds;
    this.requests = new SlidingSum(windowMs);
    this.settled = new SlidingSum(windowMs);
  }

  /** Counts a request. */
  earn(): void {
    this.requests.add(1, this.options.timers.now());
  }

  /**
   * Asks for one repeat.
   * @returns The permit, which must be settled or released; undefined where no repeat is allowed.
   */
  reserve(): RepeatPermit | undefined {
    if (this.left() < 1) return undefined;
    this.pending += 1;
    return new RepeatPermit({
      settled: () => {
        this.pending -= 1;
        this.settled.add(1, this.options.timers.now());
      },
      released: () => {
        this.pending -= 1;
      },
    });
  }

  /** Repeats that are left. */
  left(now = this.options.timers.now()): number {
    const { bounds, share } = this.options;
    const allowed = bounds.ratio * this.requests.total(now) + bounds.slack * share();
    return CAUTION * allowed - this.pending - this.settled.total(now);
  }
}
