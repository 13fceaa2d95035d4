/** A sum over a window that slides with time. */

/** Parts into which the window is cut; a finer cut counts more exactly. */
const PARTS = 80;

/** Sums in a sliding window. */
export class SlidingSum {
  private readonly sums = new Array<number>(PARTS).fill(0);

  private readonly partMs: number;

  private part = 0;

  private sum = 0;

  /**
   * Makes an empty sum.
   * @param windowMs - Length of the window, in milliseconds.
   */
  constructor(windowMs: number) {
    // The part that is being filled counts beside a whole window.
    this.partMs = windowMs / (PARTS - 1);
  }

  /**
   * Adds to the sum.
   * @param amount - What to add; below 0 to take back.
   * @param now - Monotonic milliseconds.
   */
  add(amount: number, now: number): void {
    this.slide(now);
    this.sums[this.part % PARTS]! += amount;
    this.sum += amount;
  }

  /**
   * Fills the window evenly, as if so much had been added within it.
   * @param amount - The sum.
   * @param now - Monotonic milliseconds.
   */
  assume(amount: number, now: number): void {
    this.slide(now);
    this.sums.fill(amount / PARTS);
    this.sum = amount;
  }

  /**
   * Tells the sum.
   * @param now - Monotonic milliseconds.
   * @returns What was added within the window.
   */
  total(now: number): number {
    this.slide(now);
    return this.sum;
  }

  /** Time until the oldest part leaves the window, in milliseconds. */
  nextChangeMs(now: number): number {
    return (Math.floor(now / this.partMs) + 1) * this.partMs - now;
  }

  private slide(now: number): void {
    const part = Math.floor(now / this.partMs);
    const steps = Math.min(PARTS, part - this.part);
    for (let step = 1; step <= steps; step += 1) {
      const index = (this.part + step) % PARTS;
      this.sum -= this.sums[index]!;
      this.sums[index] = 0;
    }
    this.part = Math.max(part, this.part);
  }
}
