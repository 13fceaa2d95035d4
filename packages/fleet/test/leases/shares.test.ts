/**
 * Shares of a weight store's rate: all of it is used without a partition, and never more than all of it in
 * one.
 */
import test from 'ava';
import fc from 'fast-check';

import { StoreShares } from '../../src/core/permits/shares.js';
import type { TestSiteOptions } from './site.js';
import { TestSite } from './site.js';

const RATE = 4;
const ENGINES = 4;
const RUN_MS = 12_000;

/** Highest number of loads begun per second over all windows of a length. */
function worstRate(starts: readonly number[], windowMs: number): number {
  const counts = starts.map((from) => starts.filter((at) => at >= from && at < from + windowMs).length);
  return Math.max(0, ...counts) / (windowMs / 1000);
}

/** Starts a site of four engines, two owned by each of two daemons; the first daemon owns the store. */
async function startSite(options: Partial<TestSiteOptions> = {}): Promise<TestSite> {
  const site = new TestSite({
    ...options,
    daemons: ['a', 'b'],
    engines: ENGINES,
    slots: 32,
    loadMs: 50,
    loadsPerSecond: RATE,
  });
  for (const { view } of site.daemons.values()) {
    view.owners.set('engine/engine-3', 'b');
    view.owners.set('engine/engine-4', 'b');
    view.notifyListeners();
  }
  await site.run(6000);
  return site;
}

/** Requests distinct adapters through a daemon, each of which needs a load. */
function requestAdapters(site: TestSite, daemon: string, count: number): void {
  for (let index = 0; index < count; index += 1) {
    const request = site.createRequest(`${daemon}${index}@1`, 60_000);
    site
      .daemon(daemon)
      .dispatcher.acquire(request, new AbortController().signal)
      .catch(() => undefined);
  }
}

function loadStartsSince(site: TestSite, from: number): number[] {
  return [...site.engines.values()].flatMap((engine) => engine.loadStarts).filter((at) => at >= from);
}

test('the whole rate of the store is used while all daemons are connected', async (t) => {
  const site = await startSite();
  const from = site.timers.now();
  requestAdapters(site, 'a', 40);
  requestAdapters(site, 'b', 40);
  await site.run(RUN_MS);
  const starts = loadStartsSince(site, from);
  t.true(starts.length >= (RATE * RUN_MS) / 1000 - 4, `${starts.length} loads`);
  t.true(worstRate(starts, 4000) <= RATE + 0.25);
  await site.stop();
});

test('both sides of a partition go on loading, and never exceed the rate of the store', async (t) => {
  const site = await startSite();
  const from = site.timers.now();
  requestAdapters(site, 'a', 60);
  requestAdapters(site, 'b', 60);
  await site.run(2000);
  site.net.blockDirection('a', 'b');
  site.net.blockDirection('b', 'a');
  await site.run(RUN_MS);
  const halves = [1, 2, 3, 4].map((index) => site.engine(`engine-${index}`).loadStarts.length);
  t.true(halves[0]! + halves[1]! > 0 && halves[2]! + halves[3]! > 0, halves.join(' '));
  const healedAt = site.timers.now();
  site.net.unblockDirection();
  await site.run(RUN_MS);
  const starts = loadStartsSince(site, from);
  t.true(worstRate(starts, 4000) <= RATE + 0.25, `${worstRate(starts, 4000)} loads a second`);
  t.true(loadStartsSince(site, healedAt + 4000).length > RATE * 4);
  await site.stop();
});

test('a daemon that uses its share while it is lent exceeds the rate of the store', async (t) => {
  const site = await startSite({ permitTimesOf: { b: { shareMs: 0 } } });
  const from = site.timers.now();
  requestAdapters(site, 'a', 60);
  requestAdapters(site, 'b', 60);
  await site.run(4000);
  site.net.blockDirection('a', 'b');
  site.net.blockDirection('b', 'a');
  await site.run(6000);
  t.true(worstRate(loadStartsSince(site, from), 2000) > RATE + 0.5);
  await site.stop();
});

test('time slots of engines never overlap while clock errors stay within their bound', (t) => {
  const clockErrorMs = 20;
  const shares = new StoreShares({ loadsPerSecond: RATE, engines: ['e1', 'e2', 'e3'], clockErrorMs });
  const error = fc.integer({ min: -clockErrorMs / 2, max: clockErrorMs / 2 });
  fc.assert(
    fc.property(fc.nat({ max: 1e9 }), error, error, (wall, left, right) => {
      const [one, other] = [shares.open(wall + left), shares.open(wall + right)];
      return one === undefined || other === undefined || one.slot === other.slot;
    }),
  );
  t.pass();
});
