/** A owner never orders more onto an engine than it holds, and never blocks it. */
import { createManualTimers } from '@celeryyoke/core';
import type { Holdings, EngineOwnerOptions, SlotAvailability } from '@celeryyoke/routing';
import { AdapterUnavailable, EngineOwner, OrderKind, OrderOutcome } from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

import { engineEntry, FakeEngine, log, MODEL, sampleDocument } from './fakes.js';

const CAPACITY = 3;
const LEARNT_MS = 400;
/** A request that waits for its turn as long as for its adapter. */
const urgent = (rank: number, timeoutMs: number) => ({
  rank,
  waitedMs: 0,
  dueInMs: timeoutMs,
  lastCallMs: timeoutMs,
  patienceMs: timeoutMs,
  timeoutMs,
});
const URGENCY = urgent(1, 3000);

/** Makes an owner over a stand-in engine; it has not started. */
function makeKeeper(
  options: Partial<EngineOwnerOptions> & Pick<EngineOwnerOptions, 'control' | 'timers'>,
): EngineOwner {
  return new EngineOwner({
    replica: engineEntry('e'),
    engine: sampleDocument(1).services[1]!.engine!,
    self: 'a',
    isFenced: true,
    log,
    fencingToken: () => 5,
    onFenced: () => undefined,
    onResidencyChange: () => undefined,
    onRestart: () => undefined,
    ...options,
  });
}

async function setUp() {
  const timers = createManualTimers();
  const control = new FakeEngine(timers, CAPACITY);
  const told: Holdings[] = [];
  const fenced: number[] = [];
  const authority: { token: number | undefined } = { token: 5 };
  const owner = makeKeeper({
    control,
    timers,
    fencingToken: () => authority.token,
    onFenced: (token) => fenced.push(token),
    onResidencyChange: (residency) => told.push(residency),
  });
  void owner.run();
  await timers.advance(LEARNT_MS);
  const ensure = (adapter: string, urgency = URGENCY, version?: number) =>
    owner.ensure({ model: MODEL, adapter, version }, urgency);
  return { timers, control, owner, told, fenced, authority, ensure };
}

test('an engine that held nothing serves as soon as its base model is in place', async (t) => {
  const timers = createManualTimers();
  const control = new FakeEngine(timers, CAPACITY);
  control.script = [OrderOutcome.Started, OrderOutcome.Started];
  const told: Holdings[] = [];
  const owner = makeKeeper({
    replica: { ...engineEntry('e'), models: [] },
    control,
    timers,
    onResidencyChange: (residency) => told.push(residency),
  });
  void owner.run();
  await timers.advance(390);
  t.is(told.length, 0);
  await timers.advance(20);
  t.deepEqual(told.at(-1)?.models, [MODEL]);
});

test('an engine whose model another keeper has loaded meanwhile is asked what else it holds', async (t) => {
  const timers = createManualTimers();
  const control = new FakeEngine(timers, CAPACITY);
  for (const adapter of ['x', 'y', 'z']) control.slots.set(adapter, { isLoading: false, running: 0 });
  const owner = makeKeeper({
    replica: { ...engineEntry('e'), models: [] },
    control,
    timers,
  });
  void owner.run();
  await timers.advance(600);
  void watch(owner.ensure({ model: MODEL, adapter: 'w', version: undefined }, URGENCY));
  await timers.advance(1000);
  t.is(control.overloads, 0);
});

test('a keeper takes an engine over at once when its report is proved to be exact', async (t) => {
  const timers = createManualTimers();
  const control = new FakeEngine(timers, CAPACITY);
  control.slots.set('x', { isLoading: false, running: 0 });
  control.sequence = 7;
  const told: Holdings[] = [];
  const owner = makeKeeper({ control, timers, onResidencyChange: (residency) => told.push(residency) });
  void owner.run();
  await timers.advance(5);
  t.deepEqual(told.at(-1)?.adapters, { [`${MODEL}/x`]: 1 });
});

