/**
 * Charges requests to the buckets of the accounts that this daemon owns, and publishes the state of these
 * buckets.
 *
 * An account is open while its bucket is well filled: daemons admit its requests without asking and report
 * the usage afterwards. When the level falls below a share of the capacity, the account becomes guarded: each
 * request is charged here before it is sent.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import { SlidingSum } from '../budget/index.js';
import type { ChargeRequest } from './quota-messages.js';
import type { QuotaRow, QuotaTable } from './quota-rows.js';
import type { BucketLimit } from './token-bucket.js';
import { TokenBucket } from './token-bucket.js';
import type { AccountQuota } from './types.js';

/** Shares of the capacity below which an account becomes guarded, and above which it is open again. */
const GUARD_BELOW_SHARE = 0.5;
const OPEN_ABOVE_SHARE = 0.8;
/** Interval at which the row of a guarded account is published again, in milliseconds. */
const REPUBLISH_MS = 1000;
/** The same while another daemon considers itself the owner as well, in milliseconds. */
const CONTESTED_REPUBLISH_MS = 100;
/** Time for which an account counts as contested after a row of another owner, in milliseconds. */
const CONTESTED_MS = 2000;
/**
 * Time constant with which the backlog of refused requests that are expected to be retried decays, in
 * milliseconds.
 */
const BACKLOG_DECAY_MS = 1000;
/** Time without a request after which the bucket of an open account is dropped, in milliseconds. */
const IDLE_TIMEOUT_MS = 15_000;
/**
 * Maximum age of a row of the previous owner from which a new owner takes over the level, in milliseconds.
 */
const MAX_HANDOVER_ROW_AGE_MS = 15_000;
/**
 * Initial share of the capacity when there is no recent row of a previous owner, so the account was not
 * guarded.
 */
const RUNNING_FILL = GUARD_BELOW_SHARE;
/** The same after a restart, when it is not known what was used before. */
const RESTART_FILL = 0.25;
const FULL_FILL = 1;
/**
 * Share of the window's quota that a previous owner is assumed to have admitted if it may have been at the
 * limit.
 */
const ASSUMED_USE_SHARE = 0.96;
const MS_PER_SECOND = 1000;

/** Decision of the owner of an account on a request. */
export interface ChargeResult {
  readonly isAdmitted: boolean;
  /** Time after which a refused request may be retried, in milliseconds. */
  readonly retryAfterMs: number;
  /** Time during which no request of the account will be admitted, in milliseconds. */
  readonly blockedMs: number;
}

/**
 * What a daemon knows about earlier usage when it creates a bucket; it determines the bucket's initial level.
 */
export enum LedgerStart {
  /** The whole fleet starts for the first time. */
  Fresh = 'fresh',
  /** This daemon has just started, and the others may have as well. */
  Restarted = 'restarted',
  /** This daemon has been receiving all rows for a while. */
  Running = 'running',
}

const INITIAL_FILLS: Readonly<Record<LedgerStart, number>> = {
  [LedgerStart.Fresh]: FULL_FILL,
  [LedgerStart.Restarted]: RESTART_FILL,
  [LedgerStart.Running]: RUNNING_FILL,
};

export interface QuotaLedgerOptions {
  /** Address of this daemon. */
  readonly self: string;
  /** Window within which an account may use its rate over the window plus its burst, in milliseconds. */
  readonly windowMs: number;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  readonly rows: QuotaTable;
  /** Whether this daemon owns an account. */
  readonly owns: (account: string) => boolean;
  readonly start: () => LedgerStart;
  /**
   * Share of the fleet's allowance that the daemons reachable from this one may use together, from 0 to 1.
   */
  readonly aliveShare: () => number;
  /** Publishes the state of a bucket to the other daemons. */
  readonly publish: (row: QuotaRow) => void;
}

interface Entry {
  quota: AccountQuota;
  readonly bucket: TokenBucket;
  /** Units charged within the window. */
  readonly windowUsage: SlidingSum;
  isGuarded: boolean;
  /** Monotonic milliseconds, as are the other times. */
  publishedAt: number;
  lastChargedAt: number;
  /** Units of refused requests that are expected to be retried, as of `lastChargedAt`. */
  backlog: number;
  /** Units charged since the bucket was created. */
  charged: number;
  contestedUntil: number;
  /** Units that other daemons have charged as owners of the account, by daemon. */
  readonly chargedByOtherOwners: Map<string, number>;
}

