/** Sum of the amounts that were added within a sliding time window. */

/** Buckets that the window is divided into; more buckets make the sum more exact. */
const BUCKETS = 80;

/** Adds up amounts by time and drops them bucket by bucket as they leave the window. */
export class SlidingSum {
  private readonly sums = new Array<number>(BUCKETS).fill(0);

  private readonly bucketMs: number;

  /** Number of the bucket that is being filled, counted from the start of the clock. */
  private currentBucket = 0;

  private sum = 0;

  /** @param windowMs - Length of the window, in milliseconds. */
  constructor(windowMs: number) {
    // The bucket that is being filled comes in addition to those that span the whole window.
    this.bucketMs = windowMs / (BUCKETS - 1);
  }

  /**
   * Adds an amount.
   * @param amount - Below 0 to take back what was added.
   * @param now - Monotonic time, in milliseconds.
   */
  add(amount: number, now: number): void {
    this.slide(now);
    this.sums[this.currentBucket % BUCKETS]! += amount;
    this.sum += amount;
  }

  /**
   * Replaces the contents by an amount that is spread evenly over the window.
   * @param amount - The new sum.
   * @param now - Monotonic time, in milliseconds.
   */
  fillEvenly(amount: number, now: number): void {
    this.slide(now);
    this.sums.fill(amount / BUCKETS);
    this.sum = amount;
  }

  /**
   * Returns the sum of what was added within the window.
   * @param now - Monotonic time, in milliseconds.
   */
  total(now: number): number {
    this.slide(now);
    return this.sum;
  }

  /** Time until the oldest bucket leaves the window, in milliseconds. */
  msUntilNextChange(now: number): number {
    return (Math.floor(now / this.bucketMs) + 1) * this.bucketMs - now;
  }

  /** Clears the buckets that have left the window. */
  private slide(now: number): void {
    const bucket = Math.floor(now / this.bucketMs);
    const steps = Math.min(BUCKETS, bucket - this.currentBucket);
    for (let step = 1; step <= steps; step += 1) {
      const index = (this.currentBucket + step) % BUCKETS;
      this.sum -= this.sums[index]!;
      this.sums[index] = 0;
    }
    this.currentBucket = Math.max(bucket, this.currentBucket);
  }
}
