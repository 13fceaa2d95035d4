/**
 * The budget of repeated sends to one service, shared by all daemons without a word between them.
 *
 * The users allow, in any window, a share of the requests plus a fixed number, summed over all daemons. The share is
 * spent where the requests are; of the fixed number each daemon takes an equal part, so that the sum holds in any
 * partition of the fleet. What was spent stays spent for the length of a window: daemons that ended count as sharers that
 * long, and one that starts again has no part that long.
 *
 * The users count a repeat when it arrives at a replica. How long that takes is not known beforehand, so a repeat counts
 * from its reservation until a window after the moment by which it must have arrived.
 */
import type { TimerService } from '@celeryyoke/core';

import { RepeatPermit } from './permit.js';
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

  /** Repeats that are reserved and may still arrive. */
  private pending = 0;

  /** Repeats that have arrived. */
  private readonly settled: SlidingSum;

  private readonly daemons: SlidingMax;

  /**
   * Makes a budget.
   * @param options - What the users allow, and how it is shared.
   */
  constructor(private readonly options: RepeatBudgetOptions) {
    const { windowMs } = options.bounds;
    this.requests = new SlidingSum(windowMs);
    this.settled = new SlidingSum(windowMs);
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
    const allowed = this.options.bounds.ratio * this.requests.total(now) + this.fixedPart(now);
    return CAUTION * allowed - this.pending - this.settled.total(now);
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
