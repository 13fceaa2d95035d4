/** Daemons that keep the quota of one account together, on the virtual clock, and clients that press on it. */
import type { ClientAccount, QuotaDecision } from '@celeryyoke/routing';
import { AccountQuotas, FleetSettling, QuotaDecider, QuotaUnit } from '@celeryyoke/routing';

import { log } from '../fakes.js';
import type { TestDaemon } from '../fleet/daemons.js';
import { shareOf, TestFleet } from '../fleet/daemons.js';
import { timersOf } from '../fleet/network.js';
import type { Random } from '../orders/random.js';
import { createRandom } from '../orders/random.js';

/** How often clients send, in milliseconds. */
const STEP_MS = 20;
const MS_PER_SECOND = 1000;
/** Tokens of a request: least and most. */
const LEAST_TOKENS = 200;
const MOST_TOKENS = 3000;
const MEAN_TOKENS = (LEAST_TOKENS + MOST_TOKENS) / 2;
/** Window in which the rule counts, in milliseconds. */
export const WINDOW_MS = 8000;
/** What the rule leaves beyond the quota: a part of it, and units besides. */
const RULE_OVER = 0.25;
const RULE_SLACK = 11_000;
/** Refill of the account of the plays, in tokens a second; its burst is as large. */
export const RATE = 60_000;

interface Sent {
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly units: number;
}

/** An account with a quota in tokens. */
export function accountOf(ratePerSecond = RATE, name = 'amber'): ClientAccount {
  const quota = { unit: QuotaUnit.Tokens, ratePerSecond, burst: ratePerSecond, plainTokens: 200 };
  return { name, keyDigests: [], rank: undefined, quota };
}

/** A fleet under the load of one account. */
export class QuotaFleet {
  /** The account in force; undefined while the configuration does not have it. */
  account: ClientAccount | undefined = accountOf();

  /** Tokens a second that clients ask of each daemon, by its address. */
  readonly demand = new Map<string, number>();

  readonly admitted: Sent[] = [];

  /** Decisions by who took them. */
  readonly decisions = new Map<QuotaDecider, number>();

  readonly fleet: TestFleet;

  private readonly quotas = new Map<string, AccountQuotas>();

  private readonly random: Random;

  private isFirstStart = true;

  constructor(seed: string, zones = 3) {
    this.random = createRandom(seed);
    this.fleet = new TestFleet(zones, undefined, (daemon) => this.addQuotas(daemon));
  }

  /** Starts daemons for the first time and lets them settle. */
  async start(count: number): Promise<void> {
    await this.fleet.startAll(count);
    await this.fleet.timers.advance(3000);
    this.isFirstStart = false;
  }

  /** Ends a daemon without a word. */
  kill(index: number): void {
    const daemon = this.fleet.daemon(index);
    daemon.kill();
    this.quotas.get(daemon.address)?.stop();
  }

  /** Has clients ask the first daemons for so many tokens a second together. */
  press(tokensPerSecond: number, daemons: number): void {
    this.demand.clear();
    for (let index = 0; index < daemons; index += 1)
      this.demand.set(this.fleet.name(index), tokensPerSecond / daemons);
  }

  /** Lets time go by while clients send. */
  async play(ms: number): Promise<void> {
    for (let at = 0; at < ms; at += STEP_MS) {
      for (const daemon of this.fleet.running()) this.send(daemon);
      await this.fleet.timers.advance(STEP_MS);
    }
  }

  /** Tokens admitted since a time, in monotonic milliseconds. */
  admittedSince(from: number): number {
    return this.admitted.filter(({ at }) => at >= from).reduce((sum, { units }) => sum + units, 0);
  }

  /** Most tokens that were sent within one window. */
  worstWindow(): number {
    let worst = 0;
    let sum = 0;
    let first = 0;
    for (const { at, units } of this.admitted) {
      sum += units;
      while (this.admitted[first]!.at <= at - WINDOW_MS) {
        sum -= this.admitted[first]!.units;
        first += 1;
      }
      worst = Math.max(worst, sum);
    }
    return worst;
  }

  private send(daemon: TestDaemon): void {
    const perStep = ((this.demand.get(daemon.address) ?? 0) * STEP_MS) / MS_PER_SECOND / MEAN_TOKENS;
    const { account } = this;
    if (account === undefined || this.fleet.network.isFrozen(daemon.address)) return;
    let left = perStep;
    while (left > 0 && this.random.chance(left)) {
      left -= 1;
      const units = Math.round(this.random.between(LEAST_TOKENS, MOST_TOKENS));
      const at = this.fleet.timers.now();
      const charging = this.quotas
        .get(daemon.address)!
        .charge(account, { statedTokens: units, isLate: false });
      void charging.then((decision) => this.note(decision, { at, units }));
    }
  }

  private note({ isAdmitted, decider }: QuotaDecision, sent: Sent): void {
    this.decisions.set(decider, (this.decisions.get(decider) ?? 0) + 1);
    if (!isAdmitted) return;
    let index = this.admitted.length;
    while (index > 0 && this.admitted[index - 1]!.at > sent.at) index -= 1;
    this.admitted.splice(index, 0, sent);
  }

  private addQuotas(daemon: TestDaemon): void {
    const { address, cluster, tree } = daemon;
    const timers = timersOf(this.fleet.network, address);
    const settling = new FleetSettling({
      alive: () => cluster.alive(),
      isInformed: () => tree.isPlaced,
      timers,
    });
    this.quotas.set(
      address,
      new AccountQuotas({
        self: address,
        cluster,
        tree,
        windowMs: WINDOW_MS,
        timers,
        log,
        account: (name) => (this.account?.name === name ? this.account : undefined),
        isSettled: () => settling.hasSettled(),
        share: shareOf(this.fleet, daemon, this.isFirstStart, WINDOW_MS),
        seeds: () => this.fleet.seeds(),
        isFirstStart: this.isFirstStart,
      }),
    );
  }
}

/** What the rule allows in a window at most. */
export function allowedInWindow(ratePerSecond = RATE): number {
  const quota = ratePerSecond * (WINDOW_MS / MS_PER_SECOND) + ratePerSecond;
  return quota * (1 + RULE_OVER) + RULE_SLACK;
}
