/**
 * The buckets of the accounts that this daemon owns.
 *
 * An account is open while its bucket is well filled: daemons admit its requests on their own and report them. Below a
 * part of the capacity it is guarded: each request is charged here before it is sent.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import { SlidingSum } from '../budget/index.js';
import type { ChargeRequest } from './quota-messages.js';
import type { QuotaRow, QuotaTable } from './quota-rows.js';
import type { BucketLimit } from './token-bucket.js';
import { TokenBucket } from './token-bucket.js';
import type { AccountQuota } from './types.js';

/** Part of the capacity below which an account is guarded, and above which it is open again. */
const GUARD_BELOW = 0.5;
const OPEN_ABOVE = 0.8;
/** Interval at which the row of a guarded account is repeated, in milliseconds. */
const REPEAT_MS = 1000;
/** The same while another daemon takes itself for the owner as well. */
const REPEAT_CONTESTED_MS = 100;
/** Time after a row of another owner for which an account counts as contested, in milliseconds. */
const CONTESTED_MS = 2000;
/**
 * Part of the capacity that is kept for requests that can still be on time: where an account asks for more than its quota,
 * one that comes back late would take the place of one that does not.
 */
const LATE_RESERVE = GUARD_BELOW;
/** Time over which refused requests are counted as those that will come back, in milliseconds. */
const BACKLOG_MS = 1000;
/** Time without a request after which a bucket is dropped, in milliseconds. */
const IDLE_MS = 15_000;
/** Age up to which the row of an earlier owner tells where its bucket stands, in milliseconds. */
const HANDOVER_MS = 15_000;
/** Part of its capacity that a bucket begins with when no earlier owner has guarded the account. */
const OPEN_FILL = GUARD_BELOW;
/** The same when the fleet has just started again: what was used before is not known. */
const RESTART_FILL = 0.25;
const FULL_FILL = 1;
/** Part of the window's quota that an earlier owner is taken to have admitted, where it may have been at the limit. */
const ASSUMED_USE = 0.96;
const MS_PER_SECOND = 1000;

/** What became of a request at the owner of its account. */
export interface ChargeResult {
  readonly isAdmitted: boolean;
  /** When a refused request may come back, in milliseconds. */
  readonly retryAfterMs: number;
  /** Time in which no request of the account is admitted, in milliseconds. */
  readonly blockedMs: number;
}

/** How much is known of what was used before. */
export enum LedgerStart {
  /** The whole fleet starts for the first time. */
  Fresh = 'fresh',
  /** This daemon has started a moment ago, and the others may have as well. */
  Restarted = 'restarted',
  /** This daemon has heard all rows for a while. */
  Running = 'running',
}

const FILLS: Readonly<Record<LedgerStart, number>> = {
  [LedgerStart.Fresh]: FULL_FILL,
  [LedgerStart.Restarted]: RESTART_FILL,
  [LedgerStart.Running]: OPEN_FILL,
};

/** Options of a ledger. */
export interface QuotaLedgerOptions {
  /** Address of this daemon. */
  readonly self: string;
  /** Window within which an account may use its rate over the window and its burst, in milliseconds. */
  readonly windowMs: number;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  readonly rows: QuotaTable;
  /** Whether this daemon owns an account. */
  readonly owns: (account: string) => boolean;
  readonly start: () => LedgerStart;
  /** Part of the daemons that may be running which this daemon knows to be alive, from 0 to 1. */
  readonly aliveShare: () => number;
  /** Tells the fleet of a bucket. */
  readonly publish: (row: QuotaRow) => void;
}

interface Entry {
  quota: AccountQuota;
  readonly bucket: TokenBucket;
  /** Units used within the window. */
  readonly used: SlidingSum;
  isGuarded: boolean;
  /** Monotonic milliseconds. */
  publishedAt: number;
  usedAt: number;
  /** Units of refused requests that are expected back, as of `usedAt`. */
  backlog: number;
  /** Units charged since the bucket was made. */
  charged: number;
  contestedUntil: number;
  /** Units that other owners of the account have charged, by owner. */
  readonly chargedElsewhere: Map<string, number>;
}

