/**
 * Enforces the quotas of client accounts across all daemons.
 *
 * Each account has an owner among the daemons, which holds its token bucket. While the bucket is well filled
 * (the account is open), a daemon admits requests immediately and reports the usage afterwards; otherwise
 * (the account is guarded) it has each request charged by the owner first. A daemon that can't reach the
 * owner admits its own share of the limit.
 */
import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';

import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { DisseminationTree, TopicHandler } from '../dissemination/index.js';
import { Topic } from '../dissemination/index.js';
import type { FleetShare } from '../shares/index.js';
import { DISCOVERY_MS } from '../shares/index.js';
import { AccountOwners } from './account-owners.js';
import { LocalShare } from './local-share.js';
import type { ChargeResult } from './quota-ledger.js';
import { LedgerStart, QuotaLedger } from './quota-ledger.js';
import type {
  ChargeResponseFrame,
  ChargeFrame,
  ChargeRequest,
  UsageFrame,
  UsageReport,
} from './quota-messages.js';
import {
  decodeCharge,
  decodeChargeResponse,
  decodeUsage,
  encodeCharge,
  encodeChargeResponse,
} from './quota-messages.js';
import type { QuotaRowFrame, QuotaRow } from './quota-rows.js';
import { decodeQuotaRow, encodeQuotaRow, QuotaTable } from './quota-rows.js';
import type { AccountQuota, ClientAccount } from './types.js';
import { QuotaUnit } from './types.js';
import { UsageReporter } from './usage-reporter.js';

/** Timeout of a charge request to the owner, in milliseconds. */
const CHARGE_TIMEOUT_MS = 100;
const TICK_MS = 100;
/**
 * Maximum age of the shared state from which a daemon may conclude that an account is open, in milliseconds.
 */
const MAX_STATE_AGE_MS = 1500;
/**
 * Time after its start by which a daemon has received the rows of all accounts that were guarded before, in
 * milliseconds.
 */
const RUNNING_AFTER_MS = 5000;
/** Maximum share of a quota that a daemon uses while it does not know the fleet yet. */
const MAX_UNSETTLED_SHARE = 1 / 64;
/**
 * Initial level of a daemon's local share, as a share of its burst: the owner may have used up the bucket.
 */
const LOCAL_SHARE_INITIAL_FILL = 0.1;
/**
 * Share of the burst that all daemons together may admit before the owner knows of it, in addition to one
 * request each.
 */
const MAX_UNCONFIRMED_SHARE = 0.25;
/**
 * Time after which a daemon drops the local state of an account without requests, and rows that were not
 * updated, in milliseconds.
 */
const RETENTION_MS = 30_000;
/** Minimum time after which a refused client is asked to retry, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50;

/** Which daemon decided on a request, and how. */
export enum QuotaDecider {
  /** This daemon, because the account is open or has no quota. */
  Open = 'open',
  /** The owner of the account. */
  Owner = 'owner',
  /**
   * This daemon, because the owner recently stated a time during which it admits no request of the account.
   */
  Blocked = 'blocked',
  /** This daemon, against its own share, because the owner is unknown or unreachable. */
  OwnShare = 'ownPart',
}

/** Whether a request may be sent. */
export interface QuotaDecision {
  readonly isAdmitted: boolean;
  readonly decider: QuotaDecider;
  /** Time after which a refused request may be retried, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Parts of the daemon that quotas use. */
export interface AccountQuotasOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'aliveAddresses' | 'aliveOrSilentCount' | 'request' | 'handle'>;
  readonly tree: Pick<DisseminationTree, 'register' | 'publish' | 'rootBatchAgeMs' | 'hasSharedState'>;
  /** Window of the quotas, in milliseconds. */
  readonly windowMs: number;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Finds an account in the configuration in force. */
  readonly account: (name: string) => ClientAccount | undefined;
  /** Whether the daemon's view of the fleet has settled after a start or a pause. */
  readonly isSettled: () => boolean;
  /** Shares of the fleet's allowances, by what this daemon knows of the fleet. */
  readonly share: Pick<FleetShare, 'partitionShare' | 'isolatedShare'>;
  /** Addresses of daemons that are expected to exist. */
  readonly seeds: () => readonly string[];
  /** Whether the whole fleet starts for the first time, before any client. */
  readonly isFirstStart: boolean;
}

interface LocalAccount {
  readonly share: LocalShare;
  /** Monotonic time before which the owner admits no request of the account. */
  blockedUntil: number;
}

/** Decides for each request whether the quota of its account admits it. */
export class AccountQuotas {
  private readonly owners: AccountOwners;

  private readonly rows = new QuotaTable();

  private readonly ledger: QuotaLedger;

  private readonly reporter: UsageReporter;

