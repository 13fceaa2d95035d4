/** Retries: one budget for all layers of a daemon. */
import type { TimerService } from '@celeryyoke/core';

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  readonly timers: TimerService;
  /** Retries allowed for each first try; 0.1 when left out. */
  readonly share?: number;
  /** Retries a second that are allowed whatever the traffic; 10 when left out, so that a crash of an engine with a batch in flight is met. */
  readonly minPerSecond?: number;
  /** Time over which unused retries add up; 10,000 ms when left out. */
  readonly windowMs?: number;
  /** Middle of the first backoff; doubles with each try; 25 ms when left out. */
  readonly backoffMs?: number;
  /** Longest backoff; 2,000 ms when left out. */
  readonly maxBackoffMs?: number;
  /** Random number from 0 to below 1; Math.random when left out. */
  readonly random?: () => number;
}

/** A request that would like another try. */
export interface RetryWant {
  /** Tries so far, from 1. */
  readonly tries: number;
  /** Monotonic milliseconds; Infinity for none. */
  readonly deadlineAt: number;
  /** Least delay that the refusing side asked for, in milliseconds. */
  readonly notBeforeMs?: number;
}

/** Leave for one retry. */
export interface RetryLeave {
  /** Time to wait before it, in milliseconds. */
  readonly delayMs: number;
}

/** The retry budget of a daemon; every layer that retries asks the same one. */
export interface RetryBudget {
  /** Counts a first try, which earns a share of a retry. */
  earn(): void;
  /**
   * Asks for a retry.
   * @param want - Tries so far and the deadline.
   * @returns Leave and the delay, or undefined when the budget is spent or the delay would pass the deadline.
   */
  spend(want: RetryWant): RetryLeave | undefined;
  /** Retries that could be spent now. */
  balance(): number;
}
