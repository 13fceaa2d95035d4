/**
 * Retry budget of one service. All daemons share it without exchanging messages.
 *
 * In any window, the number of retries, summed over all daemons, is limited to a share of the requests plus a
 * fixed number. Each daemon uses the share of the requests that it received itself and its own part of the
 * fixed number, so that the limit holds even while daemons can't reach each other.
 *
 * Two limits apply. What a process has spent within a window bounds what it may still spend. As its successor and its
 * peers don't know that, each process may also spend no more at one moment than the requests of the last seconds have
 * brought, and its part of the fixed number.
 *
 * For the limit, a retry occurs when it arrives at a replica. How long that takes is not known beforehand, so a
 * retry counts from its reservation until one window after the time by which it must have arrived.
 */
import type { TimerService } from '@celeryyoke/core';

import { RetryGrants } from './grants.js';
import { RetryPermit } from './permit.js';
import { SlidingSum } from './sliding-sum.js';

/** Share of the allowance that is used: the limit is measured in windows that begin at other times. */
const ALLOWANCE_SHARE = 0.8;

/** Limit on the retries of a service. */
export interface BudgetBounds {
  /** Retries for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Additional retries in a window, summed over all daemons. */
  readonly slack: number;
}

/** What a budget has counted. */
export interface BudgetUse {
  /** Requests within the window. */
  readonly requests: number;
  /** Retries that are reserved and may still arrive. */
  readonly pending: number;
  /** Retries that are reserved and not sent. */
  readonly unsent: number;
  /** Retries within the window that have arrived, or never will. */
  readonly settled: number;
  /** Longest time from a reservation to the arrival among those that settled since the last report, in milliseconds. */
  readonly longestWaitMs: number;
  /** Time since the oldest reservation that may still arrive, in milliseconds; 0 if there is none. */
  readonly oldestPendingMs: number;
  /** Retries that may still be reserved, rounded down. */
  readonly available: number;
  /** Retries that were allowed since process start. */
  readonly reserved: number;
  /** Retries that were refused since process start. */
  readonly refused: number;
}

/** Options of a budget. */
export interface RetryBudgetOptions {
  readonly bounds: BudgetBounds;
  /** This daemon's part of the fixed number, from 0 to 1. */
  readonly share: () => number;
  /**
   * Monotonic time at which this machine last resumed from a suspension, in milliseconds: requests from before are
   * older than the monotonic clock shows.
   */
  readonly resumedAt: () => number;
  readonly timers: TimerService;
}

/**
 * Counts the requests and retries of one service in this daemon and decides whether another retry is allowed.
 */
export class RetryBudget {
  private requests: SlidingSum;

  private readonly grants: RetryGrants;

  /** Retries of the last window that were paid from the fixed number. */
  private readonly fixedSpent: SlidingSum;

  /** Retries that are reserved and not sent. */
  private unsent = 0;

  /** Monotonic time of the last resumption that was taken into account, in milliseconds. */
  private knownResumedAt = Number.NEGATIVE_INFINITY;

  /** Monotonic times of the reservations that may still arrive, oldest first, by number of the retry. */
  private readonly pending = new Map<number, number>();

  /** Longest time from a reservation to the arrival since the last report, in milliseconds. */
  private longestWaitMs = 0;

  /** Retries of the last window that have arrived, or never will. */
  private readonly settled: SlidingSum;

  private reservedCount = 0;

  private refusedCount = 0;

  constructor(private readonly options: RetryBudgetOptions) {
    const { ratio, windowMs } = options.bounds;
    this.requests = new SlidingSum(windowMs);
    this.settled = new SlidingSum(windowMs);
    this.fixedSpent = new SlidingSum(windowMs);
    this.grants = new RetryGrants(ALLOWANCE_SHARE * ratio, windowMs);
  }

  countRequest(): void {
    this.dropOldRequests();
    const now = this.options.timers.now();
    this.requests.add(1, now);
    this.grants.add(now);
  }

  /**
   * Reserves one retry.
   * @returns The permit, which must be settled or released; undefined when the budget is used up.
   */
  reserve(): RetryPermit | undefined {
    if (this.available() < 1) {
      this.refusedCount += 1;
      return undefined;
    }
    this.reservedCount += 1;
    const number = this.reservedCount;
    this.pending.set(number, this.options.timers.now());
    this.unsent += 1;
    return new RetryPermit({
      sent: () => {
        this.unsent -= 1;
        this.spend();
      },
      settled: () => this.settle(number),
      released: () => {
        this.pending.delete(number);
        this.unsent -= 1;
      },
    });
  }

  /** Number of retries that were allowed or refused since process start. */
  get decisions(): number {
    return this.reservedCount + this.refusedCount;
  }

  /** Returns what the budget has counted, for the log, and begins the next report. */
  report(): BudgetUse {
    const now = this.options.timers.now();
    const { longestWaitMs } = this;
    this.longestWaitMs = 0;
    const [oldest = now] = this.pending.values();
    return {
      requests: this.requests.total(now),
      pending: this.pending.size,
      unsent: this.unsent,
      settled: this.settled.total(now),
      longestWaitMs: Math.round(longestWaitMs),
      oldestPendingMs: Math.round(now - oldest),
      available: Math.floor(this.available(now)),
      reserved: this.reservedCount,
      refused: this.refusedCount,
    };
  }

  /** Number of retries that may still be reserved; not whole, and below 0 when the allowance has shrunk. */
  available(now = this.options.timers.now()): number {
    this.dropOldRequests();
    const { bounds, share } = this.options;
    const allowed = bounds.ratio * this.requests.total(now) + bounds.slack * share();
    const inWindow = ALLOWANCE_SHARE * allowed - this.pending.size - this.settled.total(now);
    const atOnce = this.grants.total(now) + this.fixedLeft(now) - this.unsent;
    return Math.min(inWindow, atOnce);
  }

  /** Counts a retry that has arrived, or never will. */
  private settle(number: number): void {
    const now = this.options.timers.now();
    this.longestWaitMs = Math.max(this.longestWaitMs, now - (this.pending.get(number) ?? now));
    this.pending.delete(number);
    this.settled.add(1, now);
  }

  /** Pays for a retry that is sent now. */
  private spend(): void {
    const now = this.options.timers.now();
    const missing = this.grants.spend(1, now);
    const fixed = Math.min(missing, this.fixedLeft(now));
    this.fixedSpent.add(fixed, now);
    this.grants.borrow(missing - fixed);
  }

  /** What is left of this daemon's part of the fixed number. */
  private fixedLeft(now: number): number {
    const { bounds, share } = this.options;
    return Math.max(0, ALLOWANCE_SHARE * bounds.slack * share() - this.fixedSpent.total(now));
  }

  /** Drops the requests from before a suspension, during which the clock stood still. */
  private dropOldRequests(): void {
    const resumedAt = this.options.resumedAt();
    if (resumedAt <= this.knownResumedAt) return;
    this.knownResumedAt = resumedAt;
    this.requests = new SlidingSum(this.options.bounds.windowMs);
    this.grants.clear();
  }
}
