/** Freshness of the platform's view on each daemon; no daemon may report a lower age than the true one. */
import test from 'ava';
import fc from 'fast-check';

import type { TestDaemon } from './daemons.js';
import { WatchingFleet } from './watching-fleet.js';

/** Bound on the time until a change in the store is in force, for the smallest fleets, in milliseconds. */
const IN_FORCE_MS = 2000;
/** Tolerance for the rounding of ages on the wire and for the steps of a run, in milliseconds. */
const ROUNDING_MS = 5;

/** Measurements of some daemons over a run. */
interface Ages {
  /** Longest time for which a view lacked a change, in milliseconds. */
  staleMs: number;
  /** Longest time by which the true age of a view exceeded the reported one, in milliseconds. */
  understatedMs: number;
}

/**
 * Runs for ten seconds while the store changes, after an optional warm-up, and measures the ages of views.
 */
async function runAndMeasure(
  watching: WatchingFleet,
  daemons: readonly TestDaemon[],
  warmUpMs = 0,
): Promise<Ages> {
  const ages: Ages = { staleMs: 0, understatedMs: 0 };
  await watching.run(warmUpMs, 100, () => undefined);
  await watching.run(10_000, 100, () => {
    for (const daemon of daemons) {
      ages.staleMs = Math.max(ages.staleMs, watching.store.staleMs(daemon.view.upTo));
      ages.understatedMs = Math.max(ages.understatedMs, watching.understatedMs(daemon));
    }
  });
  return ages;
}

for (const [name, slowIndex] of [
  ['the root', 0],
  ['a daemon that forwards batches', 1],
] as const)
  // Guards against a change that is late on other daemons because a view that a slow daemon forwards counts
  // as fresh.
  test(`a change is in force on all others in time while ${name} handles messages late`, async (t) => {
    const watching = new WatchingFleet();
    t.teardown(() => watching.stop());
    const { fleet } = watching;
    await watching.settle(24);
    const slow = fleet.daemon(slowIndex);
    t.true(slow.tree.subscriberCount > 0);
    fleet.network.slow(slow.address, 1100);
    const ages = await runAndMeasure(
      watching,
      fleet.running().filter((daemon) => daemon !== slow),
    );
    t.log(ages);
    t.true(ages.understatedMs <= ROUNDING_MS);
    t.true(ages.staleMs < IN_FORCE_MS);
  });

// Guards against ages that lose the time in transit whenever they pass between a daemon and its parent.
test('a change is in force in time while the store refuses the root and all daemons are slow', async (t) => {
  const watching = new WatchingFleet();
  t.teardown(() => watching.stop());
  const { fleet, store } = watching;
  await watching.settle(24);
  for (const daemon of fleet.running()) fleet.network.slow(daemon.address, 100);
  store.refused.add(fleet.daemon(0).address);
  const ages = await runAndMeasure(watching, fleet.running());
  t.log(ages);
  t.true(ages.understatedMs <= ROUNDING_MS);
  t.true(ages.staleMs < IN_FORCE_MS);
});

/** Time within which another daemon takes over reading the store, in milliseconds. */
const TAKE_OVER_MS = 2000;
/**
 * Bound on the age of views while one daemon reads, in milliseconds: the pause between reads and the transit.
 */
const MAX_AGE_MS = 800;

// Guards against a daemon that reads once in place of the root, then waits until the view has aged again.
test('views stay fresh while the store refuses the root for a long time', async (t) => {
  const watching = new WatchingFleet();
  t.teardown(() => watching.stop());
  const { fleet, store } = watching;
  await watching.settle(24);
  store.refused.add(fleet.daemon(0).address);
  const ages = await runAndMeasure(watching, fleet.running(), TAKE_OVER_MS);
  t.log(ages);
  t.true(ages.staleMs < MAX_AGE_MS);
  store.refused.clear();
  await watching.run(2000, 100, () => undefined);
  const callsBefore = store.watches;
  await watching.run(4000, 100, () => undefined);
  const perSecond = (store.watches - callsBefore) / 4;
  t.log({ perSecond });
  t.true(perSecond <= 1000 / 120);
});

const DAEMONS = 12;
/** Random runs; CELERYYOKE_SOAK_PLAYS and CELERYYOKE_SOAK_SEED set other numbers for longer tests. */
const RUNS = Number(process.env.CELERYYOKE_SOAK_PLAYS ?? 25);
const SEED = Number(process.env.CELERYYOKE_SOAK_SEED ?? 1);

/** What a step of a random run does to a daemon. */
const ACTIONS = {
  kill: ({ fleet }, target) => {
    if (!fleet.daemon(target).isStopped) fleet.daemon(target).kill();
  },
  start: async ({ fleet }, target) => {
    if (fleet.daemon(target).isStopped) await fleet.start(target);
  },
  freeze: ({ fleet }, target) => fleet.network.freeze(fleet.addressOf(target)),
  thaw: ({ fleet }, target) => fleet.network.thaw(fleet.addressOf(target)),
  slow: ({ fleet }, target, other) => fleet.network.slow(fleet.addressOf(target), other * 150),
  cut: ({ fleet }, target, other) => fleet.network.cut(fleet.addressOf(target), fleet.addressOf(other)),
  heal: ({ fleet }) => fleet.network.heal(),
  refuse: ({ store, fleet }, target) => store.refused.add(fleet.addressOf(target)),
  serve: ({ store, fleet }, target) => store.refused.delete(fleet.addressOf(target)),
} satisfies Record<string, (watching: WatchingFleet, target: number, other: number) => unknown>;

// Guards against any other path on which an age loses time between daemons.
test('no daemon understates the age of its view while others end, freeze, are slow or cut off', async (t) => {
  const step = fc.record({
    kind: fc.constantFrom(...(Object.keys(ACTIONS) as (keyof typeof ACTIONS)[])),
    target: fc.nat(DAEMONS - 1),
    other: fc.nat(DAEMONS - 1),
    waitMs: fc.integer({ min: 0, max: 1500 }),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 12 }), async (steps) => {
      const watching = new WatchingFleet();
      const { fleet } = watching;
      await watching.settle(DAEMONS);
      let understatedMs = 0;
      const observe = (): void => {
        const awake = fleet.running().filter(({ address }) => !fleet.network.isFrozen(address));
        understatedMs = Math.max(understatedMs, ...awake.map((daemon) => watching.understatedMs(daemon)));
      };
      for (const { kind, target, other, waitMs } of steps) {
        await ACTIONS[kind](watching, target, other);
        await watching.run(waitMs, 100, observe);
      }
      await watching.run(2000, 100, observe);
      watching.stop();
      return understatedMs <= ROUNDING_MS;
    }),
    { numRuns: RUNS, seed: SEED },
  );
  t.pass();
});
