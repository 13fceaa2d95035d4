import type { CallerConfig } from '@celeryyoke/configuration';
import type { ManualTimerService } from '@celeryyoke/core';
import { CeleryyokeError, createManualTimers, createSilentLog } from '@celeryyoke/core';
import test from 'ava';

import type { CallerLimits, Custody, MemoryPeerNet } from '../src/index.js';
import { createCallerLimits, createCustody, createMemoryPeerNet } from '../src/index.js';
import { burstOf, LimitShare } from '../src/core/limits/share.js';
import type { ManualMembership } from './support/fleet.js';
import { createManualMembership, domainOf } from './support/fleet.js';

const NAMES = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6', 'd7'];
const SIDE = new Set(['d1', 'd2', 'd3']);
const STEP_MS = 10;
const RATE = 200;
const log = createSilentLog();

function makeCaller(requestsPerSecond: number, concurrency: number): CallerConfig {
  return { name: 'lab', keySha256: '', requestsPerSecond, concurrency, weight: 1, priority: 0 };
}

interface Daemon {
  readonly limits: CallerLimits;
  readonly custody: Custody;
  readonly membership: ManualMembership;
}

/** Seven daemons that share limits, and a count of what they let in. */
class LimitFleet {
  readonly timers: ManualTimerService = createManualTimers();

  readonly net: MemoryPeerNet = createMemoryPeerNet();

  readonly daemons = new Map<string, Daemon>();

  readonly dead = new Set<string>();

  private readonly credit = new Map<string, number>();

  private isSplit = false;

  entered = 0;

  constructor(readonly caller: CallerConfig) {
    for (const name of NAMES) this.start(name, 1);
    this.timers.repeat(250, () => this.net.exchangeHeartbeats());
  }

  start(name: string, incarnation: number): void {
    const bus = this.net.join({ name, incarnation, domain: domainOf(name) });
    const isReachable = (peer: string): boolean =>
      !this.dead.has(peer) && !(this.isSplit && SIDE.has(peer) !== SIDE.has(name));
    const membership = createManualMembership(NAMES, isReachable);
    for (const peer of NAMES) membership.recordIncarnation(peer, 1);
    const { timers } = this;
    const custody = createCustody({ bus, membership, timers, log, buckets: 8, absentAfterMs: 3000 });
    const limits = createCallerLimits({ bus, membership, custody, timers, log });
    this.daemons.set(name, { limits, custody, membership });
  }

  split(): void {
    this.isSplit = true;
    for (const from of NAMES) {
      for (const to of NAMES) if (SIDE.has(from) !== SIDE.has(to)) this.net.blockDirection(from, to);
    }
  }

  /** The daemon that divides the limits. */
  home(): string {
    const bucket = this.daemons.get('d1')!.custody.bucketOf('limit/lab');
    return NAMES.find(
      (name) => !this.dead.has(name) && this.daemons.get(name)!.custody.homeTerm(bucket) !== undefined,
    )!;
  }

  /** Sends at a rate for each daemon; answers how many requests a second were let in. */
  async load(rates: ReadonlyMap<string, number>, ms: number, heldMs = 0): Promise<number> {
    const before = this.entered;
    for (let spent = 0; spent < ms; spent += STEP_MS) {
      for (const [name, rate] of rates) this.sendDue(name, (rate * STEP_MS) / 1000, heldMs);
      await this.timers.advance(STEP_MS);
    }
    return ((this.entered - before) / ms) * 1000;
  }

  async stop(): Promise<void> {
    for (const { limits, custody } of this.daemons.values()) {
      await limits.stop();
      await custody.stop();
    }
  }

  private sendDue(name: string, amount: number, heldMs: number): void {
    let credit = (this.credit.get(name) ?? 0) + amount;
    for (; credit >= 1; credit -= 1) void this.send(name, heldMs);
    this.credit.set(name, credit);
  }

  private async send(name: string, heldMs: number): Promise<void> {
    try {
      const pass = await this.daemons.get(name)!.limits.enter(this.caller);
      this.entered += 1;
      this.timers.after(heldMs, () => pass.leave());
    } catch (err) {
      if (!(err instanceof CeleryyokeError) || err.kind !== 'LimitExceeded') throw err;
    }
  }
}

const all = (rate: number): Map<string, number> => new Map(NAMES.map((name) => [name, rate]));
const only = (name: string, rate: number): Map<string, number> => new Map([[name, rate]]);

/** What equal shares by each daemon's own list would let in, sent the same way. */
function loadNaive(
  lists: ReadonlyMap<string, number>,
  rates: ReadonlyMap<string, number>,
  ms: number,
): number {
  const timers = createManualTimers();
  const shares = new Map([...lists].map(([name, size]) => [name, { size, share: new LimitShare(timers) }]));
  for (const { size, share } of shares.values()) share.resize(RATE / size, 1000, burstOf(RATE / size));
  let entered = 0;
  const credit = new Map<string, number>();
  for (let spent = 0; spent < ms; spent += STEP_MS) {
    for (const [name, rate] of rates) {
      let due = (credit.get(name) ?? 0) + (rate * STEP_MS) / 1000;
      for (; due >= 1; due -= 1) if (shares.get(name)!.share.take() === undefined) entered += 1;
      credit.set(name, due);
    }
    timers.advanceSync(STEP_MS);
  }
  return (entered / ms) * 1000;
}

