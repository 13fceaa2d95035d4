/** Checks that an owner never orders an engine beyond its capacity and never blocks it. */
import { createManualTimers } from '@celeryyoke/core';
import type { EngineResidency, EngineOwnerOptions, SlotAvailability } from '@celeryyoke/routing';
import { AdapterUnavailable, EngineOwner, OrderKind, OrderOutcome } from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

import { engineEntry, FakeEngine, log, MODEL, sampleDocument } from './fakes.js';

const CAPACITY = 3;
const TAKEOVER_MS = 400;
/** Urgency of a request that waits as long for its load to start as for its adapter. */
const urgencyOf = (rank: number, timeoutMs: number) => ({
  rank,
  waitedMs: 0,
  lastCallMs: timeoutMs,
  patienceMs: timeoutMs,
  timeoutMs,
});
const URGENCY = urgencyOf(1, 3000);

/** Creates an owner of a fake engine, not yet running. */
function createOwner(
  options: Partial<EngineOwnerOptions> & Pick<EngineOwnerOptions, 'control' | 'timers'>,
): EngineOwner {
  return new EngineOwner({
    replica: engineEntry('e'),
    engine: sampleDocument(1).services[1]!.engine!,
    self: 'a',
    isFenced: true,
    log,
    fencingToken: () => 5,
    onOrder: () => undefined,
    acceptsOrders: () => true,
    onFenced: () => undefined,
    onResidencyChange: () => undefined,
    onRestart: () => undefined,
    ...options,
  });
}

async function setUp() {
  const timers = createManualTimers();
  const control = new FakeEngine(timers, CAPACITY);
  const published: EngineResidency[] = [];
  const fenced: number[] = [];
  const lease: { token: number | undefined } = { token: 5 };
  const owner = createOwner({
    control,
    timers,
    fencingToken: () => lease.token,
    onOrder: () => undefined,
    onFenced: (token) => fenced.push(token),
    onResidencyChange: (residency) => published.push(residency),
  });
  void owner.run();
  await timers.advance(TAKEOVER_MS);
  const ensure = (adapter: string, urgency = URGENCY, version?: number) =>
    owner.ensure({ model: MODEL, adapter, version }, urgency);
  return { timers, control, owner, published, fenced, lease, ensure };
}

test('an empty engine serves as soon as its base model is resident', async (t) => {
  const timers = createManualTimers();
  const control = new FakeEngine(timers, CAPACITY);
  control.scriptedOutcomes = [OrderOutcome.Started, OrderOutcome.Started];
  const published: EngineResidency[] = [];
  const owner = createOwner({
    replica: { ...engineEntry('e'), models: [] },
    control,
    timers,
    onResidencyChange: (residency) => published.push(residency),
  });
  void owner.run();
  await timers.advance(390);
  t.is(published.length, 0);
  await timers.advance(20);
  t.deepEqual(published.at(-1)?.models, [MODEL]);
});

test('an engine whose model another owner has loaded meanwhile is asked for its adapters', async (t) => {
  const timers = createManualTimers();
  const control = new FakeEngine(timers, CAPACITY);
  for (const adapter of ['x', 'y', 'z']) control.slots.set(adapter, { isLoading: false, running: 0 });
  const owner = createOwner({
    replica: { ...engineEntry('e'), models: [] },
    control,
    timers,
  });
  void owner.run();
  await timers.advance(600);
  void observe(owner.ensure({ model: MODEL, adapter: 'w', version: undefined }, URGENCY));
  await timers.advance(1000);
  t.is(control.overloads, 0);
});

test('an owner takes over an engine immediately once its report is verified', async (t) => {
  const timers = createManualTimers();
  const control = new FakeEngine(timers, CAPACITY);
  control.slots.set('x', { isLoading: false, running: 0 });
  control.sequence = 7;
  const published: EngineResidency[] = [];
  const owner = createOwner({ control, timers, onResidencyChange: (residency) => published.push(residency) });
  void owner.run();
  await timers.advance(5);
  t.deepEqual(published.at(-1)?.adapters, { [`${MODEL}/x`]: 1 });
});

