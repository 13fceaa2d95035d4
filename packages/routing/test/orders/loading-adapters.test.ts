/**
 * An engine was ordered to hold more adapters than it has room for, and ended with all that ran on it.
 *
 * How it came about: the store was crowded, so that adapters were on their way for a second. Meanwhile the daemon that gave the
 * engine its orders changed, or lost sight of a load that the engine had accepted. Both times the adapter counted as in place
 * and was later chosen to make room. The engine had nothing to unload yet and answered that it was done; the slot counted as
 * free and was filled, and then the adapter arrived.
 *
 * Proved by asking an engine: an order to unload an adapter that is on its way is answered as done, and the adapter comes.
 */
import { createManualTimers } from '@celeryyoke/core';
import type { EngineReport } from '@celeryyoke/routing';
import { EngineOwner, OrderKind, OrderOutcome } from '@celeryyoke/routing';
import test from 'ava';

import type { EngineAnswers } from '../fakes.js';
import { engineEntry, log, makeConnection, MODEL } from '../fakes.js';
import { OrderedEngine } from './simulated-engine.js';

const PLACES = 3;
/** Time of a load while the store is crowded, in milliseconds. */
const CROWDED_LOAD_MS = 3000;
const URGENCY = {
  rank: 1,
  waitedMs: 0,
  dueInMs: 2000,
  lastCallMs: 2000,
  patienceMs: 2000,
  timeoutMs: 2000,
};

function setUp(isFenced = true) {
  const timers = createManualTimers();
  const engine = new OrderedEngine({ timers, places: PLACES, isFenced, loadMs: () => CROWDED_LOAD_MS });
  const direct: EngineAnswers = {
    order: async (order): Promise<OrderOutcome> => engine.take(order),
    report: async (): Promise<EngineReport> => engine.report(),
  };
  const makeKeeper = (token: number, answers = direct): EngineOwner =>
    new EngineOwner({
      replica: engineEntry('e'),
      engine: {
        slots: 8,
        memoryMb: 1000,
        adapterSlots: PLACES,
        modelLoadsPerSecond: 2,
        models: [{ name: MODEL, weightsMb: 90, adapterMb: 1 }],
      },
      self: `d${token}`,
      isFenced,
      control: {
        connect: (_replica, onClosed) => makeConnection(answers, onClosed),
        report: answers.report,
      },
      timers,
      log,
      fencingToken: () => token,
      onFenced: () => undefined,
      onResidencyChange: () => undefined,
      onRestart: () => undefined,
    });
  const want = (owner: EngineOwner, adapter: string): void => {
    owner.ensure({ model: MODEL, adapter, version: undefined }, URGENCY).catch(() => undefined);
  };
  return { timers, engine, direct, makeKeeper, want };
}

test('an adapter that is on its way when another daemon takes the engine over is not ordered away', async (t) => {
  const { timers, engine, makeKeeper, want } = setUp();
  const former = makeKeeper(1);
  void former.run();
  await timers.advance(400);
  for (const adapter of ['x', 'y', 'z']) want(former, adapter);
  await timers.advance(400);
  former.stop();
  const successor = makeKeeper(2);
  void successor.run();
  await timers.advance(500);
  want(successor, 'w');
  await timers.advance(6000);
  t.is(engine.overloads, 0);
});

test('a load that was accepted and then lost sight of is not ordered away before it has arrived', async (t) => {
  const { timers, engine, direct, makeKeeper, want } = setUp();
  let isCut = false;
  const owner = makeKeeper(1, {
    order: async (order) =>
      isCut && order.kind === OrderKind.Load ? OrderOutcome.Unreachable : direct.order(order),
    report: direct.report,
  });
  void owner.run();
  await timers.advance(400);
  for (const adapter of ['x', 'y', 'z']) want(owner, adapter);
  await timers.advance(50);
  isCut = true;
  await timers.advance(300);
  isCut = false;
  await timers.advance(800);
  want(owner, 'w');
  await timers.advance(6000);
  t.is(engine.overloads, 0);
});

test('an older version that a former keeper ordered meanwhile takes up a slot beside the newer one', async (t) => {
  const { timers, engine, direct, makeKeeper, want } = setUp(false);
  engine.declare('x', 2);
  let isLost = false;
  const owner = makeKeeper(2, {
    order: async (order) => {
      if (!isLost || order.adapter !== 'x') return direct.order(order);
      isLost = false;
      engine.take({ ...order, version: 1, token: 1, expected: undefined });
      return OrderOutcome.Unknown;
    },
    report: direct.report,
  });
  void owner.run();
  await timers.advance(400);
  isLost = true;
  owner.ensure({ model: MODEL, adapter: 'x', version: 2 }, URGENCY).catch(() => undefined);
  await timers.advance(600);
  for (const adapter of ['y', 'z']) want(owner, adapter);
  await timers.advance(9000);
  t.is(engine.overloads, 0);
  t.true(engine.names().includes('x'));
});
