/**
 * Retry budget of one service. All daemons share it without exchanging messages.
 *
 * In any window, the number of retries, summed over all daemons, is limited to a share of the requests plus a
 * fixed number. The requests are those of the window, the one before it or the one in between, whichever has most.
 *
 * Each daemon keeps to a limit of its own, from which that of the fleet follows whatever the shape of the load, and
 * whichever processes end or get the callers of others: from any moment on, it uses no more retries than half of the
 * share of the requests that it has received since half a window before that moment, and its part of the fixed
 * number. Added up over all daemons, half of the share of two windows is at most the share of the larger one. The limit
 * holds at each moment, so nothing that a process has spent must be known after its end.
 *
 * For the fleet's limit, a retry occurs when it arrives at a replica. How long that takes is not known beforehand, so a
 * retry counts from its reservation until one window after the time by which it must have arrived. The half window that
 * is not used of the window before covers retries whose process ends before they arrive.
 */
import type { TimerService } from '@celeryyoke/core';

import { BucketedCounts } from './bucketed-counts.js';
import { RetryPermit } from './permit.js';

/** Buckets that a window is divided into. */
const BUCKETS_PER_WINDOW = 40;
/** Number of buckets before a moment whose requests pay for the retries from that moment on: half a window. */
const LEAD_BUCKETS = BUCKETS_PER_WINDOW / 2;
/** Share of the requests' part that a window's own requests bring; the other half is for those before it. */
const SHARE_OF_REQUESTS = 0.5;
/** Share of the fixed number that is used: callers send requests before a daemon counts them. */
const SHARE_OF_FIXED_NUMBER = 0.8;

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
  private readonly requests: BucketedCounts;

  /** Retries that are reserved and not sent. */
  private unsent = 0;

  /** Monotonic time of the last resumption that was taken into account, in milliseconds. */
  private knownResumedAt = Number.NEGATIVE_INFINITY;

  /** Monotonic times of the reservations that may still arrive, oldest first, by number of the retry. */
  private readonly pending = new Map<number, number>();

  /** Longest time from a reservation to the arrival since the last report, in milliseconds. */
  private longestWaitMs = 0;

  /** Retries of the last window that have arrived, or never will. */
  private readonly settled: BucketedCounts;

  private reservedCount = 0;

  private refusedCount = 0;

  constructor(private readonly options: RetryBudgetOptions) {
    const bucketMs = options.bounds.windowMs / BUCKETS_PER_WINDOW;
    // The bucket that is being filled comes in addition to those that span the whole window.
    this.settled = new BucketedCounts(bucketMs, BUCKETS_PER_WINDOW + 1);
    this.requests = new BucketedCounts(bucketMs, BUCKETS_PER_WINDOW + LEAD_BUCKETS);
  }

  countRequest(): void {
    this.dropOldRequests();
    this.requests.add(this.options.timers.now());
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
      requests: this.requests.sums(now)[BUCKETS_PER_WINDOW - 1]!,
      pending: this.pending.size,
      unsent: this.unsent,
      settled: this.settled.sums(now).at(-1)!,
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
    const perRequest = SHARE_OF_REQUESTS * bounds.ratio;
    const fixed = SHARE_OF_FIXED_NUMBER * bounds.slack * share();
    const requests = this.requests.sums(now);
    const left = this.settled
      .sums(now)
      .map((retries, age) => perRequest * requests[age + LEAD_BUCKETS - 1]! + fixed - retries);
    return Math.min(...left) - this.pending.size;
  }

  /** Counts a retry that has arrived, or never will. */
  private settle(number: number): void {
    const now = this.options.timers.now();
    this.longestWaitMs = Math.max(this.longestWaitMs, now - (this.pending.get(number) ?? now));
    this.pending.delete(number);
    this.settled.add(now);
  }

  /** Drops the requests from before a suspension, during which the clock stood still. */
  private dropOldRequests(): void {
    const resumedAt = this.options.resumedAt();
    if (resumedAt <= this.knownResumedAt) return;
    this.knownResumedAt = resumedAt;
    this.requests.clear();
  }
}
