/** The largest value that held within a window that slides with time. */

/** A value that another one has replaced. */
interface Former {
  readonly value: number;
  /** Monotonic time up to which it held, in milliseconds. */
  readonly until: number;
}

/** The largest value in a sliding window. */
export class SlidingMax {
  private current = Number.NEGATIVE_INFINITY;

  /** Values that held, the last one last; each is larger than those after it. */
  private former: Former[] = [];

  /**
   * Makes an empty window.
   * @param windowMs - Its length, in milliseconds.
   */
  constructor(private readonly windowMs: number) {}

  /**
   * Notes the value that holds from now on.
   * @param value - The value.
   * @param now - Monotonic milliseconds.
   * @returns The largest value within the window.
   */
  note(value: number, now: number): number {
    if (value < this.current) this.former.push({ value: this.current, until: now });
    this.current = value;
    this.former = this.former.filter((held) => held.value > value && held.until > now - this.windowMs);
    return this.former[0]?.value ?? value;
  }
}