test('a report from before the last order of another keeper is not believed', async (t) => {
  const timers = createManualTimers();
  const control = new FakeEngine(timers, CAPACITY);
  control.oldReport = control.current();
  for (const adapter of ['x', 'y', 'z']) control.slots.set(adapter, { isLoading: false, running: 0 });
  control.sequence = 3;
  const told: Holdings[] = [];
  const owner = makeKeeper({ control, timers, onResidencyChange: (residency) => told.push(residency) });
  void owner.run();
  await timers.advance(100);
  t.is(told.length, 0);
  control.oldReport = undefined;
  await timers.advance(300);
  t.is(Object.keys(told.at(-1)?.adapters ?? {}).length, 3);
});

/** Notes how a promise ended. */
function watch(promise: Promise<SlotAvailability | undefined>): { state: string } {
  const note = { state: 'waiting' };
  promise.then(
    (line) => {
      note.state = line === undefined ? 'done' : 'full';
    },
    (err: unknown) => {
      note.state = err instanceof AdapterUnavailable ? 'unavailable' : String(err);
    },
  );
  return note;
}

test('an engine whose memory holds fewer adapters than it has slots is ordered to hold no more', async (t) => {
  const timers = createManualTimers();
  const spec = sampleDocument(1).services[1]!.engine!;
  // Ten megabytes beside the weights: two adapters of four, though there are three slots.
  const engine = { ...spec, models: [{ ...spec.models[0]!, adapterMb: 4 }] };
  const control = new FakeEngine(timers, 2);
  const owner = makeKeeper({ control, timers, engine });
  void owner.run();
  await timers.advance(LEARNT_MS);
  for (const adapter of ['x', 'y', 'z', 'w']) {
    void watch(owner.ensure({ model: MODEL, adapter, version: undefined }, URGENCY));
    await timers.advance(700);
  }
  t.is(control.overloads, 0);
  t.true(control.slots.has('w'));
});

test('requests for one adapter share one load', async (t) => {
  const { timers, control, ensure } = await setUp();
  const notes = [watch(ensure('x')), watch(ensure('x'))];
  await timers.advance(500);
  t.deepEqual(
    notes.map(({ state }) => state),
    ['done', 'done'],
  );
  t.is(control.slots.size, 1);
});

