/**
 * A token bucket that admits a request whenever its level is above zero; that request may take the level
 * below zero.
 *
 * So a large request waits no longer than a small one, and usage that became known late is refilled before
 * anything else is admitted.
 */
const MS_PER_SECOND = 1000;
/**
 * Minimum capacity, in seconds of refill: the level of a bucket without capacity could never be above zero.
 */
const MIN_CAPACITY_S = 0.1;

/** Refill and capacity of a bucket. */
export interface BucketLimit {
  /** Units per second. */
  readonly ratePerSecond: number;
  /** Units. */
  readonly burst: number;
}

/** A token bucket that is refilled whenever it is read or charged. All times are monotonic milliseconds. */
export class TokenBucket {
  private units: number;

  private refilledAt: number;

  /**
   * @param initialFill - Initial level as a share of the capacity, from 0 to 1.
   * @param now - Monotonic milliseconds.
   */
  constructor(
    private limit: BucketLimit,
    initialFill: number,
    now: number,
  ) {
    this.units = this.capacity * initialFill;
    this.refilledAt = now;
  }

  /** Maximum level, in units. */
  get capacity(): number {
    const { ratePerSecond, burst } = this.limit;
    return Math.max(burst, ratePerSecond * MIN_CAPACITY_S);
  }

  /** Changes refill and capacity; units above the new capacity are dropped. */
  setLimit(limit: BucketLimit, now: number): void {
    this.refill(now);
    this.limit = limit;
    this.units = Math.min(this.units, this.capacity);
  }

  /** Current level, in units; below 0 while more was admitted than has been refilled. */
  level(now: number): number {
    this.refill(now);
    return this.units;
  }

  /** Lowers the level to the given one; a higher one changes nothing. */
  capAt(units: number, now: number): void {
    this.refill(now);
    this.units = Math.min(this.units, units);
  }

  /** Takes the units of a request if the level is above zero, and returns whether it did. */
  tryTake(units: number, now: number): boolean {
    if (this.level(now) <= 0) return false;
    this.units -= units;
    return true;
  }

  /**
   * Charges units that were used already, whatever the level, or refunds units.
   * @param units - Below 0 for a refund.
   * @param now - Monotonic milliseconds.
   */
  charge(units: number, now: number): void {
    this.refill(now);
    this.units = Math.min(this.capacity, this.units - units);
  }

  /**
   * Time until the level is above zero.
   * @param reservedUnits - Units that other requests are expected to take first.
   * @param now - Monotonic milliseconds.
   * @returns Milliseconds; 0 if the level is above zero, Infinity if nothing is refilled.
   */
  waitMs(reservedUnits: number, now: number): number {
    const missingUnits = reservedUnits - this.level(now);
    if (missingUnits < 0) return 0;
    const { ratePerSecond } = this.limit;
    return ratePerSecond > 0
      ? ((missingUnits + 1) / ratePerSecond) * MS_PER_SECOND
      : Number.POSITIVE_INFINITY;
  }

  private refill(now: number): void {
    const refilled = (Math.max(0, now - this.refilledAt) / MS_PER_SECOND) * this.limit.ratePerSecond;
    this.refilledAt = now;
    this.units = Math.min(this.capacity, this.units + refilled);
  }
}
