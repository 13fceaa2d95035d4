/** Ends of replicas that daemons report to each other: how long they eject, and when their causes are found. */
import { createManualTimers, createSilentLog, EndCertainty, Suspicion } from '@celeryyoke/core';
import type { SuspectRegistryOptions } from '@celeryyoke/routing';
import {
  AttemptLedger,
  MessageType,
  ReplicaHealth,
  SuspectRegistry,
  SuspectRowKind,
} from '@celeryyoke/routing';
import test from 'ava';

import { named, SuspectFleet } from './suspect-fleet.js';

const CULPRIT = 'culprit';
/** Time after which the reports of an end are complete and its cause was found, in milliseconds. */
const FOUND_WITHIN_MS = 300;
/** Time in which the entry of a replica that has ended is surely removed, in milliseconds. */
const REMOVED_WITHIN_MS = 10_000;

// Guards against a replica that gets requests again while it is listed, as an attempt that was under way has failed.
test('an attempt that fails after the end of its replica was reported does not shorten the ejection', async (t) => {
  const timers = createManualTimers();
  const health = new ReplicaHealth(timers);
  health.recordEnd('e1', timers.now());
  await timers.advance(50);
  health.recordUnreachable('e1');
  await timers.advance(1000);
  t.true(health.isEjected('e1'));
});

// Guards against a request that is sent to a third replica, as its review came before the reports counted as complete.
test('the cause of two ends is found though timers fire up to one millisecond early', async (t) => {
  const fleet = new SuspectFleet(7);
  const { after } = fleet.timers;
  // Timers of Node.js ignore fractions of a millisecond.
  Object.assign(fleet.timers, { after: (ms: number, fire: () => void) => after(Math.trunc(ms), fire) });
  await fleet.timers.advance(0.4);
  await fleet.crash(0, 'e1', CULPRIT);
  await fleet.timers.advance(5);
  await fleet.crash(3, 'e2', CULPRIT);
  await fleet.timers.advance(FOUND_WITHIN_MS);
  t.deepEqual(
    fleet.suspicions(CULPRIT),
    fleet.registries.map(() => Suspicion.Quarantined),
  );
});

// Guards against a replica that gets no requests for long, as one peer states a wrong time of its end.
test('an end that a peer dates in the future ejects a replica no longer than one of now', async (t) => {
  const fleet = new SuspectFleet(2);
  const health = new ReplicaHealth(fleet.timers);
  fleet.registries[1]!.onEnded((replica, at) => health.recordEnd(replica, at));
  fleet.mergeAt(1, {
    kind: SuspectRowKind.Crash,
    replica: 'e1',
    reporter: 'd9',
    at: fleet.timers.now() + 60_000,
    certainty: EndCertainty.Confirmed,
    requests: [{ fingerprint: CULPRIT, shared: [] }],
  });
  t.true(health.isEjected('e1'));
  await fleet.timers.advance(REMOVED_WITHIN_MS);
  t.false(health.isEjected('e1'));
});

// Guards against reports of crashes that are lost, as a peer sent a malformed one before them in the same message.
test('a malformed row of a direct message about suspects costs itself only', (t) => {
  let receive: ((from: undefined, frames: unknown) => unknown) | undefined;
  const timers = createManualTimers();
  const options = {
    self: 'd0',
    cluster: {
      aliveAddresses: () => ['d0'],
      handle: (type: MessageType, handler: typeof receive) => {
        if (type === MessageType.Suspects) receive = handler;
      },
      send: () => undefined,
    },
    tree: { register: () => undefined, publish: () => undefined },
    detector: { hasCrashed: () => Promise.resolve(true), forget: () => undefined },
    attempts: new AttemptLedger(timers),
    timers,
    log: createSilentLog(),
  };
  const registry = new SuspectRegistry(options as unknown as SuspectRegistryOptions);
  const sound = [SuspectRowKind.Crash, 'e1', 0, 'd1', [[CULPRIT]], [[-1, -1]], EndCertainty.Confirmed];
  t.notThrows(() => receive?.(undefined, [null, sound]));
  t.is(
    registry.suspicionOf(() => named(CULPRIT)),
    Suspicion.Suspect,
  );
  registry.stop();
});
