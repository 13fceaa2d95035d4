/** Divides the limits of the callers in the buckets that this daemon is the home of. */
import type { CustodyTerm } from '../custody/index.js';
import type { PeerIdentity } from '../peers/index.js';
import { LimitAccount } from './account.js';
import type { CallerLimitsOptions } from './types.js';
import type { ExchangeAnswer, ExchangeMessage, GrantItem, HeldItem, ReportItem } from './wire.js';
import { SURVEY } from './wire.js';

const DEFAULT_CALL_TIMEOUT_MS = 300;
const SURVEY_AGAIN_MS = 250;
/** An exchange waits for a survey, so that a survey must end sooner. */
const EXCHANGE_OVER_SURVEY = 3;

/** The accounts of one bucket under one term. */
interface Branch {
  readonly epoch: number;
  readonly accounts: Map<string, LimitAccount>;
  /** Daemons that have said what they hold. */
  readonly surveyed: Map<string, number>;
  /** The last report of each daemon; one that comes late is not taken in. */
  readonly lastSeq: Map<string, number>;
  surveyedAt: number;
  survey: Promise<void> | undefined;
}

/**
 * Names the key that decides which daemon divides a caller's limits.
 * @param caller - The caller.
 * @returns The key of its bucket.
 */
export function limitKeyOf(caller: string): string {
  return `limit/${caller}`;
}

/** The accounts that this daemon keeps. */
export class LimitBank {
  private readonly branches = new Map<number, Branch>();

  constructor(private readonly options: CallerLimitsOptions) {}

  /** Serves `limits.exchange`. */
  async exchange({ seq, items }: ExchangeMessage, from: PeerIdentity): Promise<ExchangeAnswer> {
    const { custody } = this.options;
    const grants: GrantItem[] = [];
    const elsewhere: { caller: string; home: string | undefined }[] = [];
    for (const item of items) {
      const bucket = custody.bucketOf(limitKeyOf(item.caller));
      await this.ensureSurveyed(bucket);
      const term = custody.homeTerm(bucket);
      const grant = term === undefined ? undefined : this.grant(term, item, seq, from);
      if (grant === undefined) elsewhere.push({ caller: item.caller, home: custody.likelyHome(bucket) });
      else grants.push(grant);
    }
    return { grants, elsewhere };
  }

  /** Forgets what is idle, ended or no longer this daemon's. */
  prune(): void {
    const { custody } = this.options;
    for (const [bucket, branch] of this.branches) {
      if (custody.homeTerm(bucket)?.epoch !== branch.epoch) this.branches.delete(bucket);
      for (const [caller, account] of branch.accounts) {
        account.prune((daemon, incarnation) => custody.isStopped(daemon, incarnation));
        if (account.isIdle) branch.accounts.delete(caller);
      }
    }
  }

  private grant(term: CustodyTerm, item: ReportItem, seq: number, from: PeerIdentity): GrantItem | undefined {
    const branch = this.branches.get(term.bucket);
    if (branch === undefined || branch.epoch !== term.epoch) return undefined;
    const order = `${from.name}/${from.incarnation}/${item.caller}`;
    if ((branch.lastSeq.get(order) ?? -1) >= seq) return undefined;
    branch.lastSeq.set(order, seq);
    let account = branch.accounts.get(item.caller);
    if (account === undefined) {
      account = new LimitAccount(item.caller, this.options.timers);
      branch.accounts.set(item.caller, account);
    }
    account.prune((daemon, incarnation) => this.options.custody.isStopped(daemon, incarnation));
    return account.exchange(from.name, from.incarnation, item, term.epoch, this.isComplete(branch));
  }

  /** Whether it is known what every daemon holds that may hold anything. */
  private isComplete({ surveyed }: Branch): boolean {
    return [...this.options.custody.possibleDaemons()].every((name) => surveyed.has(name));
  }

  /** Asks everyone once for each term, and again those that did not answer. */
  private async ensureSurveyed(bucket: number): Promise<void> {
    const { custody, timers } = this.options;
    const term = custody.homeTerm(bucket);
    if (term === undefined) return;
    let branch = this.branches.get(bucket);
    if (branch === undefined || branch.epoch !== term.epoch) {
      branch = {
        epoch: term.epoch,
        accounts: new Map(),
        surveyed: new Map(),
        lastSeq: new Map(),
        surveyedAt: -Infinity,
        survey: undefined,
      };
      this.branches.set(bucket, branch);
    }
    if (this.isComplete(branch)) return;
    const opened = branch;
    if (opened.survey === undefined && timers.now() - opened.surveyedAt >= SURVEY_AGAIN_MS) {
      opened.surveyedAt = timers.now();
      opened.survey = this.survey(bucket, opened).finally(() => {
        opened.survey = undefined;
      });
    }
    await opened.survey;
  }

  private async survey(bucket: number, branch: Branch): Promise<void> {
    const { bus, custody, callTimeoutMs = DEFAULT_CALL_TIMEOUT_MS } = this.options;
    const timeoutMs = callTimeoutMs / EXCHANGE_OVER_SURVEY;
    const missing = [...custody.possibleDaemons()].filter((name) => !branch.surveyed.has(name));
    const asks = missing.map(async (name) => {
      try {
        const answer = await bus.call(name, SURVEY, { bucket, epoch: branch.epoch }, { timeoutMs });
        this.enroll(branch, name, answer.incarnation, answer.held);
      } catch {
        // Until it answers, or counts as ended, nothing that is free is given out.
      }
    });
    await Promise.all(asks);
  }

  private enroll(branch: Branch, name: string, incarnation: number, held: readonly HeldItem[]): void {
    if (branch.surveyed.has(name)) return;
    branch.surveyed.set(name, incarnation);
    for (const item of held) {
      const account = branch.accounts.get(item.caller) ?? new LimitAccount(item.caller, this.options.timers);
      branch.accounts.set(item.caller, account);
      account.enroll(name, incarnation, item);
    }
  }
}
