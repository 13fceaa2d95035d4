/** The rate that a replica in need states holds for all daemons together. */
import { CUT_OFF_MS, rendezvousOwner, LimitTable, SendPacer } from '@celeryyoke/routing';
import { createManualTimers } from '@celeryyoke/core';
import test from 'ava';

import { PressedFleet, REPLICA } from './fleet.js';

/** Daemons that the settings name to a large fleet. */
const SEEDS = 3;
/** Time in which all daemons hear of a limit, in milliseconds. */
const HEARD_MS = 1000;

for (const [count, rate] of [
  [1, 2.2],
  [7, 1.8],
  [60, 2.2],
  [60, 20],
] as const)
  // Guards against daemons that each keep to a limit by themselves, so that their number multiplies it.
  test(`${count} daemons that press together send a replica no more than ${rate} a second`, async (t) => {
    const pressed = new PressedFleet(Math.min(SEEDS, count));
    await pressed.start(count);
    pressed.limitPerSecond = rate;
    await pressed.press(HEARD_MS);
    const from = pressed.fleet.timers.now();
    await pressed.press(15_000);
    const most = pressed.busiestWindow(from);
    t.log({ most, allowed: pressed.allowed() });
    t.true(most <= pressed.allowed());
    t.true(most >= rate * 4 * 0.6, 'the replica still gets most of what it takes');
  });

// Guards against a new daemon that spaces the requests and begins with a burst, and against a stop without one.
test('the limit holds while the daemon that spaces the requests ends or freezes', async (t) => {
  const pressed = new PressedFleet();
  const { fleet } = pressed;
  await pressed.start(12);
  pressed.limitPerSecond = 2;
  await pressed.press(HEARD_MS);
  const from = fleet.timers.now();
  for (let turn = 0; turn < 3; turn += 1) {
    const keeper = rendezvousOwner(REPLICA, fleet.daemon(11).cluster.alive())!;
    if (turn === 1) fleet.network.freeze(keeper);
    else fleet.daemons.get(keeper)!.kill();
    await pressed.press(5000);
  }
  const most = pressed.busiestWindow(from);
  t.log({ most, allowed: pressed.allowed() });
  t.true(most <= pressed.allowed());
  t.true(pressed.arrivals.filter((at) => at > fleet.timers.now() - 4000).length > 0);
});

for (const [what, hasMet] of [
  ['sides of a partition', true],
  ['parts of a fleet that never met', false],
] as const)
  // Guards against one daemon on each side that spaces the requests of its side at the whole rate.
  test(`${what} together send a replica no more than it takes`, async (t) => {
    const pressed = new PressedFleet();
    const { fleet } = pressed;
    const names = Array.from({ length: 12 }, (_, index) => fleet.addressOf(index));
    const part = (zone: number): string[] => names.filter((_name, index) => index % 3 === zone);
    const cut = (): void => {
      for (const [left, right] of [
        [0, 1],
        [0, 2],
        [1, 2],
      ] as const)
        fleet.network.partition(part(left), part(right));
    };
    if (!hasMet) cut();
    await pressed.start(names.length);
    if (hasMet) cut();
    pressed.limitPerSecond = 20;
    await pressed.press(5000);
    const from = fleet.timers.now();
    await pressed.press(15_000);
    const most = pressed.busiestWindow(from);
    t.log({ most, allowed: pressed.allowed() });
    t.true(most <= pressed.allowed());
    t.true(most >= pressed.limitPerSecond * 4 * 0.4, 'the replica still gets much of what it takes');
  });

// Guards against a daemon that takes others for cut off for ever, though the settings name daemons that are gone.
test('a daemon that meets none of the others sends the whole rate in the end', async (t) => {
  const pressed = new PressedFleet(SEEDS);
  await pressed.start(1);
  pressed.limitPerSecond = 20;
  await pressed.press(CUT_OFF_MS);
  const from = pressed.fleet.timers.now();
  await pressed.press(10_000);
  const most = pressed.busiestWindow(from);
  t.log({ most, allowed: pressed.allowed() });
  t.true(most <= pressed.allowed());
  t.true(most >= pressed.limitPerSecond * 4 * 0.6);
});

test('a limit ends for all when answers name it no more', async (t) => {
  const pressed = new PressedFleet();
  await pressed.start(7);
  pressed.limitPerSecond = 2;
  await pressed.press(6000);
  pressed.limitPerSecond = undefined;
  await pressed.press(2000);
  const from = pressed.fleet.timers.now();
  await pressed.press(1000);
  t.true(pressed.arrivals.filter((at) => at >= from).length > 100);
});

test('an answer that was on its way before a limit was stated does not end it', async (t) => {
  const timers = createManualTimers();
  const table = new LimitTable(timers);
  t.not(table.noteAnswer(REPLICA, 2, 0), undefined);
  await timers.advance(3000);
  t.is(table.noteAnswer(REPLICA, undefined, 200), undefined);
  t.is(table.rate(REPLICA), 2);
  t.not(table.noteAnswer(REPLICA, undefined, 2000), undefined);
  t.is(table.rate(REPLICA), undefined);
});

test('of two limits that daemons heard at the same time all keep the stricter one', (t) => {
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

test('those that are refused ask again one after the other', (t) => {
  const pacer = new SendPacer(10, 0);
  const waits = [1, 2, 3].map(() => pacer.take(10, 0).waitMs);
  t.deepEqual(waits, [100, 200, 300]);
  t.true(pacer.take(10, 100).isGranted);
  t.false(pacer.take(10, 150).isGranted);
});