/** Buckets of the accounts that this daemon owns; they are created when first used. */
export class QuotaLedger {
  private readonly entries = new Map<string, Entry>();

  constructor(private readonly options: QuotaLedgerOptions) {}

  /**
   * Charges a request if the bucket and the window allow it. A refused request is added to the backlog, so that the
   * retry times of refused requests are spread.
   */
  charge(quota: AccountQuota, { account, units }: ChargeRequest): ChargeResult {
    const now = this.options.timers.now();
    const entry = this.entryFor(account, quota, now);
    const { bucket, windowUsage } = entry;
    const isWindowFull = windowUsage.total(now) >= this.maxUnitsInWindow(quota);
    const isAdmitted = !isWindowFull && bucket.tryTake(units, now);
    if (isAdmitted) countUnits(entry, units, now);
    else entry.backlog += units;
    this.updateMode(account, entry, now);
    if (isAdmitted) return { isAdmitted, retryAfterMs: 0, blockedMs: 0 };
    const windowMs = isWindowFull ? windowUsage.msUntilNextChange(now) : 0;
    return {
      isAdmitted,
      retryAfterMs: windowMs + bucket.waitMs(entry.backlog, now),
      blockedMs: Math.max(windowMs, bucket.waitMs(0, now)),
    };
  }

  /**
   * Charges usage that a daemon has admitted without asking, or refunds it.
   * @param units - Below 0 for a refund.
   */
  recordUsage(account: string, quota: AccountQuota, units: number): void {
    const now = this.options.timers.now();
    const entry = this.entryFor(account, quota, now);
    entry.bucket.charge(units, now);
    countUnits(entry, units, now);
    this.updateMode(account, entry, now);
  }

  /**
   * Merges the row of another daemon that considers itself the owner: what it has charged since its previous
   * row is charged here as well. Its first row only lowers the level.
   */
  reconcile({ account, owner, level, charged }: QuotaRow): void {
    const entry = this.entries.get(account);
    if (entry === undefined || owner === this.options.self) return;
    const now = this.options.timers.now();
    const chargedBefore = entry.chargedByOtherOwners.get(owner);
    if (chargedBefore === undefined) entry.bucket.capAt(level, now);
    else {
      const units = Math.max(0, charged - chargedBefore);
      entry.bucket.charge(units, now);
      entry.windowUsage.add(units, now);
    }
    entry.chargedByOtherOwners.set(owner, charged);
    entry.contestedUntil = now + CONTESTED_MS;
  }

  /**
   * Publishes the rows of guarded accounts again, opens accounts that have recovered, and drops buckets that
   * are idle or have another owner.
   */
  tick(): void {
    const now = this.options.timers.now();
    for (const [account, entry] of this.entries) {
      const isIdle = !entry.isGuarded && now - entry.lastChargedAt >= IDLE_TIMEOUT_MS;
      if (isIdle || !this.options.owns(account)) this.entries.delete(account);
      else this.updateMode(account, entry, now);
    }
  }

  /** Finds or creates an entry, updates its limit, and lets its backlog decay. */
  private entryFor(account: string, quota: AccountQuota, now: number): Entry {
    const entry = this.entries.get(account) ?? this.createEntry(account, quota, now);
    this.entries.set(account, entry);
    entry.quota = quota;
    entry.bucket.setLimit(this.bucketLimit(quota), now);
    entry.backlog *= Math.exp((entry.lastChargedAt - now) / BACKLOG_DECAY_MS);
    entry.lastChargedAt = now;
    return entry;
  }

  /**
   * Limit of an account's bucket. Over a window an account may use its burst in addition to its rate, so the
   * refill includes the burst once per window. During a partition each side has its share of the limit.
   */
  private bucketLimit({ ratePerSecond, burst }: AccountQuota): BucketLimit {
    const { aliveShare, windowMs } = this.options;
    const refill = ratePerSecond + (burst / windowMs) * MS_PER_SECOND;
    return { ratePerSecond: refill * aliveShare(), burst: burst * aliveShare() };
  }

