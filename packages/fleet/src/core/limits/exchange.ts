/** Talks with the daemons that divide the limits of this daemon's active callers. */
import type { CallerHolding } from './holding.js';
import { limitKeyOf } from './bank.js';
import type { CallerLimitsOptions } from './types.js';
import type { ExchangeAnswer, HeldItem, SurveyAnswer, SurveyMessage } from './wire.js';
import { EXCHANGE, MAX_ITEMS } from './wire.js';

const DEFAULT_CALL_TIMEOUT_MS = 300;

/** The exchange of one daemon. */
export class ShareExchange {
  private seq = 0;

  /** Least epoch of which grants are applied, by bucket. */
  private readonly epochs = new Map<number, number>();

  constructor(
    private readonly options: CallerLimitsOptions,
    private readonly holdings: ReadonlyMap<string, CallerHolding>,
  ) {}

  /** Serves `limits.survey`. */
  survey({ bucket, epoch }: SurveyMessage): SurveyAnswer {
    const held: HeldItem[] = [];
    this.epochs.set(bucket, Math.max(epoch, this.epochs.get(bucket) ?? 0));
    for (const holding of this.holdings.values()) {
      if (this.bucketOf(holding) !== bucket) continue;
      const { caller, rate, places } = holding.report();
      if (rate > 0 || places > 0) held.push({ caller, rate, places });
    }
    return { incarnation: this.options.bus.self.incarnation, held };
  }

  /** Asks for one caller; the answer counts whoever waits when the question is sent. */
  async ask(holding: CallerHolding): Promise<void> {
    const asking = holding;
    if (asking.exchange === undefined) {
      await this.send([asking]);
      return;
    }
    asking.followUp ??= asking.exchange.then(async () => {
      asking.followUp = undefined;
      await this.send([asking]);
    });
    await asking.followUp;
  }

  /** Reports all callers that have no exchange going on, in one message to each dividing daemon. */
  async sendAll(): Promise<void> {
    const groups = new Map<string, CallerHolding[]>();
    for (const holding of this.holdings.values()) {
      const home = this.options.custody.likelyHome(this.bucketOf(holding));
      if (home === undefined || holding.exchange !== undefined) continue;
      const group = groups.get(home) ?? [];
      groups.set(home, group);
      group.push(holding);
    }
    const sends: Promise<void>[] = [];
    for (const group of groups.values()) {
      for (let from = 0; from < group.length; from += MAX_ITEMS) {
        sends.push(this.send(group.slice(from, from + MAX_ITEMS)));
      }
    }
    await Promise.all(sends);
  }

  private bucketOf(holding: CallerHolding): number {
    return this.options.custody.bucketOf(limitKeyOf(holding.caller));
  }

  private async send(group: readonly CallerHolding[]): Promise<void> {
    const sending = this.talk(group);
    for (const holding of group) holding.exchange = sending;
    try {
      await sending;
    } finally {
      for (const holding of group) if (holding.exchange === sending) holding.exchange = undefined;
    }
  }

  private async talk(group: readonly CallerHolding[]): Promise<void> {
    const first = group[0];
    const home = first === undefined ? undefined : this.options.custody.likelyHome(this.bucketOf(first));
    if (home === undefined) return;
    const answer = await this.call(home, group);
    for (const { caller, home: other } of answer?.elsewhere ?? []) {
      if (other !== undefined && other !== home) {
        this.options.custody.recordHomeHint(this.options.custody.bucketOf(limitKeyOf(caller)), other);
      }
    }
    for (const grant of answer?.grants ?? []) {
      const bucket = this.options.custody.bucketOf(limitKeyOf(grant.caller));
      if (grant.epoch < (this.epochs.get(bucket) ?? 0)) continue;
      this.epochs.set(bucket, grant.epoch);
      group.find((holding) => holding.caller === grant.caller)?.apply(grant);
    }
  }

  /** An answer that comes after the timeout is never applied, so that the next report is the whole truth. */
  private async call(home: string, group: readonly CallerHolding[]): Promise<ExchangeAnswer | undefined> {
    const { bus, callTimeoutMs: timeoutMs = DEFAULT_CALL_TIMEOUT_MS } = this.options;
    this.seq += 1;
    const message = { seq: this.seq, items: group.map((holding) => holding.report()) };
    try {
      return await bus.call(home, EXCHANGE, message, { timeoutMs });
    } catch {
      return undefined;
    }
  }
}
