/** Limits what a daemon admits for an account while it can't reach the account's owner. */
import type { BucketLimit } from './token-bucket.js';
import { TokenBucket } from './token-bucket.js';
import type { AccountQuota } from './types.js';

/** Time constant with which the average of this daemon's own usage decays, in milliseconds. */
const USAGE_DECAY_MS = 4000;
const MS_PER_SECOND = 1000;
/** Maximum share of the quota's rate that a daemon may continue to use because it was using it before. */
const MAX_RECENT_USE_SHARE = 0.1;

/** One daemon's share of one account's quota. All times are monotonic milliseconds. */
export class LocalShare {
  /** Undefined before the first request that is decided against this share. */
  private bucket: TokenBucket | undefined;

  /** Units that this daemon admitted recently, decaying over {@link USAGE_DECAY_MS}. */
  private recentUnits = 0;

  private recentUnitsAt: number;

  /**
   * @param initialFill - Initial level as a share of the burst, from 0 to 1.
   * @param now - Monotonic milliseconds.
   */
  constructor(
    private readonly initialFill: number,
    now: number,
  ) {
    this.recentUnitsAt = now;
  }

  /** Monotonic time of the last request, in milliseconds. */
  get lastUsedAt(): number {
    return this.recentUnitsAt;
  }

  /** Records the units of an admitted request, whoever admitted it. */
  recordAdmitted(units: number, now: number): void {
    this.recentUnits = this.recentUnits * Math.exp((this.recentUnitsAt - now) / USAGE_DECAY_MS) + units;
    this.recentUnitsAt = now;
  }

  /**
   * Admits a request against this daemon's share of the quota, or against the rate that it has used recently
   * if that is higher.
   * @param fleetShare - This daemon's share of the fleet's allowance, from 0 to 1.
   * @param units - Cost of the request.
   * @param now - Monotonic milliseconds.
   * @returns Whether the request is admitted.
   */
  tryAdmit(quota: AccountQuota, fleetShare: number, units: number, now: number): boolean {
    const limit = this.bucketLimit(quota, fleetShare, now);
    if (this.bucket === undefined) this.bucket = new TokenBucket(limit, this.initialFill, now);
    else this.bucket.setLimit(limit, now);
    return this.bucket.tryTake(units, now);
  }

  /** Time after which a refused request may be retried, in milliseconds. */
  retryAfterMs(now: number): number {
    return this.bucket?.waitMs(0, now) ?? 0;
  }

  private bucketLimit({ ratePerSecond, burst }: AccountQuota, fleetShare: number, now: number): BucketLimit {
    this.recordAdmitted(0, now);
    const usedPerSecond = (this.recentUnits / USAGE_DECAY_MS) * MS_PER_SECOND;
    const recentRate = Math.min(usedPerSecond, ratePerSecond * MAX_RECENT_USE_SHARE);
    return { ratePerSecond: Math.max(ratePerSecond * fleetShare, recentRate), burst: burst * fleetShare };
  }
}
