/**
 * Quotas of client accounts, kept by the whole fleet.
 *
 * Each account has an owner among the daemons, which keeps its bucket. While the bucket is well filled a daemon admits at
 * once and reports afterwards; otherwise it has each request charged first. A daemon that can't reach the owner admits its
 * own part of the limit.
 */
import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';

import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { DisseminationTree, TopicHandler } from '../dissemination/index.js';
import { Topic } from '../dissemination/index.js';
import type { FleetShare } from '../shares/index.js';
import { CUT_OFF_MS } from '../shares/index.js';
import { AccountOwners } from './account-owners.js';
import { LocalShare } from './local-share.js';
import type { ChargeResult } from './quota-ledger.js';
import { LedgerStart, QuotaLedger } from './quota-ledger.js';
import type {
  ChargeAnswerFrame,
  ChargeFrame,
  ChargeRequest,
  UsageFrame,
  UsageReport,
} from './quota-messages.js';
import {
  decodeCharge,
  decodeChargeAnswer,
  decodeUsage,
  encodeCharge,
  encodeChargeAnswer,
} from './quota-messages.js';
import type { QuotaFrame, QuotaRow } from './quota-rows.js';
import { decodeQuota, encodeQuota, QuotaTable } from './quota-rows.js';
import type { AccountQuota, ClientAccount } from './types.js';
import { QuotaUnit } from './types.js';
import { UsageReporter } from './usage-reporter.js';

/** Longest wait for the owner's answer, in milliseconds. */
const ANSWER_MS = 100;
const TICK_MS = 100;
/** Age of the shared state beyond which a daemon can't tell whether an account is guarded, in milliseconds. */
const MAX_STATE_AGE_MS = 1500;
/** Time since its start from which a daemon would have heard of each account that was guarded before, in milliseconds. */
const RUNNING_AFTER_MS = 5000;
/** Part of a quota that a daemon takes for its own at most while it does not know the fleet yet. */
const MOST_UNSETTLED_PART = 1 / 64;
/** Part of its burst that a daemon's own part begins with: the owner may have admitted all that there was. */
const OWN_PART_FILL = 0.1;
/** Part of the burst that all daemons together may admit before the owner knows of it, beside one request each. */
const MAX_UNCONFIRMED_SHARE = 0.25;
/** Time without a request after which a daemon forgets its part of an account, in milliseconds. */
const FORGET_MS = 30_000;
/** Least time after which a refused client may come back, in milliseconds. */
const LEAST_RETRY_MS = 50;

/** Who decided on a request. */
export enum QuotaDecider {
  /** This daemon, as the bucket is well filled or the account has no quota. */
  Open = 'open',
  /** The owner of the account. */
  Owner = 'owner',
  /** This daemon, by an answer of the owner some milliseconds ago. */
  Blocked = 'blocked',
  /** This daemon on its own part, as the owner can't be reached. */
  OwnPart = 'ownPart',
}

/** Whether a request may be sent. */
export interface QuotaDecision {
  readonly isAdmitted: boolean;
  readonly decider: QuotaDecider;
  /** When a refused request may come back, in milliseconds. */
  readonly retryAfterMs: number;
}

/** What a request costs its account, and how soon it must be served. */
export interface QuotaNeed {
  /** Tokens that the request states. */
  readonly statedTokens: number | undefined;
  /** Whether its answer will be late whatever is done. */
  readonly isLate: boolean;
}

/** What quotas use of the daemon. */
export interface AccountQuotasOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'alive' | 'possible' | 'request' | 'handle'>;
  readonly tree: Pick<DisseminationTree, 'register' | 'publish' | 'ageMs' | 'isPlaced'>;
  /** Window of the quotas, in milliseconds. */
  readonly windowMs: number;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Finds an account in the configuration in force. */
  readonly account: (name: string) => ClientAccount | undefined;
  /** Whether this daemon knows the fleet and believes what it knows. */
  readonly isSettled: () => boolean;
  /** What part of a quota falls to whom by what this daemon knows of the fleet. */
  readonly share: Pick<FleetShare, 'side' | 'one'>;
  /** Addresses of daemons that there should be. */
  readonly seeds: () => readonly string[];
  /** Whether the whole fleet starts for the first time, before any client. */
  readonly isFirstStart: boolean;
}

