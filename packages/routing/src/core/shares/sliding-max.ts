/** Largest value that was current at any time within a sliding time window. */

/** A value that was replaced. */
interface PreviousValue {
  readonly value: number;
  /** Monotonic time up to which it was current, in milliseconds. */
  readonly until: number;
}

/**
 * Tracks the largest value in a sliding window. It stores only replaced values that can still be the largest.
 */
export class SlidingMax {
  private current = Number.NEGATIVE_INFINITY;

  /** Replaced values, oldest first; each is larger than those after it. */
  private previous: PreviousValue[] = [];

  constructor(private readonly windowMs: number) {}

  /**
   * Sets the value that is current from now on.
   * @param now - Monotonic milliseconds.
   * @returns The largest value within the window.
   */
  add(value: number, now: number): number {
    if (value < this.current) this.previous.push({ value: this.current, until: now });
    this.current = value;
    this.previous = this.previous.filter((entry) => entry.value > value && entry.until > now - this.windowMs);
    return this.previous[0]?.value ?? value;
  }
}