/** The buckets. */
export class QuotaLedger {
  private readonly entries = new Map<string, Entry>();

  /**
   * Makes a ledger without buckets.
   * @param options - Time, rows, and whom to tell.
   */
  constructor(private readonly options: QuotaLedgerOptions) {}

  /**
   * Charges a request.
   * @param quota - Quota of its account.
   * @param request - The request.
   * @returns Whether it is admitted, and else when it may come back.
   */
  charge(quota: AccountQuota, { account, units, isLate }: ChargeRequest): ChargeResult {
    const now = this.options.timers.now();
    const entry = this.entry(account, quota, now);
    const { bucket, used } = entry;
    const isWindowFull = used.total(now) >= this.mostInWindow(quota);
    const isHeldBack = isLate && this.headroom(entry, now) < bucket.capacity * LATE_RESERVE;
    const isAdmitted = !isWindowFull && !isHeldBack && bucket.take(units, now);
    if (isAdmitted) count(entry, units, now);
    else entry.backlog += units;
    this.review(account, entry, now);
    if (isAdmitted) return { isAdmitted, retryAfterMs: 0, blockedMs: 0 };
    const windowMs = isWindowFull ? used.nextChangeMs(now) : 0;
    return {
      isAdmitted,
      retryAfterMs: windowMs + bucket.waitMs(entry.backlog, now),
      blockedMs: Math.max(windowMs, bucket.waitMs(0, now)),
    };
  }

  /**
   * Takes what another daemon has admitted on its own, or gives back.
   * @param account - Name of the account.
   * @param quota - Its quota.
   * @param units - Units; below 0 to give back.
   */
  report(account: string, quota: AccountQuota, units: number): void {
    const now = this.options.timers.now();
    const entry = this.entry(account, quota, now);
    entry.bucket.charge(units, now);
    count(entry, units, now);
    this.review(account, entry, now);
  }

  /**
   * Takes the row of another owner: what it has charged since its last row is charged here as well.
   * @param row - The row.
   */
  reconcile({ account, owner, level, charged }: QuotaRow): void {
    const entry = this.entries.get(account);
    if (entry === undefined || owner === this.options.self) return;
    const now = this.options.timers.now();
    const before = entry.chargedElsewhere.get(owner);
    if (before === undefined) entry.bucket.lowerTo(level, now);
    else {
      const units = Math.max(0, charged - before);
      entry.bucket.charge(units, now);
      entry.used.add(units, now);
    }
    entry.chargedElsewhere.set(owner, charged);
    entry.contestedUntil = now + CONTESTED_MS;
  }

  /** Repeats rows, opens accounts that have recovered, and drops buckets that are idle or have another owner. */
  tick(): void {
    const now = this.options.timers.now();
    for (const [account, entry] of this.entries) {
      const isIdle = !entry.isGuarded && now - entry.usedAt >= IDLE_MS;
      if (isIdle || !this.options.owns(account)) this.entries.delete(account);
      else this.review(account, entry, now);
    }
  }

  private entry(account: string, quota: AccountQuota, now: number): Entry {
    const entry = this.entries.get(account) ?? this.begin(account, quota, now);
    this.entries.set(account, entry);
    entry.quota = quota;
    entry.bucket.setLimit(this.limit(quota), now);
    entry.backlog *= Math.exp((entry.usedAt - now) / BACKLOG_MS);
    entry.usedAt = now;
    return entry;
  }

  /**
   * The bucket's limit. Over a window an account may use its burst beside its rate, so the burst is refilled in that time
   * beside the rate. Daemons on one side of a partition have their part of it.
   */
  private limit({ ratePerSecond, burst }: AccountQuota): BucketLimit {
    const { aliveShare, windowMs } = this.options;
    const refill = ratePerSecond + (burst / windowMs) * MS_PER_SECOND;
    return { ratePerSecond: refill * aliveShare(), burst: burst * aliveShare() };
  }

