/** Spaces requests to one replica evenly, at the rate that it states. */
import type { SendPermit } from './types.js';

const MS_PER_SECOND = 1000;
/** Longest wait that is told, in milliseconds: those that wait may have gone elsewhere. */
const MAX_WAIT_MS = 2000;

/** The times at which requests may go. */
export class SendPacer {
  /** Monotonic time from which the next request may go, in milliseconds. */
  private nextAt: number;

  /** Refusals since the last request, each of which asks again one request later. */
  private refusals = 0;

  /**
   * Makes a pacer; what others have sent just before is not known, so the first request waits.
   * @param ratePerSecond - Requests a second, above 0.
   * @param now - Monotonic milliseconds.
   */
  constructor(ratePerSecond: number, now: number) {
    this.nextAt = now + intervalMs(ratePerSecond);
  }

  /**
   * Asks to send a request.
   * @param ratePerSecond - Requests a second, above 0.
   * @param now - Monotonic milliseconds.
   * @returns Whether it may go.
   */
  take(ratePerSecond: number, now: number): SendPermit {
    const interval = intervalMs(ratePerSecond);
    // Of the time in which nothing was sent, one request is made up for.
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
