/**
 * Relates this daemon's monotonic clock to that of its parent, so that the age of what a message reports
 * includes the time in transit.
 *
 * The offset between two clocks is only known within bounds: a message from the parent gives an upper bound,
 * a request and its response also a lower bound. Conversions use the bound that makes what is converted
 * older.
 */

/** Bounds on the offset between this daemon's monotonic clock and its parent's. */
export class ParentClock {
  /** Lower bound on this daemon's clock minus the parent's, in milliseconds. */
  private minOffsetMs = Number.NEGATIVE_INFINITY;

  /** Upper bound on this daemon's clock minus the parent's, in milliseconds. */
  private maxOffsetMs = Number.POSITIVE_INFINITY;

  /**
   * Narrows both bounds by a request to which the parent responded with its clock.
   * @param sentAt - Time of the request on this daemon's clock, in milliseconds.
   * @param parentAt - Time of the response on the parent's clock, in milliseconds.
   * @param receivedAt - Time at which the response was handled, on this daemon's clock, in milliseconds.
   */
  recordExchange(sentAt: number, parentAt: number, receivedAt: number): void {
    const minOffsetMs = sentAt - parentAt;
    // The parent's clock has stood still since the upper bound was recorded.
    if (minOffsetMs > this.maxOffsetMs) this.maxOffsetMs = receivedAt - parentAt;
    this.minOffsetMs = Math.max(this.minOffsetMs, minOffsetMs);
    this.recordMessage(parentAt, receivedAt);
  }

  /**
   * Narrows the upper bound by a message that carries the parent's clock.
   * @param parentAt - Time of sending on the parent's clock, in milliseconds.
   * @param receivedAt - Time at which the message was handled, on this daemon's clock, in milliseconds.
   */
  recordMessage(parentAt: number, receivedAt: number): void {
    this.maxOffsetMs = Math.min(this.maxOffsetMs, receivedAt - parentAt);
    // This daemon's clock has stood still since the lower bound was recorded.
    this.minOffsetMs = Math.min(this.minOffsetMs, this.maxOffsetMs);
  }

  /**
   * Returns the longest time that can have passed since an event.
   * @param parentAt - Time of the event on the parent's clock, in milliseconds.
   * @param now - Time on this daemon's clock, in milliseconds.
   * @returns Milliseconds; Infinity before the first exchange.
   */
  maxElapsedMs(parentAt: number, now: number): number {
    return now - parentAt - this.minOffsetMs;
  }

  /**
   * Converts a time to the parent's clock.
   * @param now - Time on this daemon's clock, in milliseconds.
   * @returns The earliest time that the parent's clock can show, in milliseconds; undefined before the first
   *   message.
   */
  toParentTime(now: number): number | undefined {
    return Number.isFinite(this.maxOffsetMs) ? Math.floor(now - this.maxOffsetMs) : undefined;
  }
}