test('shares follow the demand: within 5% over and 10% under, also when one daemon gets it all', async (t) => {
  const fleet = new LimitFleet(makeCaller(RATE, 1000));
  await fleet.timers.advance(3000);
  await fleet.load(all(60), 2000);
  const spread = await fleet.load(all(60), 5000);
  const moving = await fleet.load(only('d1', 400), 2000);
  const skewed = await fleet.load(only('d1', 400), 5000);
  t.log({ spread, moving, skewed });
  for (const rate of [spread, skewed]) {
    t.true(rate <= RATE * 1.05 && rate >= RATE * 0.9);
  }
  t.true(moving <= RATE * 1.05 + burstOf(RATE) / 2);
  const naive = loadNaive(new Map(NAMES.map((name) => [name, 7])), only('d1', 400), 5000);
  t.true(naive < RATE * 0.2, 'equal shares starve the one daemon that has the demand');
  await fleet.stop();
});

test('the sum stays within the limit in a partition, also when each side lists itself alone', async (t) => {
  const fleet = new LimitFleet(makeCaller(RATE, 1000));
  await fleet.timers.advance(3000);
  await fleet.load(all(60), 3000);
  fleet.split();
  const before = await fleet.load(all(60), 5000);
  for (const name of NAMES) {
    const side = NAMES.filter((other) => SIDE.has(other) === SIDE.has(name));
    fleet.daemons.get(name)!.membership.setHosts(side);
  }
  const after = await fleet.load(all(60), 2500);
  t.log({ before, after });
  for (const rate of [before, after]) t.true(rate <= RATE * 1.05 && rate >= RATE * 0.9);
  const naive = loadNaive(new Map(NAMES.map((name) => [name, SIDE.has(name) ? 3 : 4])), all(60), 5000);
  t.true(naive > RATE * 1.5, 'equal shares of each own list let in about twice the limit');
  await fleet.stop();
});

test('when the daemon that divides dies, the others keep their shares, and the next one gives out no more', async (t) => {
  const fleet = new LimitFleet(makeCaller(RATE, 1000));
  await fleet.timers.advance(3000);
  await fleet.load(all(60), 3000);
  const home = fleet.home();
  fleet.dead.add(home);
  fleet.net.leave(home);
  const rates = all(60);
  rates.delete(home);
  const during = await fleet.load(rates, 2000);
  const rest = NAMES.filter((name) => name !== home);
  for (const name of rest) fleet.daemons.get(name)!.membership.setHosts(rest);
  await fleet.load(rates, 6000);
  const after = await fleet.load(rates, 5000);
  t.log({ during, after });
  t.true(during >= RATE * 0.7 && during <= RATE * 1.05);
  t.true(after >= RATE * 0.9 && after <= RATE * 1.05);
  t.not(fleet.home(), home);
  await fleet.stop();
});

test('small limits are kept one by one, and places go back as requests end', async (t) => {
  const fleet = new LimitFleet(makeCaller(1000, 3));
  await fleet.timers.advance(3000);
  const held = { running: 0, most: 0, total: 0 };
  const send = async (name: string): Promise<void> => {
    const pass = await fleet.daemons.get(name)!.limits.enter(fleet.caller);
    held.running += 1;
    held.total += 1;
    held.most = Math.max(held.most, held.running);
    fleet.timers.after(50, () => {
      held.running -= 1;
      pass.leave();
    });
  };
  for (let round = 0; round < 300; round += 1) {
    send(NAMES[round % NAMES.length]!).catch(() => undefined);
    await fleet.timers.advance(STEP_MS);
  }
  const { most, total } = held;
  t.log({ most, total });
  t.true(most <= 3);
  t.true(total >= 100, 'three places of 50 ms let in at most 180 in 3 s');
  await fleet.stop();
});

test('the time in Retry-After is true', async (t) => {
  const fleet = new LimitFleet(makeCaller(2, 10));
  await fleet.timers.advance(3000);
  const { limits } = fleet.daemons.get('d1')!;
  (await limits.enter(fleet.caller)).leave();
  const err = await t.throwsAsync<CeleryyokeError>(limits.enter(fleet.caller), { name: 'LimitExceeded' });
  t.true(err.retryAfter! > 0 && err.retryAfter! <= 1);
  await fleet.timers.advance(err.retryAfter! * 1000 + 1);
  await t.notThrowsAsync(limits.enter(fleet.caller));
  await fleet.stop();
});

test('a daemon that is alone, or starts with the whole fleet, serves from an equal part', async (t) => {
  const timers = createManualTimers();
  const bus = createMemoryPeerNet().join({ name: 'd1' });
  const membership = createManualMembership(['d1']);
  const custody = createCustody({ bus, membership, timers, log });
  const limits = createCallerLimits({ bus, membership, custody, timers, log });
  await t.notThrowsAsync(limits.enter(makeCaller(10, 4)));
  await limits.stop();
  await custody.stop();
});
