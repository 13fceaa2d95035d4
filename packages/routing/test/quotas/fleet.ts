/**
 * Test fixture: daemons that enforce the quota of one account together, and clients that send load, on a
 * virtual clock.
 */
import type { ClientAccount, QuotaDecision } from '@celeryyoke/routing';
import { AccountQuotas, FleetSettling, QuotaDecider, QuotaUnit } from '@celeryyoke/routing';

import { log } from '../fakes.js';
import type { TestDaemon } from '../fleet/daemons.js';
import { createFleetShare, TestFleet } from '../fleet/daemons.js';
import { timersOf } from '../fleet/network.js';
import type { Random } from '../orders/random.js';
import { createRandom } from '../orders/random.js';

/** Interval at which clients send, in milliseconds. */
const SEND_INTERVAL_MS = 20;
const MS_PER_SECOND = 1000;
/** Minimum and maximum tokens of a request; the cost is drawn evenly between them. */
const MIN_TOKENS = 200;
const MAX_TOKENS = 3000;
const MEAN_TOKENS = (MIN_TOKENS + MAX_TOKENS) / 2;
/** Window over which the limit is checked, in milliseconds. */
export const WINDOW_MS = 8000;
/** What may be admitted in a window beyond the quota: a share of the quota, plus units. */
const TOLERANCE_SHARE = 0.25;
const TOLERANCE_UNITS = 11_000;
/** Rate of the test account, in tokens per second; its burst is the same number of tokens. */
export const RATE = 60_000;

interface AdmittedRequest {
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly units: number;
}

/** An account with a quota in tokens. */
export function accountOf(ratePerSecond = RATE, name = 'amber'): ClientAccount {
  const quota = { unit: QuotaUnit.Tokens, ratePerSecond, burst: ratePerSecond, plainTokens: 200 };
  return { name, keyDigests: [], rank: undefined, quota };
}

/** A fleet of daemons under the load of one account. */
export class QuotaFleet {
  /** The account in force; undefined while the configuration does not declare it. */
  account: ClientAccount | undefined = accountOf();

  /** Demand in tokens per second, by address of the daemon. */
  readonly demand = new Map<string, number>();

  readonly admitted: AdmittedRequest[] = [];

  /** Number of decisions, by decider. */
  readonly decisions = new Map<QuotaDecider, number>();

  readonly fleet: TestFleet;

  private readonly quotas = new Map<string, AccountQuotas>();

  private readonly random: Random;

  private isFirstStart = true;

  constructor(seed: string, zones = 3) {
    this.random = createRandom(seed);
    this.fleet = new TestFleet(zones, undefined, (daemon) => this.createQuotas(daemon));
  }

  /** Starts daemons as a first start of the fleet, and waits until they have settled. */
  async start(count: number): Promise<void> {
    await this.fleet.startAll(count);
    await this.fleet.timers.advance(3000);
    this.isFirstStart = false;
  }

  /** Kills a daemon without notice to the others. */
  kill(index: number): void {
    const daemon = this.fleet.daemon(index);
    daemon.kill();
    this.quotas.get(daemon.address)?.stop();
  }

  /** Spreads a demand, in tokens per second, evenly over the first daemons; the others get none. */
  setDemand(tokensPerSecond: number, daemons: number): void {
    this.demand.clear();
    for (let index = 0; index < daemons; index += 1)
      this.demand.set(this.fleet.addressOf(index), tokensPerSecond / daemons);
  }

  /** Advances the virtual clock while clients send. */
  async runFor(ms: number): Promise<void> {
    for (let at = 0; at < ms; at += SEND_INTERVAL_MS) {
      for (const daemon of this.fleet.running()) this.sendRequests(daemon);
      await this.fleet.timers.advance(SEND_INTERVAL_MS);
    }
  }

  /** Tokens admitted since a time, in monotonic milliseconds. */
  admittedSince(from: number): number {
    return this.admitted.filter(({ at }) => at >= from).reduce((sum, { units }) => sum + units, 0);
  }

  /** Maximum number of tokens admitted within any one window. */
  maxInWindow(): number {
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

  private sendRequests(daemon: TestDaemon): void {
    const perStep = ((this.demand.get(daemon.address) ?? 0) * SEND_INTERVAL_MS) / MS_PER_SECOND / MEAN_TOKENS;
    const { account } = this;
    if (account === undefined || this.fleet.network.isFrozen(daemon.address)) return;
    let left = perStep;
    while (left > 0 && this.random.chance(left)) {
      left -= 1;
      const units = Math.round(this.random.between(MIN_TOKENS, MAX_TOKENS));
      const at = this.fleet.timers.now();
      const charging = this.quotas.get(daemon.address)!.charge(account, units);
      void charging.then((decision) => this.recordDecision(decision, { at, units }));
    }
  }

  private recordDecision({ isAdmitted, decider }: QuotaDecision, request: AdmittedRequest): void {
    this.decisions.set(decider, (this.decisions.get(decider) ?? 0) + 1);
    if (!isAdmitted) return;
    let index = this.admitted.length;
    while (index > 0 && this.admitted[index - 1]!.at > request.at) index -= 1;
    this.admitted.splice(index, 0, request);
  }

  private createQuotas(daemon: TestDaemon): void {
    const { address, cluster, tree } = daemon;
    const timers = timersOf(this.fleet.network, address);
    const settling = new FleetSettling({
      alive: () => cluster.aliveAddresses(),
      hasSharedState: () => tree.hasSharedState,
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
        share: createFleetShare(this.fleet, daemon, this.isFirstStart, WINDOW_MS),
        seeds: () => this.fleet.seeds(),
        isFirstStart: this.isFirstStart,
      }),
    );
  }
}

/** Maximum number of tokens that may be admitted within a window. */
export function maxAllowedInWindow(ratePerSecond = RATE): number {
  const quota = ratePerSecond * (WINDOW_MS / MS_PER_SECOND) + ratePerSecond;
  return quota * (1 + TOLERANCE_SHARE) + TOLERANCE_UNITS;
}
