/** A retry budget: retries are a share of first tries, so that layers can't multiply each other's. */
import type { RetryBudget, RetryBudgetOptions, RetryLeave, RetryWant } from './types.js';

const DEFAULT_SHARE = 0.1;
const DEFAULT_MIN_PER_SECOND = 10;
const DEFAULT_WINDOW_MS = 10_000;
const DEFAULT_BACKOFF_MS = 25;
const DEFAULT_MAX_BACKOFF_MS = 2000;
const MS_PER_SECOND = 1000;

/** A budget that decays over its window, so that quiet hours don't save up for a storm. */
class ShareBudget implements RetryBudget {
  private earned = 0;

  private floor: number;

  private readAt: number;

  private readonly windowMs: number;

  private readonly minPerSecond: number;

  constructor(private readonly options: RetryBudgetOptions) {
    this.windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
    this.minPerSecond = options.minPerSecond ?? DEFAULT_MIN_PER_SECOND;
    this.floor = this.minPerSecond;
    this.readAt = options.timers.now();
  }

  earn(): void {
    this.refresh();
    this.earned += this.options.share ?? DEFAULT_SHARE;
  }

  spend(want: RetryWant): RetryLeave | undefined {
    this.refresh();
    const delayMs = this.delay(want);
    if (this.options.timers.now() + delayMs >= want.deadlineAt) return undefined;
    if (this.floor >= 1) {
      this.floor -= 1;
      return { delayMs };
    }
    if (this.earned < 1) return undefined;
    this.earned -= 1;
    return { delayMs };
  }

  balance(): number {
    this.refresh();
    return Math.floor(this.floor) + Math.floor(this.earned);
  }

  private refresh(): void {
    const now = this.options.timers.now();
    const elapsed = now - this.readAt;
    this.readAt = now;
    this.earned *= Math.exp(-elapsed / this.windowMs);
    const gained = (elapsed / MS_PER_SECOND) * this.minPerSecond;
    this.floor = Math.min(Math.max(1, this.minPerSecond), this.floor + gained);
  }

  private delay({ tries, notBeforeMs = 0 }: RetryWant): number {
    const { backoffMs = DEFAULT_BACKOFF_MS, maxBackoffMs = DEFAULT_MAX_BACKOFF_MS } = this.options;
    const middle = Math.min(maxBackoffMs, backoffMs * 2 ** (tries - 1));
    const jitter = 0.5 + (this.options.random ?? Math.random)();
    return notBeforeMs + middle * jitter;
  }
}

/**
 * Makes a retry budget.
 * @param options - Share, floor and backoff.
 * @returns The budget.
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  return new ShareBudget(options);
}