  private readonly localAccounts = new Map<string, LocalAccount>();

  private readonly startedAt: number;

  private readonly tickTimer: TimerHandle;

  /** Registers the message handlers and the shared-state topic of quotas. */
  constructor(private readonly options: AccountQuotasOptions) {
    const { self, cluster, tree, timers, log, windowMs, share } = options;
    this.startedAt = timers.now();
    this.owners = new AccountOwners(() => cluster.aliveAddresses());
    this.ledger = new QuotaLedger({
      self,
      windowMs,
      timers,
      log,
      rows: this.rows,
      owns: (account) => this.owners.ownerOf(account) === self,
      start: () => this.ledgerStart(),
      aliveShare: () => share.partitionShare(),
      publish: (row) => tree.publish(Topic.AccountQuota, row),
    });
    this.reporter = new UsageReporter({
      self,
      cluster,
      timers,
      ownerOf: (account) => this.owners.ownerOf(account),
      areOwnersKnown: () => this.areOwnersKnown(),
      onReceipt: (receipt) => this.mergeReceipt(receipt as readonly QuotaRowFrame[]),
      onOwnUsage: (report) => this.recordUsage(report),
    });
    cluster.handle(MessageType.QuotaCharge, (_from, frame: ChargeFrame) => this.handleCharge(frame));
    cluster.handle(MessageType.QuotaUsage, (_from, frame: UsageFrame) => this.handleUsage(frame));
    tree.register(Topic.AccountQuota, this.quotaTopic());
    this.tickTimer = timers.repeat(TICK_MS, () => this.tick());
  }

  /** Cancels the timers. */
  stop(): void {
    this.tickTimer.cancel();
    this.reporter.stop();
  }

  /**
   * Charges a request to its account, and decides whether it may be sent.
   * @param statedTokens - Undefined if the request does not state its number of tokens.
   */
  async charge(account: ClientAccount, statedTokens: number | undefined): Promise<QuotaDecision> {
    const { name, quota } = account;
    if (quota === undefined) return admitted(QuotaDecider.Open);
    const units = costOf(quota, statedTokens);
    const localAccount = this.localAccountOf(name);
    const decision = await this.decide(quota, { account: name, units }, localAccount);
    if (decision.isAdmitted) localAccount.share.recordAdmitted(units, this.options.timers.now());
    return decision;
  }

  /**
   * Refunds the cost of a request that did not run.
   * @param statedTokens - Tokens that the request stated, as when it was charged.
   */
  refund({ name, quota }: ClientAccount, statedTokens: number | undefined): void {
    if (quota !== undefined) this.reporter.add(name, -costOf(quota, statedTokens));
  }

  private async decide(
    quota: AccountQuota,
    request: ChargeRequest,
    local: LocalAccount,
  ): Promise<QuotaDecision> {
    const { self, timers } = this.options;
    const { account: name, units } = request;
    const owner = this.owners.ownerOf(name);
    if (!this.areOwnersKnown()) return this.decideLocally(name, quota, units, local);
    if (owner === self) return decided(this.ledger.charge(quota, request));
    if (this.isOpen(name, quota)) {
      this.reporter.add(name, units);
      return admitted(QuotaDecider.Open);
    }
    const blockedMs = local.blockedUntil - timers.now();
    if (blockedMs > 0) return refused(QuotaDecider.Blocked, blockedMs);
    const result = await this.requestCharge(owner, request);
    if (result === undefined) return this.decideLocally(name, quota, units, local);
    Object.assign(local, { blockedUntil: timers.now() + result.blockedMs });
    return decided(result);
  }

  private decideLocally(
    name: string,
    quota: AccountQuota,
    units: number,
    { share }: LocalAccount,
  ): QuotaDecision {
    const now = this.options.timers.now();
    const fleetShare = this.options.share.isolatedShare();
    const allowedShare = this.areOwnersKnown() ? fleetShare : Math.min(MAX_UNSETTLED_SHARE, fleetShare);
    if (!share.tryAdmit(quota, allowedShare, units, now))
      return refused(QuotaDecider.OwnShare, share.retryAfterMs(now));
    this.reporter.add(name, units);
    return admitted(QuotaDecider.OwnShare);
  }

  /**
   * Whether this daemon can determine the owners of accounts: its view of the fleet has settled, and either
   * the daemon is not alone, or it is expected to be.
   */
  private areOwnersKnown(): boolean {
    const { self, cluster, timers, isSettled, seeds, isFirstStart } = this.options;
    if (!isSettled()) return false;
    if (isFirstStart || cluster.aliveAddresses().length > 1 || timers.now() - this.startedAt > DISCOVERY_MS)
      return true;
    return seeds().every((seed) => seed === self);
  }

