/** The rate limit that a replica declares holds for all daemons together. */
import { DISCOVERY_MS, rendezvousOwner, LimitTable, AttemptPacer } from '@celeryyoke/routing';
import { createManualTimers } from '@celeryyoke/core';
import test from 'ava';

import { LimitedFleet, REPLICA } from './fleet.js';

/** Seeds of a large fleet. */
const SEEDS = 3;
/** Time in which a limit reaches all daemons. */
const PROPAGATION_MS = 1000;

for (const [count, rate] of [
  [1, 2.2],
  [7, 1.8],
  [60, 2.2],
  [60, 20],
] as const)
  // Guards against daemons that each apply the limit on their own, so that the fleet exceeds it by their
  // number.
  test(`${count} daemons together send a replica no more than ${rate} requests per second`, async (t) => {
    const limited = new LimitedFleet(Math.min(SEEDS, count));
    await limited.start(count);
    limited.limitPerSecond = rate;
    await limited.sendAtMaxRate(PROPAGATION_MS);
    const from = limited.fleet.timers.now();
    await limited.sendAtMaxRate(15_000);
    const most = limited.maxInWindow(from);
    t.log({ most, allowed: limited.allowedInWindow() });
    t.true(most <= limited.allowedInWindow());
    t.true(most >= rate * 4 * 0.6, 'the replica still gets most of the requests that it accepts');
  });

// Guards against a new coordinator that begins with a burst, and against no requests at all without one.
test('the limit holds while the coordinator ends or freezes', async (t) => {
  const limited = new LimitedFleet();
  const { fleet } = limited;
  await limited.start(12);
  limited.limitPerSecond = 2;
  await limited.sendAtMaxRate(PROPAGATION_MS);
  const from = fleet.timers.now();
  for (let round = 0; round < 3; round += 1) {
    const coordinator = rendezvousOwner(REPLICA, fleet.daemon(11).cluster.aliveAddresses())!;
    if (round === 1) fleet.network.freeze(coordinator);
    else fleet.daemons.get(coordinator)!.kill();
    await limited.sendAtMaxRate(5000);
  }
  const most = limited.maxInWindow(from);
  t.log({ most, allowed: limited.allowedInWindow() });
  t.true(most <= limited.allowedInWindow());
  t.true(limited.arrivals.filter((at) => at > fleet.timers.now() - 4000).length > 0);
});

for (const [caseName, hasMet] of [
  ['sides of a partition', true],
  ['parts of a fleet that never met', false],
] as const)
  // Guards against a coordinator on each side of a partition that applies the whole rate to its side.
  test(`${caseName} together send a replica no more than its limit`, async (t) => {
    const limited = new LimitedFleet();
    const { fleet } = limited;
    const names = Array.from({ length: 12 }, (_, index) => fleet.addressOf(index));
    const daemonsOf = (zone: number): string[] => names.filter((_name, index) => index % 3 === zone);
    const cut = (): void => {
      for (const [left, right] of [
        [0, 1],
        [0, 2],
        [1, 2],
      ] as const)
        fleet.network.partition(daemonsOf(left), daemonsOf(right));
    };
    if (!hasMet) cut();
    await limited.start(names.length);
    if (hasMet) cut();
    limited.limitPerSecond = 20;
    await limited.sendAtMaxRate(5000);
    const from = fleet.timers.now();
    await limited.sendAtMaxRate(15_000);
    const most = limited.maxInWindow(from);
    t.log({ most, allowed: limited.allowedInWindow() });
    t.true(most <= limited.allowedInWindow());
    t.true(most >= limited.limitPerSecond * 4 * 0.4, 'the replica still gets much of what it accepts');
  });

// Guards against a daemon that treats configured seeds as partitioned off for ever although they no longer
// exist.
test('a daemon that reaches no other uses the whole rate in the end', async (t) => {
  const limited = new LimitedFleet(SEEDS);
  await limited.start(1);
  limited.limitPerSecond = 20;
  await limited.sendAtMaxRate(DISCOVERY_MS);
  const from = limited.fleet.timers.now();
  await limited.sendAtMaxRate(10_000);
  const most = limited.maxInWindow(from);
  t.log({ most, allowed: limited.allowedInWindow() });
  t.true(most <= limited.allowedInWindow());
  t.true(most >= limited.limitPerSecond * 4 * 0.6);
});

test('a limit ends for all daemons when responses no longer declare it', async (t) => {
  const limited = new LimitedFleet();
  await limited.start(7);
  limited.limitPerSecond = 2;
  await limited.sendAtMaxRate(6000);
  limited.limitPerSecond = undefined;
  await limited.sendAtMaxRate(2000);
  const from = limited.fleet.timers.now();
  await limited.sendAtMaxRate(1000);
  t.true(limited.arrivals.filter((at) => at >= from).length > 100);
});

test('a response to a request from before a limit does not end it', async (t) => {
  const timers = createManualTimers();
  const table = new LimitTable(timers);
  t.not(table.updateFromResponse(REPLICA, 2, 0), undefined);
  await timers.advance(3000);
  t.is(table.updateFromResponse(REPLICA, undefined, 200), undefined);
  t.is(table.rate(REPLICA), 2);
  t.not(table.updateFromResponse(REPLICA, undefined, 2000), undefined);
  t.is(table.rate(REPLICA), undefined);
});

test('of two concurrent limits the stricter one wins', (t) => {
  for (const order of [
    [2, 3],
    [3, 2],
    [undefined, 2],
  ]) {
    const table = new LimitTable(createManualTimers());
    for (const ratePerSecond of order) table.merge({ replica: REPLICA, ratePerSecond, version: 4 });
    t.is(table.rate(REPLICA), 2);
  }
});

test('refused senders are asked to retry one after the other', (t) => {
  const pacer = new AttemptPacer(10, 0);
  const waits = [1, 2, 3].map(() => pacer.tryAcquire(10, 0).waitMs);
  t.deepEqual(waits, [100, 200, 300]);
  t.true(pacer.tryAcquire(10, 100).isGranted);
  t.false(pacer.tryAcquire(10, 150).isGranted);
});
