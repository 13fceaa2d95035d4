/** Ejection of replicas that have ended, as all daemons are told. */
import { createManualTimers } from '@celeryyoke/core';
import { ReplicaHealth } from '@celeryyoke/routing';
import test from 'ava';

import { SuspectFleet } from './suspect-fleet.js';

/** Time for which the entry of a replica may be listed after its end, in milliseconds. */
const LISTED_MS = 3000;
const REPORTED_WITHIN_MS = 100;

/** Starts a fleet whose daemons each keep the health of replicas. */
function startFleet(): { fleet: SuspectFleet; healths: ReplicaHealth[] } {
  const fleet = new SuspectFleet(3);
  const healths = fleet.registries.map((registry) => {
    const health = new ReplicaHealth(fleet.timers);
    registry.onEnded((replica, at) => health.recordEnd(replica, at));
    registry.onRefuted((replica) => health.recordReturn(replica));
    return health;
  });
  return { fleet, healths };
}

// Guards against daemons that each send requests to a replica that a peer has found ended, as it seems idle.
test('a replica that a peer has found ended is ejected at all daemons until its entry is removed', async (t) => {
  const { fleet, healths } = startFleet();
  await fleet.crash(0, 'e1', 'a');
  await fleet.timers.advance(REPORTED_WITHIN_MS);
  t.deepEqual(
    healths.map((health) => health.isEjected('e1')),
    [true, true, true],
  );
  await fleet.timers.advance(LISTED_MS);
  t.deepEqual(
    healths.map((health) => health.isEjected('e1')),
    [false, false, false],
  );
});

// Guards against a replica that gets no requests because one daemon had lost its links.
test('a replica whose end is refuted is not ejected any longer', async (t) => {
  const { fleet, healths } = startFleet();
  await fleet.crash(0, 'e1', 'a');
  await fleet.timers.advance(500);
  fleet.registries[1]!.recordResponse('e1');
  await fleet.timers.advance(REPORTED_WITHIN_MS);
  t.deepEqual(
    healths.map((health) => health.isEjected('e1')),
    [false, false, false],
  );
});

// Guards against what a daemon is told late: an end of long ago says nothing of a replica that is listed now.
test('an end that became known late ejects a replica only for the rest of the time', async (t) => {
  const timers = createManualTimers();
  await timers.advance(10_000);
  const health = new ReplicaHealth(timers);
  health.recordEnd('e1', timers.now() - LISTED_MS);
  t.false(health.isEjected('e1'));
  health.recordEnd('e2', timers.now() - LISTED_MS + 200);
  t.true(health.isEjected('e2'));
  await timers.advance(300);
  t.false(health.isEjected('e2'));
});