  /**
   * Whether an account is known to be open and its owner receives usage reports. The units that this daemon
   * has not yet had confirmed are limited, so that those of all daemons together stay below a share of the
   * burst.
   */
  private isOpen(name: string, { burst }: AccountQuota): boolean {
    const { tree, timers, cluster } = this.options;
    if (!tree.hasSharedState || tree.rootBatchAgeMs > MAX_STATE_AGE_MS) return false;
    if (this.rows.isGuarded(name, timers.now()) || this.reporter.isUnreachable(name)) return false;
    const maxUnconfirmedUnits = (burst * MAX_UNCONFIRMED_SHARE) / cluster.aliveOrSilentCount();
    return this.reporter.unconfirmedUnits(name) <= maxUnconfirmedUnits;
  }

  private async requestCharge(owner: string, request: ChargeRequest): Promise<ChargeResult | undefined> {
    const { cluster, log } = this.options;
    try {
      const frame = encodeCharge(request);
      const response = await cluster.request(owner, MessageType.QuotaCharge, frame, CHARGE_TIMEOUT_MS);
      return decodeChargeResponse(response as ChargeResponseFrame);
    } catch (err) {
      log.debug(`${owner} failed to charge ${request.account}: ${String(err)}.`);
      return undefined;
    }
  }

  private handleCharge(frame: ChargeFrame): ChargeResponseFrame {
    const request = decodeCharge(frame);
    const quota = this.options.account(request.account)?.quota;
    if (quota === undefined || !this.areOwnersKnown()) return encodeChargeResponse(undefined);
    return encodeChargeResponse(this.ledger.charge(quota, request));
  }

  /**
   * Records reported usage. The receipt contains the rows of those accounts that are guarded, as the
   * reporting daemon may not have received them with the shared state.
   */
  private handleUsage(frame: UsageFrame): QuotaRowFrame[] {
    const reports = decodeUsage(frame);
    for (const report of reports) this.recordUsage(report);
    const now = this.options.timers.now();
    return reports
      .filter(({ account }) => this.rows.isGuarded(account, now))
      .map(({ account }) => encodeQuotaRow(this.rows.get(account)!.row));
  }

  private mergeReceipt(frames: readonly QuotaRowFrame[]): void {
    for (const frame of frames) this.mergeRow(decodeQuotaRow(frame));
  }

  private mergeRow(row: QuotaRow): boolean {
    const isNew = this.rows.merge(row, this.options.timers.now());
    if (isNew) this.ledger.reconcile(row);
    return isNew;
  }

  private recordUsage({ account, units }: UsageReport): void {
    const quota = this.options.account(account)?.quota;
    if (quota !== undefined) this.ledger.recordUsage(account, quota, units);
  }

  private ledgerStart(): LedgerStart {
    const { isFirstStart, timers } = this.options;
    if (isFirstStart) return LedgerStart.Fresh;
    const isRunning = timers.now() - this.startedAt >= RUNNING_AFTER_MS;
    return isRunning ? LedgerStart.Running : LedgerStart.Restarted;
  }

  private localAccountOf(name: string): LocalAccount {
    const known = this.localAccounts.get(name);
    if (known !== undefined) return known;
    const share = new LocalShare(LOCAL_SHARE_INITIAL_FILL, this.options.timers.now());
    const created = { share, blockedUntil: 0 };
    this.localAccounts.set(name, created);
    return created;
  }

  private tick(): void {
    const now = this.options.timers.now();
    this.ledger.tick();
    this.rows.removeOlderThan(RETENTION_MS, now);
    for (const [name, { share }] of this.localAccounts)
      if (now - share.lastUsedAt >= RETENTION_MS) this.localAccounts.delete(name);
  }

  private quotaTopic(): TopicHandler<QuotaRow> {
    const { timers } = this.options;
    return {
      isUrgent: true,
      keyOf: ({ account, owner }) => `${account}|${owner}`,
      merge: (row) => this.mergeRow(row),
      snapshot: () => this.rows.currentRows(timers.now()),
      encode: encodeQuotaRow,
      decode: decodeQuotaRow,
    };
  }
}

function costOf({ unit, plainTokens }: AccountQuota, statedTokens: number | undefined): number {
  return unit === QuotaUnit.Tokens ? (statedTokens ?? plainTokens) : 1;
}

function admitted(decider: QuotaDecider): QuotaDecision {
  return { isAdmitted: true, decider, retryAfterMs: 0 };
}

function refused(decider: QuotaDecider, waitMs: number): QuotaDecision {
  return { isAdmitted: false, decider, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs) };
}

function decided({ isAdmitted, retryAfterMs }: ChargeResult): QuotaDecision {
  return isAdmitted ? admitted(QuotaDecider.Owner) : refused(QuotaDecider.Owner, retryAfterMs);
}
