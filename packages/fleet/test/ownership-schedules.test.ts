import test from 'ava';
import fc from 'fast-check';

import { takeOverBoundMs } from '../src/index.js';
import { resourceOwnedInOrder, TEST_TIMES } from './support/owners.js';
import type { Failure } from './support/simulated-fleet.js';
import { FailureKind, SimulatedFleet } from './support/simulated-fleet.js';

const NAMES = ['a', 'b', 'c', 'd'];
const RESOURCE = resourceOwnedInOrder('b', 'a', 'd', 'c');
const STEP_MS = 50;
const SETTLE_MS = takeOverBoundMs(TEST_TIMES) + TEST_TIMES.leaseMs + TEST_TIMES.hostListLagMs + 1_000;

/** Documented bound: a host removed from the list is not added again sooner than this, nor the reverse. */
const MIN_DWELL_MS = TEST_TIMES.hostListLagMs + TEST_TIMES.leaseMs + STEP_MS;

function steps(min: number, max: number): fc.Arbitrary<number> {
  return fc.integer({ min: min / STEP_MS, max: max / STEP_MS }).map((count) => count * STEP_MS);
}

const failureArb: fc.Arbitrary<Failure> = fc.record({
  kind: fc.constantFrom(...Object.values(FailureKind)),
  daemon: fc.nat(NAMES.length - 1),
  atMs: steps(0, 8_000),
  forMs: steps(MIN_DWELL_MS, 6_000),
});

/**
 * Leaves out failures that overlap an earlier one of the same daemon, so that list entries keep
 * `MIN_DWELL_MS`.
 */
function withoutOverlaps(failures: readonly Failure[]): readonly Failure[] {
  const kept: Failure[] = [];
  for (const next of [...failures].sort((left, right) => left.atMs - right.atMs)) {
    const overlaps = kept.some(
      (one) => one.daemon === next.daemon && next.atMs < one.atMs + one.forMs + MIN_DWELL_MS,
    );
    if (!overlaps) kept.push(next);
  }
  return kept;
}

async function runSchedule(failures: readonly Failure[], checksLeases: boolean): Promise<SimulatedFleet> {
  const fleet = new SimulatedFleet(NAMES, { resource: RESOURCE, checksLeases });
  await fleet.run(SETTLE_MS);
  await fleet.run(14_000, failures);
  return fleet;
}

/**
 * Schedules that found faults: a release window that was extended after the release, and a release to a
 * daemon that had departed.
 */
const REGRESSION_SCHEDULES: readonly (readonly Failure[])[] = [
  [
    { kind: FailureKind.Leave, daemon: 1, atMs: 0, forMs: 5_200 },
    { kind: FailureKind.Drop, daemon: 0, atMs: 1_300, forMs: 3_450 },
  ],
  [
    { kind: FailureKind.Leave, daemon: 1, atMs: 0, forMs: 3_200 },
    { kind: FailureKind.Leave, daemon: 0, atMs: 0, forMs: 3_250 },
  ],
];

const schedulesArb = fc.array(failureArb, { minLength: 2, maxLength: 8 }).map(withoutOverlaps);

test('under any schedule at most one daemon sends removals, and authority is regained in time', async (t) => {
  t.timeout(170_000);
  const property = fc.asyncProperty(schedulesArb, async (failures) => {
    const fleet = await runSchedule(failures, true);
    fleet.heal();
    await fleet.run(SETTLE_MS);
    if (fleet.violations.length > 0) throw new Error(fleet.violations[0]);
    if (fleet.daemonsWithFullAuthority().join() !== 'b')
      throw new Error(`full: ${fleet.daemonsWithFullAuthority().join()}`);
  });
  await fc.assert(property, {
    seed: 20_261_202,
    numRuns: 60,
    examples: REGRESSION_SCHEDULES.map((one) => [one]),
  });
  t.pass();
});

test('without lease checks, a pause across a list change lets two daemons remove', async (t) => {
  const pause: Failure = { kind: FailureKind.Pause, daemon: 1, atMs: 500, forMs: 8_000 };
  const drop: Failure = { kind: FailureKind.Drop, daemon: 1, atMs: 1_000, forMs: 12_000 };
  const unchecked = await runSchedule([pause, drop], false);
  t.true(unchecked.violations.length > 0);
  const checked = await runSchedule([pause, drop], true);
  t.deepEqual(checked.violations, []);
});