test('a report older than the last order of another owner is not accepted', async (t) => {
  const timers = createManualTimers();
  const control = new FakeEngine(timers, CAPACITY);
  control.staleReport = control.currentReport();
  for (const adapter of ['x', 'y', 'z']) control.slots.set(adapter, { isLoading: false, running: 0 });
  control.sequence = 3;
  const published: EngineResidency[] = [];
  const owner = createOwner({ control, timers, onResidencyChange: (residency) => published.push(residency) });
  void owner.run();
  await timers.advance(100);
  t.is(published.length, 0);
  control.staleReport = undefined;
  await timers.advance(300);
  t.is(Object.keys(published.at(-1)?.adapters ?? {}).length, 3);
});

/** Records how a promise settles. */
function observe(promise: Promise<SlotAvailability | undefined>): { state: string } {
  const outcome = { state: 'waiting' };
  promise.then(
    (availability) => {
      outcome.state = availability === undefined ? 'done' : 'full';
    },
    (err: unknown) => {
      outcome.state = err instanceof AdapterUnavailable ? 'unavailable' : String(err);
    },
  );
  return outcome;
}

test('an engine with more slots than fit into its memory is not ordered beyond its memory', async (t) => {
  const timers = createManualTimers();
  const spec = sampleDocument(1).services[1]!.engine!;
  // Leaves 10 MB beside the weights: room for two adapters of 4 MB, although there are three slots.
  const engine = { ...spec, models: [{ ...spec.models[0]!, adapterMb: 4 }] };
  const control = new FakeEngine(timers, 2);
  const owner = createOwner({ control, timers, engine });
  void owner.run();
  await timers.advance(TAKEOVER_MS);
  for (const adapter of ['x', 'y', 'z', 'w']) {
    void observe(owner.ensure({ model: MODEL, adapter, version: undefined }, URGENCY));
    await timers.advance(700);
  }
  t.is(control.overloads, 0);
  t.true(control.slots.has('w'));
});

test('requests for one adapter share one load', async (t) => {
  const { timers, control, ensure } = await setUp();
  const outcomes = [observe(ensure('x')), observe(ensure('x'))];
  await timers.advance(500);
  t.deepEqual(
    outcomes.map(({ state }) => state),
    ['done', 'done'],
  );
  t.is(control.slots.size, 1);
});

