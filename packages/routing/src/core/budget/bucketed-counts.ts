/** Counts of the last part of a process's life, by time. */

/** Adds up events in buckets of equal length and drops the buckets that have become too old. */
export class BucketedCounts {
  private readonly counts: number[];

  /** Number of the bucket that is being filled, counted from the start of the clock. */
  private currentBucket = 0;

  /**
   * @param bucketMs - Length of a bucket, in milliseconds.
   * @param buckets - Number of buckets that are kept, with the one that is being filled.
   */
  constructor(
    private readonly bucketMs: number,
    private readonly buckets: number,
  ) {
    this.counts = new Array<number>(buckets).fill(0);
  }

  /**
   * Counts one event.
   * @param now - Monotonic time, in milliseconds.
   */
  add(now: number): void {
    this.slide(now);
    this.counts[this.currentBucket % this.buckets]! += 1;
  }

  /**
   * Returns how many events the latest buckets contain.
   * @param now - Monotonic time, in milliseconds.
   * @returns One sum for each number of buckets: the first is of the one that is being filled, the last of all.
   */
  sums(now: number): number[] {
    this.slide(now);
    let sum = 0;
    return this.counts.map((_count, age) => {
      sum += this.counts[(this.currentBucket - age + this.buckets) % this.buckets]!;
      return sum;
    });
  }

  /** Drops everything that was counted. */
  clear(): void {
    this.counts.fill(0);
  }

  /** Clears the buckets that have become too old. */
  private slide(now: number): void {
    const bucket = Math.max(this.currentBucket, Math.floor(now / this.bucketMs));
    const steps = Math.min(this.buckets, bucket - this.currentBucket);
    for (let step = 1; step <= steps; step += 1) this.counts[(this.currentBucket + step) % this.buckets] = 0;
    this.currentBucket = bucket;
  }
}