test('an adapter without running requests makes room, one in use stays', async (t) => {
  const { timers, control, owner, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  owner.setRunning(new Map([[`${MODEL}/x`, 1]]));
  control.slots.get('x')!.running = 1;
  const note = watch(ensure('w'));
  await timers.advance(1000);
  t.is(note.state, 'done');
  t.true(control.slots.has('x'));
  t.is(control.overloads, 0);
  t.is(control.blocked.size, 0);
});

test('a use that was on its way when the adapter was withdrawn keeps it', async (t) => {
  const { timers, control, owner, told, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  const before = told.length;
  void watch(ensure('w'));
  // The withdrawal is told before the order goes; a request that another daemon sent meanwhile becomes known.
  while (told.length === before) await timers.advance(1);
  const withdrawn = ['x', 'y', 'z'].find((name) => told.at(-1)!.adapters[`${MODEL}/${name}`] === undefined)!;
  control.slots.get(withdrawn)!.running = 1;
  owner.setRunning(new Map([[`${MODEL}/${withdrawn}`, 1]]));
  await timers.advance(1000);
  t.true(control.slots.has(withdrawn));
  t.is(control.blocked.size, 0);
  t.is(control.overloads, 0);
});

test('a load that was accepted stays counted when the engine then answers that it is busy', async (t) => {
  const { timers, control, ensure } = await setUp();
  control.script = [OrderOutcome.Started, ...new Array<OrderOutcome>(400).fill(OrderOutcome.Busy)];
  const note = watch(ensure('x', urgent(1, 10_000)));
  await timers.advance(4500);
  t.is(note.state, 'unavailable');
  control.script = [];
  control.slots.set('x', { isLoading: false, running: 0 });
  for (const adapter of ['y', 'z', 'w']) {
    void watch(ensure(adapter));
    await timers.advance(600);
  }
  t.is(control.overloads, 0);
});

test('a load that was accepted stays counted when the engine can then not be reached', async (t) => {
  const { timers, control, ensure } = await setUp();
  const note = watch(ensure('x'));
  await timers.advance(20);
  t.true(control.slots.get('x')!.isLoading);
  control.script = [OrderOutcome.Unreachable];
  await timers.advance(780);
  t.is(note.state, 'unavailable');
  for (const adapter of ['y', 'z', 'w']) {
    void watch(ensure(adapter));
    await timers.advance(600);
  }
  t.is(control.overloads, 0);
});

test('a load that must begin at once is refused while every slot is in use, and tells how they stand', async (t) => {
  const { timers, control, owner, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  const running = new Map(['x', 'y', 'z'].map((name) => [`${MODEL}/${name}`, 1]));
  owner.setRunning(running);
  const atOnce = { ...URGENCY, patienceMs: 0 };
  t.deepEqual(await ensure('w', atOnce), { replica: 'e', freeSlots: 0, queued: 0 });
  owner.setRunning(new Map([...running].slice(1)));
  const note = watch(ensure('w', atOnce));
  await timers.advance(1000);
  t.is(note.state, 'done');
  t.is(control.overloads, 0);
});

test('an engine that takes no orders until an adapter is out of use tells that it has no room', async (t) => {
  const { timers, control, owner, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  // Runs that no daemon knows of, as after the end of all.
  for (const slot of control.slots.values()) slot.running = 1;
  void watch(ensure('w'));
  await timers.advance(100);
  t.is(control.blocked.size, 1);
  t.is(owner.slotAvailability().freeSlots, 0);
  t.deepEqual(await ensure('v', { ...URGENCY, patienceMs: 0 }), { replica: 'e', freeSlots: 0, queued: 1 });
  for (const slot of control.slots.values()) slot.running = 0;
  await timers.advance(1000);
  t.is(control.overloads, 0);
  t.true(control.slots.has('w'));
});

test('a load that nobody waits for any more is not begun', async (t) => {
  const { timers, control, owner, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  const running = new Map(['x', 'y', 'z'].map((name) => [`${MODEL}/${name}`, 1] as const));
  owner.setRunning(running);
  const note = watch(ensure('w', urgent(1, 200)));
  await timers.advance(300);
  t.is(note.state, 'full');
  owner.setRunning(new Map());
  await timers.advance(1000);
  t.false(control.orders.some(({ adapter }) => adapter === 'w'));
});

test('the most urgent of the waiting loads comes first', async (t) => {
  const { timers, control, owner, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  owner.setRunning(new Map(['x', 'y', 'z'].map((name) => [`${MODEL}/${name}`, 1] as const)));
  void watch(ensure('later', urgent(2, 5000)));
  void watch(ensure('sooner', urgent(0, 5000)));
  await timers.advance(100);
  owner.setRunning(new Map());
  await timers.advance(2000);
  const loads = control.orders.filter(({ kind }) => kind === OrderKind.Load).map(({ adapter }) => adapter);
  t.true(loads.indexOf('sooner') < loads.indexOf('later'));
  t.true(loads.includes('later'));
});

test('what can still be on time comes before what is late, and what would soon not be served before both', async (t) => {
  const { timers, control, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  const before = control.orders.length;
  const late = { ...urgent(0, 9000), dueInMs: -1 };
  void watch(ensure('late', { ...late, waitedMs: 500 }));
  void watch(ensure('later', late));
  void watch(ensure('soon', { ...urgent(2, 9000), dueInMs: 7000 }));
  void watch(ensure('sooner', { ...urgent(2, 9000), dueInMs: 6000 }));
  void watch(ensure('last', { ...late, lastCallMs: -1 }));
  await timers.advance(6000);
  const loaded = control.orders.slice(before).filter(({ kind }) => kind === OrderKind.Load);
  const order = [...new Set(loaded.map(({ adapter }) => adapter))];
  t.deepEqual(order, ['last', 'sooner', 'soon', 'late', 'later']);
});

test('a newer version is loaded over the older one, with a slot to spare', async (t) => {
  const { timers, control, owner, ensure } = await setUp();
  for (const adapter of ['x', 'y', 'z']) {
    void ensure(adapter);
    await timers.advance(400);
  }
  t.true(owner.hasOlderVersion(`${MODEL}/x`, 2));
  void watch(ensure('x', URGENCY, 2));
  await timers.advance(600);
  const upgrade = control.orders.findIndex(({ version }) => version === 2);
  const room = control.orders.findIndex(({ kind }) => kind === OrderKind.Unload);
  t.true(room >= 0 && room < upgrade);
  t.false(owner.hasOlderVersion(`${MODEL}/x`, 2));
});

test('without authority no order is sent', async (t) => {
  const { timers, control, authority, ensure } = await setUp();
  authority.token = undefined;
  const before = control.orders.length;
  void watch(ensure('x', urgent(1, 300)));
  await timers.advance(500);
  t.is(control.orders.length, before);
});

test('a refused token is reported, and not used for a load that then counts as done', async (t) => {
  const { timers, control, fenced, ensure } = await setUp();
  control.seenToken = 9;
  const note = watch(ensure('x'));
  await timers.advance(100);
  t.deepEqual(fenced, [5]);
  t.is(note.state, 'unavailable');
});

test('whatever the demand, no engine is ordered to hold too much or blocked by a use that is known', async (t) => {
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
        ensure(adapter, urgent(rank, 800)).then(
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
      t.is(control.blocked.size, 0);
    }),
    { seed: 7, numRuns: 30 },
  );
});

test('an engine that refuses an order since it has started again is told as a new start', async (t) => {
  const timers = createManualTimers();
  const control = new FakeEngine(timers, CAPACITY);
  control.bornAt = 1000;
  const starts: number[] = [];
  const replica = { ...engineEntry('e'), bornAt: 1000 };
  const owner = makeKeeper({ replica, control, timers, onRestart: (bornAt) => starts.push(bornAt) });
  void owner.run();
  await timers.advance(LEARNT_MS);
  control.bornAt = 2000;
  control.script = [OrderOutcome.Misdirected];
  const ensured = t.throwsAsync(owner.ensure({ model: MODEL, adapter: 'a1', version: undefined }, URGENCY));
  await timers.advance(50);
  await ensured;
  t.deepEqual(starts, [2000]);
});

test('a report of a later start is not taken for what the engine holds', async (t) => {
  const timers = createManualTimers();
  const control = new FakeEngine(timers, CAPACITY);
  control.bornAt = 2000;
  const starts: number[] = [];
  const told: Holdings[] = [];
  const owner = makeKeeper({
    replica: { ...engineEntry('e'), bornAt: 1000 },
    control,
    timers,
    onRestart: (bornAt) => starts.push(bornAt),
    onResidencyChange: (residency) => told.push(residency),
  });
  void owner.run();
  await timers.advance(100);
  owner.stop();
  t.deepEqual(starts, [2000]);
  t.deepEqual(told, []);
});

test('an engine that lost its model under the same name gets it again, and its adapters count as gone', async (t) => {
  const { timers, control, ensure, told } = await setUp();
  const first = ensure('a1');
  await timers.advance(400);
  await first;
  control.oldReport = { ...control.current(), models: [] };
  control.script = [OrderOutcome.Misdirected, OrderOutcome.Started, OrderOutcome.Done];
  const refused = t.throwsAsync(ensure('a2'));
  await timers.advance(50);
  await refused;
  control.oldReport = undefined;
  await timers.advance(1000);
  t.deepEqual(told.at(-1)?.models, [MODEL]);
  t.deepEqual(told.at(-1)?.adapters, {});
});

test('an adapter that a request did not find is ordered again before it is said to be in place', async (t) => {
  const { timers, control, owner, ensure } = await setUp();
  const first = ensure('a1');
  await timers.advance(400);
  await first;
  control.slots.delete('a1');
  const ref = { model: MODEL, adapter: 'a1', version: undefined, isDoubted: true };
  const again = owner.ensure(ref, URGENCY);
  await timers.advance(400);
  await again;
  t.true(control.slots.has('a1'));
  t.is(control.overloads, 0);
});