test('an idle adapter is evicted, one in use is not', async (t) => {
  const { timers, control, owner, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  owner.setRunning(new Map([[`${MODEL}/x`, 1]]));
  control.slots.get('x')!.running = 1;
  const outcome = observe(ensure('w'));
  await timers.advance(1000);
  t.is(outcome.state, 'done');
  t.true(control.slots.has('x'));
  t.is(control.overloads, 0);
  t.is(control.pendingUnloads.size, 0);
});

test('an adapter stays when a request sent before its withdrawal becomes known', async (t) => {
  const { timers, control, owner, published, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  const before = published.length;
  void observe(ensure('w'));
  // The withdrawal is published before the order is sent; a request that another daemon sent meanwhile
  // becomes known.
  while (published.length === before) await timers.advance(1);
  const withdrawn = ['x', 'y', 'z'].find(
    (name) => published.at(-1)!.adapters[`${MODEL}/${name}`] === undefined,
  )!;
  control.slots.get(withdrawn)!.running = 1;
  owner.setRunning(new Map([[`${MODEL}/${withdrawn}`, 1]]));
  await timers.advance(1000);
  t.true(control.slots.has(withdrawn));
  t.is(control.pendingUnloads.size, 0);
  t.is(control.overloads, 0);
});

test('an accepted load keeps its slot while the engine answers busy', async (t) => {
  const { timers, control, ensure } = await setUp();
  control.scriptedOutcomes = [OrderOutcome.Started, ...new Array<OrderOutcome>(400).fill(OrderOutcome.Busy)];
  const outcome = observe(ensure('x', urgencyOf(1, 10_000)));
  await timers.advance(4500);
  t.is(outcome.state, 'unavailable');
  control.scriptedOutcomes = [];
  control.slots.set('x', { isLoading: false, running: 0 });
  for (const adapter of ['y', 'z', 'w']) {
    void observe(ensure(adapter));
    await timers.advance(600);
  }
  t.is(control.overloads, 0);
});

test('an accepted load keeps its slot when the engine becomes unreachable', async (t) => {
  const { timers, control, ensure } = await setUp();
  const outcome = observe(ensure('x'));
  await timers.advance(20);
  t.true(control.slots.get('x')!.isLoading);
  control.scriptedOutcomes = [OrderOutcome.Unreachable];
  await timers.advance(780);
  t.is(outcome.state, 'unavailable');
  for (const adapter of ['y', 'z', 'w']) {
    void observe(ensure(adapter));
    await timers.advance(600);
  }
  t.is(control.overloads, 0);
});

test('a load that must start immediately is refused with the slot availability while all slots are in use', async (t) => {
  const { timers, control, owner, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  const running = new Map(['x', 'y', 'z'].map((name) => [`${MODEL}/${name}`, 1]));
  owner.setRunning(running);
  const immediate = { ...URGENCY, patienceMs: 0 };
  t.deepEqual(await ensure('w', immediate), { replica: 'e', freeSlots: 0, queued: 0 });
  owner.setRunning(new Map([...running].slice(1)));
  const outcome = observe(ensure('w', immediate));
  await timers.advance(1000);
  t.is(outcome.state, 'done');
  t.is(control.overloads, 0);
});

test('an engine has no free slots while an unload waits for running requests', async (t) => {
  const { timers, control, owner, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  // Requests that no daemon knows of, as after all daemons have crashed.
  for (const slot of control.slots.values()) slot.running = 1;
  void observe(ensure('w'));
  await timers.advance(100);
  t.is(control.pendingUnloads.size, 1);
  t.is(owner.slotAvailability().freeSlots, 0);
  t.deepEqual(await ensure('v', { ...URGENCY, patienceMs: 0 }), { replica: 'e', freeSlots: 0, queued: 1 });
  for (const slot of control.slots.values()) slot.running = 0;
  await timers.advance(1000);
  t.is(control.overloads, 0);
  t.true(control.slots.has('w'));
});

test('a load that no request waits for any more is not started', async (t) => {
  const { timers, control, owner, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  const running = new Map(['x', 'y', 'z'].map((name) => [`${MODEL}/${name}`, 1] as const));
  owner.setRunning(running);
  const outcome = observe(ensure('w', urgencyOf(1, 200)));
  await timers.advance(300);
  t.is(outcome.state, 'full');
  owner.setRunning(new Map());
  await timers.advance(1000);
  t.false(control.orders.some(({ adapter }) => adapter === 'w'));
});

test('the most urgent of the waiting loads starts first', async (t) => {
  const { timers, control, owner, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  owner.setRunning(new Map(['x', 'y', 'z'].map((name) => [`${MODEL}/${name}`, 1] as const)));
  void observe(ensure('later', urgencyOf(2, 5000)));
  void observe(ensure('sooner', urgencyOf(0, 5000)));
  await timers.advance(100);
  owner.setRunning(new Map());
  await timers.advance(2000);
  const loads = control.orders.filter(({ kind }) => kind === OrderKind.Load).map(({ adapter }) => adapter);
  t.true(loads.indexOf('sooner') < loads.indexOf('later'));
  t.true(loads.includes('later'));
});

// Guards against loads that are ordered by anything but the configured priority and the time that callers have.
test('waiting loads start by priority, then by the time their requests have left, hopeless ones last', async (t) => {
  const { timers, control, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  const before = control.orders.length;
  void observe(ensure('first', { ...urgencyOf(0, 9000), waitedMs: 500 }));
  void observe(ensure('second', urgencyOf(0, 9000)));
  void observe(ensure('fourth', { ...urgencyOf(2, 9000), lastCallMs: 7000 }));
  void observe(ensure('third', { ...urgencyOf(2, 9000), lastCallMs: 6000 }));
  void observe(ensure('hopeless', { ...urgencyOf(0, 9000), lastCallMs: -1 }));
  await timers.advance(6000);
  const loaded = control.orders.slice(before).filter(({ kind }) => kind === OrderKind.Load);
  const order = [...new Set(loaded.map(({ adapter }) => adapter))];
  t.deepEqual(order, ['first', 'second', 'third', 'fourth', 'hopeless']);
});

test('a slot is freed before a newer version is loaded beside the older one', async (t) => {
  const { timers, control, owner, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  t.true(owner.hasOlderVersion(`${MODEL}/x`, 2));
  void observe(ensure('x', URGENCY, 2));
  await timers.advance(600);
  const upgrade = control.orders.findIndex(({ version }) => version === 2);
  const unload = control.orders.findIndex(({ kind }) => kind === OrderKind.Unload);
  t.true(unload >= 0 && unload < upgrade);
  t.false(owner.hasOlderVersion(`${MODEL}/x`, 2));
});

test('no order is sent without a fencing token', async (t) => {
  const { timers, control, lease, ensure } = await setUp();
  lease.token = undefined;
  const before = control.orders.length;
  void observe(ensure('x', urgencyOf(1, 300)));
  await timers.advance(500);
  t.is(control.orders.length, before);
});

test('a refused token is reported, and its load does not count as done', async (t) => {
  const { timers, control, fenced, ensure } = await setUp();
  control.highestToken = 9;
  const outcome = observe(ensure('x'));
  await timers.advance(100);
  t.deepEqual(fenced, [5]);
  t.is(outcome.state, 'unavailable');
});

test('whatever the demand, no engine is ordered beyond its capacity or blocked by a known request', async (t) => {
  const step = fc.record({ adapter: fc.nat(7), holdMs: fc.nat(400), pauseMs: fc.nat(120), rank: fc.nat(2) });
  await fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 30 }), async (steps) => {
      const { timers, control, owner, ensure } = await setUp();
      const running = new Map<string, number>();
      const change = (adapter: string, by: number): void => {
        const key = `${MODEL}/${adapter}`;
        running.set(key, (running.get(key) ?? 0) + by);
        const slot = control.slots.get(adapter);
        if (slot !== undefined) slot.running += by;
        owner.setRunning(running);
      };
      for (const { adapter: number, holdMs, pauseMs, rank } of steps) {
        const adapter = `a${number}`;
        ensure(adapter, urgencyOf(rank, 800)).then(
          () => {
            change(adapter, 1);
            timers.after(holdMs, () => change(adapter, -1));
          },
          () => undefined,
        );
        await timers.advance(pauseMs);
      }
      await timers.advance(3000);
      t.is(control.overloads, 0);
      t.is(control.pendingUnloads.size, 0);
    }),
    { seed: 7, numRuns: 30 },
  );
});

test('a restart is reported when the engine refuses an order because of it', async (t) => {
  const timers = createManualTimers();
  const control = new FakeEngine(timers, CAPACITY);
  control.bornAt = 1000;
  const starts: number[] = [];
  const replica = { ...engineEntry('e'), bornAt: 1000 };
  const owner = createOwner({ replica, control, timers, onRestart: (bornAt) => starts.push(bornAt) });
  void owner.run();
  await timers.advance(TAKEOVER_MS);
  control.bornAt = 2000;
  control.scriptedOutcomes = [OrderOutcome.Misdirected];
  const ensured = t.throwsAsync(owner.ensure({ model: MODEL, adapter: 'a1', version: undefined }, URGENCY));
  await timers.advance(50);
  await ensured;
  t.deepEqual(starts, [2000]);
});

test('a report of a later incarnation is not accepted as the state of this one', async (t) => {
  const timers = createManualTimers();
  const control = new FakeEngine(timers, CAPACITY);
  control.bornAt = 2000;
  const starts: number[] = [];
  const published: EngineResidency[] = [];
  const owner = createOwner({
    replica: { ...engineEntry('e'), bornAt: 1000 },
    control,
    timers,
    onRestart: (bornAt) => starts.push(bornAt),
    onResidencyChange: (residency) => published.push(residency),
  });
  void owner.run();
  await timers.advance(100);
  owner.stop();
  t.deepEqual(starts, [2000]);
  t.deepEqual(published, []);
});

test('an engine that lost its model under the same name loads it again and has no resident adapters', async (t) => {
  const { timers, control, ensure, published } = await setUp();
  const first = ensure('a1');
  await timers.advance(400);
  await first;
  control.staleReport = { ...control.currentReport(), models: [] };
  control.scriptedOutcomes = [OrderOutcome.Misdirected, OrderOutcome.Started, OrderOutcome.Done];
  const rejected = t.throwsAsync(ensure('a2'));
  await timers.advance(50);
  await rejected;
  control.staleReport = undefined;
  await timers.advance(1000);
  t.deepEqual(published.at(-1)?.models, [MODEL]);
  t.deepEqual(published.at(-1)?.adapters, {});
});

test('an adapter that a request did not find is ordered again before it counts as resident', async (t) => {
  const { timers, control, owner, ensure } = await setUp();
  const first = ensure('a1');
  await timers.advance(400);
  await first;
  control.slots.delete('a1');
  const ref = { model: MODEL, adapter: 'a1', version: undefined, isDoubted: true };
  const reloaded = owner.ensure(ref, URGENCY);
  await timers.advance(400);
  await reloaded;
  t.true(control.slots.has('a1'));
  t.is(control.overloads, 0);
});

// Guards against orders to an engine that has asked its owner for a backoff, and against requests that wait for them.
test('an owner whose engine takes no orders sends none, and has requests go elsewhere', async (t) => {
  const timers = createManualTimers();
  const control = new FakeEngine(timers, CAPACITY);
  let acceptsOrders = true;
  const owner = createOwner({ control, timers, acceptsOrders: () => acceptsOrders });
  void owner.run();
  await timers.advance(TAKEOVER_MS);
  const ensure = (adapter: string) =>
    observe(owner.ensure({ model: MODEL, adapter, version: undefined }, URGENCY));
  ensure('x');
  await timers.advance(400);
  acceptsOrders = false;
  const { length: ordersBefore } = control.orders;
  const [resident, absent] = [ensure('x'), ensure('y')];
  await timers.advance(100);
  t.is(resident.state, 'done');
  t.is(absent.state, 'unavailable');
  t.true(owner.slotAvailability().freeSlots < 0);
  t.is(control.orders.length, ordersBefore);
  acceptsOrders = true;
  const later = ensure('y');
  await timers.advance(400);
  t.is(later.state, 'done');
});

// Guards against slots that are lost or counted twice when an order is held back in the step that sends it.
test('a load whose order is withheld frees its slot and can be ordered later', async (t) => {
  const { timers, control, owner, ensure } = await setUp();
  control.scriptedOutcomes = [OrderOutcome.Withheld];
  const withheld = observe(ensure('x'));
  await timers.advance(100);
  t.is(withheld.state, 'unavailable');
  t.is(owner.slotAvailability().freeSlots, CAPACITY);
  const later = observe(ensure('x'));
  await timers.advance(400);
  t.is(later.state, 'done');
  t.is(control.overloads, 0);
});