interface LocalAccount {
  readonly share: LocalShare;
  /** Monotonic time before which the owner admits no request of the account. */
  blockedUntil: number;
}

/** Decides for each request whether its account has room. */
export class AccountQuotas {
  private readonly owners: AccountOwners;

  private readonly rows = new QuotaTable();

  private readonly ledger: QuotaLedger;

  private readonly reporter: UsageReporter;

  private readonly locals = new Map<string, LocalAccount>();

  private readonly startedAt: number;

  private readonly ticking: TimerHandle;

  /**
   * Registers the messages and the topic of quotas.
   * @param options - The daemon's parts.
   */
  constructor(private readonly options: AccountQuotasOptions) {
    const { self, cluster, tree, timers, log, windowMs, share } = options;
    this.startedAt = timers.now();
    this.owners = new AccountOwners(() => cluster.alive());
    this.ledger = new QuotaLedger({
      self,
      windowMs,
      timers,
      log,
      rows: this.rows,
      owns: (account) => this.owners.of(account) === self,
      start: () => this.ledgerStart(),
      aliveShare: () => share.side(),
      publish: (row) => tree.publish(Topic.AccountQuota, row),
    });
    this.reporter = new UsageReporter({
      self,
      cluster,
      timers,
      ownerOf: (account) => this.owners.of(account),
      knowsFleet: () => this.knowsFleet(),
      takeReceipt: (receipt) => this.takeReceipt(receipt as readonly QuotaFrame[]),
      takeOwn: (report) => this.takeReport(report),
    });
    cluster.handle(MessageType.QuotaCharge, (_from, frame: ChargeFrame) => this.handleCharge(frame));
    cluster.handle(MessageType.QuotaUsage, (_from, frame: UsageFrame) => this.handleUsage(frame));
    tree.register(Topic.AccountQuota, this.topic());
    this.ticking = timers.repeat(TICK_MS, () => this.tick());
  }

  /** Ends what runs by time. */
  stop(): void {
    this.ticking.cancel();
    this.reporter.stop();
  }

  /**
   * Charges a request to its account.
   * @param account - The account.
   * @param need - What the request needs.
   * @returns Whether it may be sent.
   */
  async charge(account: ClientAccount, { statedTokens, isLate }: QuotaNeed): Promise<QuotaDecision> {
    const { name, quota } = account;
    if (quota === undefined) return admitted(QuotaDecider.Open);
    const units = costOf(quota, statedTokens);
    const local = this.local(name);
    const decision = await this.decide(quota, { account: name, units, isLate }, local);
    if (decision.isAdmitted) local.share.note(units, this.options.timers.now());
    return decision;
  }

  /**
   * Gives back what a request was charged that has not run.
   * @param account - The account.
   * @param statedTokens - Tokens that the request stated.
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
    const owner = this.owners.of(name);
    if (!this.knowsFleet()) return this.decideAlone(name, quota, units, local);
    if (owner === self) return decided(this.ledger.charge(quota, request));
    if (this.isOpen(name, quota)) {
      this.reporter.add(name, units);
      return admitted(QuotaDecider.Open);
    }
    const blockedMs = local.blockedUntil - timers.now();
    if (blockedMs > 0) return refused(QuotaDecider.Blocked, blockedMs);
    const result = await this.ask(owner, request);
    if (result === undefined) return this.decideAlone(name, quota, units, local);
    Object.assign(local, { blockedUntil: timers.now() + result.blockedMs });
    return decided(result);
  }

  private decideAlone(
    name: string,
    quota: AccountQuota,
    units: number,
    { share }: LocalAccount,
  ): QuotaDecision {
    const now = this.options.timers.now();
    const part = this.options.share.one();
    const own = this.knowsFleet() ? part : Math.min(MOST_UNSETTLED_PART, part);
    if (!share.take(quota, own, units, now)) return refused(QuotaDecider.OwnPart, share.waitMs(now));
    this.reporter.add(name, units);
    return admitted(QuotaDecider.OwnPart);
  }

  /** Whether this daemon can tell who owns what. */
  private knowsFleet(): boolean {
    const { self, cluster, timers, isSettled, seeds, isFirstStart } = this.options;
    if (!isSettled()) return false;
    if (isFirstStart || cluster.alive().length > 1 || timers.now() - this.startedAt > CUT_OFF_MS) return true;
    return seeds().every((seed) => seed === self);
  }