  private maxUnitsInWindow({ ratePerSecond, burst }: AccountQuota): number {
    const { aliveShare, windowMs } = this.options;
    return (ratePerSecond * (windowMs / MS_PER_SECOND) + burst) * aliveShare();
  }

  /**
   * Creates the entry of an account that this daemon has become the owner of. If a previous owner may have
   * admitted all that the window allows, its usage is assumed to be spread evenly over the window.
   */
  private createEntry(account: string, quota: AccountQuota, now: number): Entry {
    const { rows, start, windowMs } = this.options;
    const limit = this.bucketLimit(quota);
    const lastRow = rows.get(account);
    const isHandover = lastRow !== undefined && now - lastRow.receivedAt <= MAX_HANDOVER_ROW_AGE_MS;
    // The previous owner would have published again within this interval; until then it may have used what
    // was refilled.
    const refilledFrom = isHandover ? Math.min(now, lastRow.receivedAt + REPUBLISH_MS) : now;
    const bucket = new TokenBucket(limit, isHandover ? FULL_FILL : INITIAL_FILLS[start()], refilledFrom);
    if (isHandover) bucket.capAt(lastRow.row.level, refilledFrom);
    const entry = emptyEntry(quota, bucket, windowMs, now);
    const wasAtLimit = isHandover ? lastRow.row.isGuarded : start() === LedgerStart.Restarted;
    if (wasAtLimit) entry.windowUsage.fillEvenly(this.maxUnitsInWindow(quota) * ASSUMED_USE_SHARE, now);
    return entry;
  }

  /** Switches an account between open and guarded, and publishes the row of a guarded one when it is due. */
  private updateMode(account: string, entry: Entry, now: number): void {
    const { bucket, isGuarded, publishedAt, contestedUntil } = entry;
    const availableShare = this.availableUnits(entry, now) / bucket.capacity;
    const shouldGuard = isGuarded ? availableShare < OPEN_ABOVE_SHARE : availableShare < GUARD_BELOW_SHARE;
    const republishMs = now < contestedUntil ? CONTESTED_REPUBLISH_MS : REPUBLISH_MS;
    if (shouldGuard === isGuarded && !(isGuarded && now - publishedAt >= republishMs)) return;
    if (shouldGuard !== isGuarded) this.logMode(account, bucket, shouldGuard, now);
    Object.assign(entry, { isGuarded: shouldGuard, publishedAt: now });
    this.publish(account, entry, now);
  }

  /** Units that could be admitted now, by the bucket and by the window. */
  private availableUnits({ bucket, windowUsage, quota }: Entry, now: number): number {
    return Math.min(bucket.level(now), this.maxUnitsInWindow(quota) - windowUsage.total(now));
  }

  private publish(account: string, { bucket, charged, isGuarded }: Entry, now: number): void {
    const { self, timers, rows, publish } = this.options;
    const lastSequence = rows.get(account)?.row.sequence ?? 0;
    const sequence = Math.max(Math.floor(timers.wall()), lastSequence + 1);
    const row = { account, owner: self, sequence, level: bucket.level(now), charged, isGuarded };
    rows.merge(row, now);
    publish(row);
  }

  private logMode(account: string, bucket: TokenBucket, isGuarded: boolean, now: number): void {
    const text = isGuarded
      ? `Quota of ${account} is guarded: each request is charged before it is sent.`
      : `Quota of ${account} is open: requests are sent without being charged first.`;
    this.options.log.decide('quota.mode', text, {
      account,
      isGuarded,
      level: Math.round(bucket.level(now)),
      capacity: Math.round(bucket.capacity),
      aliveShare: this.options.aliveShare(),
    });
  }
}

function emptyEntry(quota: AccountQuota, bucket: TokenBucket, windowMs: number, now: number): Entry {
  return {
    quota,
    bucket,
    windowUsage: new SlidingSum(windowMs),
    isGuarded: false,
    publishedAt: Number.NEGATIVE_INFINITY,
    lastChargedAt: now,
    backlog: 0,
    charged: 0,
    contestedUntil: Number.NEGATIVE_INFINITY,
    chargedByOtherOwners: new Map(),
  };
}

function countUnits(entry: Entry, units: number, now: number): void {
  const target = entry;
  target.charged += units;
  target.windowUsage.add(units, now);
}
