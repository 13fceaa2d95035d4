/**
 * Guards against ordering an engine beyond its capacity, which crashes it with all running requests.
 *
 * With an overloaded store, adapters took a second to load. Meanwhile the engine's owner changed, or it lost
 * track of a load that the engine had accepted. In both cases the adapter counted as resident and was later
 * evicted. The engine had nothing to unload yet and answered done, the released slot was filled, and then the
 * adapter arrived.
 *
 * Real engines were confirmed to answer done to an unload of an adapter that is still loading, and to finish
 * the load.
 */
import { createManualTimers } from '@celeryyoke/core';
import type { EngineReport } from '@celeryyoke/routing';
import { EngineOwner, OrderKind, OrderOutcome } from '@celeryyoke/routing';
import test from 'ava';

import type { EngineHandlers } from '../fakes.js';
import { engineEntry, log, makeConnection, MODEL } from '../fakes.js';
import { SimulatedEngine } from './simulated-engine.js';

const CAPACITY = 3;
/** Load time while the store is overloaded, in milliseconds. */
const SLOW_LOAD_MS = 3000;
const URGENCY = {
  rank: 1,
  waitedMs: 0,
  lastCallMs: 2000,
  patienceMs: 2000,
  timeoutMs: 2000,
};

function setUp(isFenced = true) {
  const timers = createManualTimers();
  const engine = new SimulatedEngine({ timers, capacity: CAPACITY, isFenced, loadMs: () => SLOW_LOAD_MS });
  const direct: EngineHandlers = {
    order: async (order): Promise<OrderOutcome> => engine.handleOrder(order),
    report: async (): Promise<EngineReport> => engine.report(),
  };
  const createOwner = (token: number, responses = direct): EngineOwner =>
    new EngineOwner({
      replica: engineEntry('e'),
      engine: {
        slots: 8,
        memoryMb: 1000,
        adapterSlots: CAPACITY,
        modelLoadsPerSecond: 2,
        models: [{ name: MODEL, weightsMb: 90, adapterMb: 1 }],
      },
      self: `d${token}`,
      isFenced,
      control: {
        connect: (_replica, onClosed) => makeConnection(responses, onClosed),
        report: responses.report,
      },
      timers,
      log,
      fencingToken: () => token,
      onOrder: () => undefined,
      acceptsOrders: () => true,
      onFenced: () => undefined,
      onResidencyChange: () => undefined,
      onRestart: () => undefined,
    });
  const request = (owner: EngineOwner, adapter: string): void => {
    owner.ensure({ model: MODEL, adapter, version: undefined }, URGENCY).catch(() => undefined);
  };
  return { timers, engine, direct, createOwner, request };
}

test('an adapter that is loading when another daemon takes over the engine is not unloaded', async (t) => {
  const { timers, engine, createOwner, request } = setUp();
  const formerOwner = createOwner(1);
  void formerOwner.run();
  await timers.advance(400);
  for (const adapter of ['x', 'y', 'z']) request(formerOwner, adapter);
  await timers.advance(400);
  formerOwner.stop();
  const newOwner = createOwner(2);
  void newOwner.run();
  await timers.advance(500);
  request(newOwner, 'w');
  await timers.advance(6000);
  t.is(engine.overloads, 0);
});

test('an accepted load that its owner lost track of is not unloaded before it has finished', async (t) => {
  const { timers, engine, direct, createOwner, request } = setUp();
  let isDisconnected = false;
  const owner = createOwner(1, {
    order: async (order) =>
      isDisconnected && order.kind === OrderKind.Load ? OrderOutcome.Unreachable : direct.order(order),
    report: direct.report,
  });
  void owner.run();
  await timers.advance(400);
  for (const adapter of ['x', 'y', 'z']) request(owner, adapter);
  await timers.advance(50);
  isDisconnected = true;
  await timers.advance(300);
  isDisconnected = false;
  await timers.advance(800);
  request(owner, 'w');
  await timers.advance(6000);
  t.is(engine.overloads, 0);
});

test('an older version ordered by a former owner meanwhile occupies a slot beside the newer one', async (t) => {
  const { timers, engine, direct, createOwner, request } = setUp(false);
  engine.declareVersion('x', 2);
  let isResponseLost = false;
  const owner = createOwner(2, {
    order: async (order) => {
      if (!isResponseLost || order.adapter !== 'x') return direct.order(order);
      isResponseLost = false;
      engine.handleOrder({ ...order, version: 1, token: 1, expected: undefined });
      return OrderOutcome.Unknown;
    },
    report: direct.report,
  });
  void owner.run();
  await timers.advance(400);
  isResponseLost = true;
  owner.ensure({ model: MODEL, adapter: 'x', version: 2 }, URGENCY).catch(() => undefined);
  await timers.advance(600);
  for (const adapter of ['y', 'z']) request(owner, adapter);
  await timers.advance(9000);
  t.is(engine.overloads, 0);
  t.true(engine.residentAdapters().includes('x'));
});
