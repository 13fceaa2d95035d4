/** What a daemon admits of an account while it can't reach the account's owner. */
import type { BucketLimit } from './token-bucket.js';
import { TokenBucket } from './token-bucket.js';
import type { AccountQuota } from './types.js';

/** Time over which this daemon's own usage is averaged, in milliseconds. */
const USAGE_MS = 4000;
const MS_PER_SECOND = 1000;
/** Largest part of the limit that a daemon goes on to use because it used it before. */
const MAX_KEPT_SHARE = 0.1;

/** One daemon's part of one account. */
export class LocalShare {
  /** Undefined before the first request that is admitted on this part alone. */
  private bucket: TokenBucket | undefined;

  /** Units that this daemon has admitted of late, fading over {@link USAGE_MS}. */
  private used = 0;

  private usedAt: number;

  /**
   * Makes a share.
   * @param fill - Part of its burst that it begins with, from 0 to 1.
   * @param now - Monotonic milliseconds.
   */
  constructor(
    private readonly fill: number,
    now: number,
  ) {
    this.usedAt = now;
  }

  /** Monotonic time of the last request, in milliseconds. */
  get lastUsedAt(): number {
    return this.usedAt;
  }

  /**
   * Notes what was admitted with the owner's knowledge.
   * @param units - Cost of the request.
   * @param now - Monotonic milliseconds.
   */
  note(units: number, now: number): void {
    this.used = this.used * Math.exp((this.usedAt - now) / USAGE_MS) + units;
    this.usedAt = now;
  }

  /**
   * Admits a request on this daemon's part alone: an equal one, or what it has used of late.
   * @param quota - The account's quota.
   * @param part - The equal part, from 0 to 1.
   * @param units - Cost of the request.
   * @param now - Monotonic milliseconds.
   * @returns Whether it is admitted.
   */
  take(quota: AccountQuota, part: number, units: number, now: number): boolean {
    const limit = this.limit(quota, part, now);
    if (this.bucket === undefined) this.bucket = new TokenBucket(limit, this.fill, now);
    else this.bucket.setLimit(limit, now);
    return this.bucket.take(units, now);
  }

  /**
   * Tells when a refused request may come back.
   * @param now - Monotonic milliseconds.
   * @returns Milliseconds.
   */
  waitMs(now: number): number {
    return this.bucket?.waitMs(0, now) ?? 0;
  }

  private limit({ ratePerSecond, burst }: AccountQuota, part: number, now: number): BucketLimit {
    this.note(0, now);
    const usedPerSecond = (this.used / USAGE_MS) * MS_PER_SECOND;
    const kept = Math.min(usedPerSecond, ratePerSecond * MAX_KEPT_SHARE);
    return { ratePerSecond: Math.max(ratePerSecond * part, kept), burst: burst * part };
  }
}
