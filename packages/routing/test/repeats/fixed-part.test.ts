/** The fixed part of the allowance is used once, whatever each daemon knows of the fleet. */
import test from 'ava';
import fc from 'fast-check';

import { RepeatingFleet, SEEDS } from './fleet.js';

const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 196 };
const DAEMONS = 78;
const SETTLED_MS = 25_000;

// Guards against daemons that divide the fixed part by the few members that they know while the others come up.
test('daemons that come up one after another use no more than the fixed part in any window', async (t) => {
  const play = new RepeatingFleet(BOUNDS);
  await play.startOneAfterAnother(DAEMONS, 20_000);
  await play.play(SETTLED_MS);
  t.log(play.worst());
  t.true(play.worst() <= BOUNDS.slack, `${play.worst()} repeats, allowed ${BOUNDS.slack}`);
  const settled = play.since(play.fleet.timers.now() - BOUNDS.windowMs);
  t.true(settled >= BOUNDS.slack / 2, `${settled} repeats once all know each other`);
});

// Guards against parts of a fleet that have never met and use the whole fixed part each.
test('parts of a fleet that never met use no more than the fixed part together', async (t) => {
  const play = new RepeatingFleet(BOUNDS);
  const { fleet } = play;
  const names = Array.from({ length: 30 }, (_, index) => fleet.name(index));
  const parts = Array.from({ length: SEEDS }, (_, part) => names.filter((_name, at) => at % SEEDS === part));
  for (const left of parts) for (const right of parts) if (left !== right) fleet.network.split(left, right);
  await play.startOneAfterAnother(names.length, 1000);
  await play.play(SETTLED_MS);
  t.log(play.worst());
  t.true(play.worst() <= BOUNDS.slack, `${play.worst()} repeats, allowed ${BOUNDS.slack}`);
});

// Guards against a daemon that is told of the others late and divides by those that it met first.
test('daemons that hear of each other late use no more than the fixed part in any window', async (t) => {
  const play = new RepeatingFleet(BOUNDS);
  const { fleet } = play;
  for (let index = 0; index < 24; index += 1) fleet.network.slow(fleet.name(index), 250);
  await play.startOneAfterAnother(24, 3000);
  await play.play(SETTLED_MS);
  t.log(play.worst());
  t.true(play.worst() <= BOUNDS.slack, `${play.worst()} repeats, allowed ${BOUNDS.slack}`);
});

const RANDOM_DAEMONS = 9;
/** Random plays in CI; more by hand with CELERYYOKE_SOAK_PLAYS, from CELERYYOKE_SOAK_SEED on. */
const PLAYS = Number(process.env.CELERYYOKE_SOAK_PLAYS ?? 25);
const SEED = Number(process.env.CELERYYOKE_SOAK_SEED ?? 1);

/** What a step of a random play does to a daemon. */
const STEPS = {
  kill: ({ fleet }, target) => {
    if (fleet.daemons.has(fleet.name(target)) && !fleet.daemon(target).isStopped) fleet.daemon(target).kill();
  },
  start: async (play, target) => {
    const { fleet } = play;
    const known = fleet.daemons.get(fleet.name(target));
    if (known !== undefined && !known.isStopped) return;
    Object.assign(play, { isFirstStart: known === undefined });
    await fleet.start(target);
  },
  freeze: ({ fleet }, target) => fleet.network.freeze(fleet.name(target)),
  thaw: ({ fleet }, target) => fleet.network.thaw(fleet.name(target)),
  slow: ({ fleet }, target, other) => fleet.network.slow(fleet.name(target), other * 150),
  cut: ({ fleet }, target, other) => fleet.network.cut(fleet.name(target), fleet.name(other)),
  split: ({ fleet }, target) => {
    const names = Array.from({ length: RANDOM_DAEMONS }, (_, index) => fleet.name(index));
    fleet.network.split(names.slice(0, target), names.slice(target));
  },
  heal: ({ fleet }) => fleet.network.heal(),
} satisfies Record<string, (play: RepeatingFleet, target: number, other: number) => unknown>;

// Guards against any other way in which the parts of all daemons add up to more than the fixed part.
test('the fixed part is used once, whatever starts, ends, stops, is slow or cut off', async (t) => {
  const step = fc.record({
    kind: fc.constantFrom(...(Object.keys(STEPS) as (keyof typeof STEPS)[])),
    target: fc.nat(RANDOM_DAEMONS - 1),
    other: fc.nat(RANDOM_DAEMONS - 1),
    waitMs: fc.integer({ min: 0, max: 4000 }),
  });
  const startsFirst = fc.integer({ min: 1, max: RANDOM_DAEMONS });
  await fc.assert(
    fc.asyncProperty(startsFirst, fc.array(step, { maxLength: 16 }), async (count, steps) => {
      const play = new RepeatingFleet(BOUNDS);
      await play.startOneAfterAnother(count, 100);
      for (const { kind, target, other, waitMs } of steps) {
        await STEPS[kind](play, target, other);
        await play.play(waitMs);
      }
      await play.play(BOUNDS.windowMs);
      return play.worst() <= BOUNDS.slack;
    }),
    { numRuns: PLAYS, seed: SEED },
  );
  t.pass();
});