  /**
   * Whether it is known that the bucket is well filled, and its owner hears of what is used: what all daemons together
   * have admitted without its knowledge stays below a part of the burst.
   */
  private isOpen(name: string, { burst }: AccountQuota): boolean {
    const { tree, timers, cluster } = this.options;
    if (!tree.isPlaced || tree.ageMs > MAX_STATE_AGE_MS) return false;
    if (this.rows.isGuarded(name, timers.now()) || this.reporter.isUnreachable(name)) return false;
    const most = (burst * MAX_UNCONFIRMED_SHARE) / cluster.possible();
    return this.reporter.unconfirmed(name) <= most;
  }

  private async ask(owner: string, request: ChargeRequest): Promise<ChargeResult | undefined> {
    const { cluster, log } = this.options;
    try {
      const frame = encodeCharge(request);
      const answer = await cluster.request(owner, MessageType.QuotaCharge, frame, ANSWER_MS);
      return decodeChargeAnswer(answer as ChargeAnswerFrame);
    } catch (err) {
      log.debug(`${owner} does not charge ${request.account}: ${String(err)}.`);
      return undefined;
    }
  }

  private handleCharge(frame: ChargeFrame): ChargeAnswerFrame {
    const request = decodeCharge(frame);
    const quota = this.options.account(request.account)?.quota;
    if (quota === undefined || !this.knowsFleet()) return encodeChargeAnswer(undefined);
    return encodeChargeAnswer(this.ledger.charge(quota, request));
  }

  /** Takes usage; the receipt names those of the accounts that are guarded, whatever the shared state has told. */
  private handleUsage(frame: UsageFrame): QuotaFrame[] {
    const reports = decodeUsage(frame);
    for (const report of reports) this.takeReport(report);
    const now = this.options.timers.now();
    return reports
      .filter(({ account }) => this.rows.isGuarded(account, now))
      .map(({ account }) => encodeQuota(this.rows.get(account)!.row));
  }

  private takeReceipt(frames: readonly QuotaFrame[]): void {
    for (const frame of frames) this.takeRow(decodeQuota(frame));
  }

  private takeRow(row: QuotaRow): boolean {
    const isNews = this.rows.merge(row, this.options.timers.now());
    if (isNews) this.ledger.reconcile(row);
    return isNews;
  }

  private takeReport({ account, units }: UsageReport): void {
    const quota = this.options.account(account)?.quota;
    if (quota !== undefined) this.ledger.report(account, quota, units);
  }

  private ledgerStart(): LedgerStart {
    const { isFirstStart, timers } = this.options;
    if (isFirstStart) return LedgerStart.Fresh;
    const isRunning = timers.now() - this.startedAt >= RUNNING_AFTER_MS;
    return isRunning ? LedgerStart.Running : LedgerStart.Restarted;
  }

  private local(name: string): LocalAccount {
    const known = this.locals.get(name);
    if (known !== undefined) return known;
    const share = new LocalShare(OWN_PART_FILL, this.options.timers.now());
    const made = { share, blockedUntil: 0 };
    this.locals.set(name, made);
    return made;
  }

  private tick(): void {
    const now = this.options.timers.now();
    this.ledger.tick();
    this.rows.forget(FORGET_MS, now);
    for (const [name, { share }] of this.locals)
      if (now - share.lastUsedAt >= FORGET_MS) this.locals.delete(name);
  }

  private topic(): TopicHandler<QuotaRow> {
    const { timers } = this.options;
    return {
      isUrgent: true,
      keyOf: ({ account, owner }) => `${account}|${owner}`,
      merge: (row) => this.takeRow(row),
      snapshot: () => this.rows.current(timers.now()),
      encode: encodeQuota,
      decode: decodeQuota,
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
  return { isAdmitted: false, decider, retryAfterMs: Math.max(LEAST_RETRY_MS, waitMs) };
}

function decided({ isAdmitted, retryAfterMs }: ChargeResult): QuotaDecision {
  return isAdmitted ? admitted(QuotaDecider.Owner) : refused(QuotaDecider.Owner, retryAfterMs);
}
