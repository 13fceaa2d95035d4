/** All daemons together spend the fixed number of retries once, whatever each of them knows of the fleet. */
import test from 'ava';
import fc from 'fast-check';

import { RetryingFleet, SEEDS } from './fleet.js';

const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 196 };
const DAEMONS = 78;
const SETTLED_MS = 25_000;

// Guards against daemons dividing the fixed number by the few members that they know while the others start.
test('daemons that start one after another spend no more than the fixed number in any window', async (t) => {
  const run = new RetryingFleet(BOUNDS);
  await run.startStaggered(DAEMONS, 20_000);
  await run.run(SETTLED_MS);
  t.log(run.mostRetries());
  t.true(run.mostRetries() <= BOUNDS.slack, `${run.mostRetries()} retries, allowed ${BOUNDS.slack}`);
  const settled = run.retriesSince(run.fleet.timers.now() - BOUNDS.windowMs);
  t.true(settled >= BOUNDS.slack / 2, `${settled} retries once all know each other`);
});

// Guards against parts of a fleet that have never met spending the whole fixed number each.
test('parts of a fleet that never met spend no more than the fixed number together', async (t) => {
  const run = new RetryingFleet(BOUNDS);
  const { fleet } = run;
  const names = Array.from({ length: 30 }, (_, index) => fleet.addressOf(index));
  const parts = Array.from({ length: SEEDS }, (_, part) => names.filter((_name, at) => at % SEEDS === part));
  for (const left of parts)
    for (const right of parts) if (left !== right) fleet.network.partition(left, right);
  await run.startStaggered(names.length, 1000);
  await run.run(SETTLED_MS);
  t.log(run.mostRetries());
  t.true(run.mostRetries() <= BOUNDS.slack, `${run.mostRetries()} retries, allowed ${BOUNDS.slack}`);
});

// Guards against a daemon that discovers the others late and divides by the members that it met first.
test('daemons that discover each other late spend no more than the fixed number in any window', async (t) => {
  const run = new RetryingFleet(BOUNDS);
  const { fleet } = run;
  for (let index = 0; index < 24; index += 1) fleet.network.slow(fleet.addressOf(index), 250);
  await run.startStaggered(24, 3000);
  await run.run(SETTLED_MS);
  t.log(run.mostRetries());
  t.true(run.mostRetries() <= BOUNDS.slack, `${run.mostRetries()} retries, allowed ${BOUNDS.slack}`);
});

const RANDOM_DAEMONS = 9;
/** Number of random runs and their first seed; set the variables to run more than in CI. */
const RUNS = Number(process.env.CELERYYOKE_SOAK_PLAYS ?? 25);
const SEED = Number(process.env.CELERYYOKE_SOAK_SEED ?? 1);

/** What a step of a random run does to a daemon. */
const STEPS = {
  kill: ({ fleet }, target) => {
    if (fleet.daemons.has(fleet.addressOf(target)) && !fleet.daemon(target).isStopped)
      fleet.daemon(target).kill();
  },
  start: async (run, target) => {
    const { fleet } = run;
    const known = fleet.daemons.get(fleet.addressOf(target));
    if (known !== undefined && !known.isStopped) return;
    Object.assign(run, { isFirstStart: known === undefined });
    await fleet.start(target);
  },
  freeze: ({ fleet }, target) => fleet.network.freeze(fleet.addressOf(target)),
  thaw: ({ fleet }, target) => fleet.network.thaw(fleet.addressOf(target)),
  slow: ({ fleet }, target, other) => fleet.network.slow(fleet.addressOf(target), other * 150),
  cut: ({ fleet }, target, other) => fleet.network.cut(fleet.addressOf(target), fleet.addressOf(other)),
  split: ({ fleet }, target) => {
    const names = Array.from({ length: RANDOM_DAEMONS }, (_, index) => fleet.addressOf(index));
    fleet.network.partition(names.slice(0, target), names.slice(target));
  },
  heal: ({ fleet }) => fleet.network.heal(),
} satisfies Record<string, (run: RetryingFleet, target: number, other: number) => unknown>;

// Guards against any other case in which the parts of all daemons add up to more than the fixed number.
test('the fixed number is spent once if daemons start, stop, freeze, lag or are cut off', async (t) => {
  const step = fc.record({
    kind: fc.constantFrom(...(Object.keys(STEPS) as (keyof typeof STEPS)[])),
    target: fc.nat(RANDOM_DAEMONS - 1),
    other: fc.nat(RANDOM_DAEMONS - 1),
    waitMs: fc.integer({ min: 0, max: 4000 }),
  });
  const startsFirst = fc.integer({ min: 1, max: RANDOM_DAEMONS });
  await fc.assert(
    fc.asyncProperty(startsFirst, fc.array(step, { maxLength: 16 }), async (count, steps) => {
      const run = new RetryingFleet(BOUNDS);
      await run.startStaggered(count, 100);
      for (const { kind, target, other, waitMs } of steps) {
        await STEPS[kind](run, target, other);
        await run.run(waitMs);
      }
      await run.run(BOUNDS.windowMs);
      return run.mostRetries() <= BOUNDS.slack;
    }),
    { numRuns: RUNS, seed: SEED },
  );
  t.pass();
});