  private mostInWindow({ ratePerSecond, burst }: AccountQuota): number {
    const { aliveShare, windowMs } = this.options;
    return (ratePerSecond * (windowMs / MS_PER_SECOND) + burst) * aliveShare();
  }

  /**
   * Begins to keep an account. Where an earlier owner may have admitted all that the window allows, what it admitted
   * counts as spread evenly over the window.
   */
  private begin(account: string, quota: AccountQuota, now: number): Entry {
    const { rows, start, windowMs } = this.options;
    const limit = this.limit(quota);
    const known = rows.get(account);
    const isHandover = known !== undefined && now - known.heardAt <= HANDOVER_MS;
    // What was refilled after the last row has been used as well while the earlier owner ran.
    const refilledFrom = isHandover ? Math.min(now, known.heardAt + REPEAT_MS) : now;
    const bucket = new TokenBucket(limit, isHandover ? FULL_FILL : FILLS[start()], refilledFrom);
    if (isHandover) bucket.lowerTo(known.row.level, refilledFrom);
    const entry = makeEntry(quota, bucket, windowMs, now);
    const wasAtLimit = isHandover ? known.row.isGuarded : start() === LedgerStart.Restarted;
    if (wasAtLimit) entry.used.assume(this.mostInWindow(quota) * ASSUMED_USE, now);
    return entry;
  }

  private review(account: string, entry: Entry, now: number): void {
    const { bucket, isGuarded, publishedAt, contestedUntil } = entry;
    const share = this.headroom(entry, now) / bucket.capacity;
    const shouldGuard = isGuarded ? share < OPEN_ABOVE : share < GUARD_BELOW;
    const repeatMs = now < contestedUntil ? REPEAT_CONTESTED_MS : REPEAT_MS;
    if (shouldGuard === isGuarded && !(isGuarded && now - publishedAt >= repeatMs)) return;
    if (shouldGuard !== isGuarded) this.tell(account, bucket, shouldGuard, now);
    Object.assign(entry, { isGuarded: shouldGuard, publishedAt: now });
    this.publish(account, entry, now);
  }

  /** Units that could be admitted at once. */
  private headroom({ bucket, used, quota }: Entry, now: number): number {
    return Math.min(bucket.level(now), this.mostInWindow(quota) - used.total(now));
  }

  private publish(account: string, { bucket, charged, isGuarded }: Entry, now: number): void {
    const { self, timers, rows, publish } = this.options;
    const last = rows.get(account)?.row.sequence ?? 0;
    const sequence = Math.max(Math.floor(timers.wall()), last + 1);
    const row = { account, owner: self, sequence, level: bucket.level(now), charged, isGuarded };
    rows.merge(row, now);
    publish(row);
  }

  private tell(account: string, bucket: TokenBucket, isGuarded: boolean, now: number): void {
    const text = isGuarded
      ? `Requests of ${account} are charged before they are sent.`
      : `Requests of ${account} are sent without being charged first.`;
    this.options.log.decide('quota.mode', text, {
      account,
      isGuarded,
      level: Math.round(bucket.level(now)),
      capacity: Math.round(bucket.capacity),
      aliveShare: this.options.aliveShare(),
    });
  }
}

function makeEntry(quota: AccountQuota, bucket: TokenBucket, windowMs: number, now: number): Entry {
  return {
    quota,
    bucket,
    used: new SlidingSum(windowMs),
    isGuarded: false,
    publishedAt: Number.NEGATIVE_INFINITY,
    usedAt: now,
    backlog: 0,
    charged: 0,
    contestedUntil: Number.NEGATIVE_INFINITY,
    chargedElsewhere: new Map(),
  };
}

function count(entry: Entry, units: number, now: number): void {
  const counted = entry;
  counted.charged += units;
  counted.used.add(units, now);
}
