/** Spaces requests to one replica evenly at the rate limit that it declares. */
import type { AttemptPermit } from './types.js';

const MS_PER_SECOND = 1000;
/** Longest wait that is returned: the requests that it takes into account may have gone to other replicas. */
const MAX_WAIT_MS = 2000;

/** Grants at most one request in each interval. */
export class AttemptPacer {
  /** Monotonic time from which the next request may go, in milliseconds. */
  private nextAt: number;

  /**
   * Refusals since the last grant; each refused sender is asked to retry one interval after the one before.
   */
  private refusals = 0;

  /**
   * Creates a pacer that delays its first request by an interval, as it does not know what was sent just
   * before.
   * @param ratePerSecond - Above 0.
   * @param now - Monotonic milliseconds.
   */
  constructor(ratePerSecond: number, now: number) {
    this.nextAt = now + intervalMs(ratePerSecond);
  }

  /**
   * Grants a request, or returns when to ask again.
   * @param ratePerSecond - Above 0.
   * @param now - Monotonic milliseconds.
   */
  tryAcquire(ratePerSecond: number, now: number): AttemptPermit {
    const interval = intervalMs(ratePerSecond);
    // Idle time allows at most one request ahead of the schedule.
    const at = Math.max(Math.min(this.nextAt, now + interval), now - interval);
    if (at > now) {
      const waitMs = Math.min(MAX_WAIT_MS, at - now + this.refusals * interval);
      this.refusals += 1;
      return { isGranted: false, waitMs };
    }
    this.nextAt = at + interval;
    this.refusals = 0;
    return { isGranted: true, waitMs: 0 };
  }
}

function intervalMs(ratePerSecond: number): number {
  return MS_PER_SECOND / ratePerSecond;
}
