/** What replicas declare of themselves, on whatever path, decides each exchange at the moment it is sent. */
import { createManualTimers } from '@celeryyoke/core';
import type { Change, EngineControl } from '@celeryyoke/routing';
import {
  AvailabilityState,
  DeclarationSource,
  ExchangePurpose,
  observeReports,
  RecordKind,
  ReplicaRegistry,
  ReplicaState,
  ReplicatedStore,
} from '@celeryyoke/routing';
import test from 'ava';

import { createAvailability, engineEntry, FakeEngine } from './fakes.js';

const SERVICE = 'engines';
const GRACE_MS = 1500;
const REPLICA_PURPOSES = Object.values(ExchangePurpose).filter(
  (purpose) => purpose !== ExchangePurpose.StoreRead,
);

function setUp() {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  const availability = createAvailability(timers);
  const registry = new ReplicaRegistry(view, availability, timers);
  const notices: string[] = [];
  registry.onReplica((id, entry) => notices.push(`${id} ${entry?.state ?? 'gone'}`));
  let revision = 1;
  const write = (id: string, state?: ReplicaState): void => {
    revision += 1;
    const record = { kind: RecordKind.Replica as const, replica: { ...engineEntry(id), state: state! } };
    const change: Change = { key: id, revision, record: state === undefined ? undefined : record };
    view.apply({ from: revision - 1, upTo: revision, isWhole: false, changes: [change] });
  };
  view.apply({ from: 0, upTo: 1, isWhole: true, changes: [] });
  write('e1', ReplicaState.Ready);
  write('e2', ReplicaState.Ready);
  const ready = (): string[] => registry.readyReplicas(SERVICE).map(({ id }) => id);
  const accepted = (id: string): ExchangePurpose[] =>
    REPLICA_PURPOSES.filter((purpose) => availability.accepts(id, purpose));
  return { timers, availability, registry, notices, write, ready, accepted };
}

const LEAVING = { isLeaving: true, retryAfterMs: 0 };

// Guards against a silent store: the entry of a leaving replica says ready for as long as the store answers nobody.
test('a replica that says in a response that it leaves is not chosen, whatever its entry says', (t) => {
  const { availability, write, ready, notices } = setUp();
  notices.length = 0;
  availability.recordDeclaration('e1', LEAVING);
  t.deepEqual(ready(), ['e2']);
  write('e1', ReplicaState.Ready);
  t.deepEqual(ready(), ['e2']);
  write('e1', undefined);
  write('e1', ReplicaState.Ready);
  t.deepEqual(ready(), ['e2']);
  t.deepEqual(notices, ['e1 leaving', 'e1 leaving', 'e1 gone', 'e1 leaving']);
});

// Guards against a belief that depends on the path by which it came.
test('an entry, a report, a response and a peer lead to the same state', async (t) => {
  const paths: Readonly<Record<DeclarationSource, (site: ReturnType<typeof setUp>) => Promise<void> | void>> =
    {
      [DeclarationSource.Entry]: ({ write }) => write('e1', ReplicaState.Leaving),
      [DeclarationSource.Response]: ({ availability }) => availability.recordDeclaration('e1', LEAVING),
      [DeclarationSource.Peer]: ({ availability, timers }) => {
        availability.recordLeaving('e1', DeclarationSource.Peer, timers.now());
      },
      [DeclarationSource.Report]: async ({ availability, timers }) => {
        const engine = new FakeEngine(timers, 1);
        engine.staleReport = { ...engine.currentReport(), isLeaving: true };
        const control: EngineControl = observeReports(engine, (replica) =>
          availability.recordLeaving(replica, DeclarationSource.Report),
        );
        await control.connect(engineEntry('e1'), () => undefined).report();
      },
    };
  for (const [source, declare] of Object.entries(paths)) {
    const site = setUp();
    await declare(site);
    t.is(site.availability.availabilityOf('e1').state, AvailabilityState.Leaving, source);
    t.is(site.registry.replica('e1')?.state, ReplicaState.Leaving, source);
    t.is(site.notices.at(-1), 'e1 leaving', source);
    await site.timers.advance(GRACE_MS);
    t.deepEqual(site.accepted('e1'), [ExchangePurpose.Report, ExchangePurpose.RunCopy], source);
    t.deepEqual(site.accepted('e2'), REPLICA_PURPOSES, source);
  }
});

test('a leaving replica gets requests for a short time if its service has no other, but no orders', async (t) => {
  const { timers, availability, ready, accepted } = setUp();
  availability.recordDeclaration('e1', LEAVING);
  availability.recordDeclaration('e2', LEAVING);
  t.deepEqual(ready().sort(), ['e1', 'e2']);
  t.false(accepted('e1').includes(ExchangePurpose.Order));
  await timers.advance(GRACE_MS - 1);
  t.true(accepted('e1').includes(ExchangePurpose.Request));
  t.true(accepted('e1').includes(ExchangePurpose.Continuation));
  // Saying it again does not begin that time anew.
  availability.recordDeclaration('e1', LEAVING);
  await timers.advance(1);
  t.deepEqual(ready(), []);
  t.false(accepted('e1').includes(ExchangePurpose.Request));
  t.false(accepted('e1').includes(ExchangePurpose.Continuation));
});

// Guards against a grace time that begins anew with each daemon that passes the declaration on.
test('a declaration keeps its date when another daemon passes it on', async (t) => {
  const { timers, availability, accepted } = setUp();
  await timers.advance(GRACE_MS);
  t.true(availability.recordLeaving('e1', DeclarationSource.Peer, timers.now() - GRACE_MS));
  t.false(accepted('e1').includes(ExchangePurpose.Request));
  t.false(availability.recordLeaving('e1', DeclarationSource.Response));
  t.deepEqual(
    availability.leavingReplicas().map(({ since }) => since),
    [timers.now() - GRACE_MS],
  );
});

test('a replica whose entry expired and is back is chosen again', async (t) => {
  const { timers, write, ready, accepted } = setUp();
  write('e1', undefined);
  t.deepEqual(ready(), ['e2']);
  await timers.advance(GRACE_MS);
  t.false(accepted('e1').includes(ExchangePurpose.Request));
  write('e1', ReplicaState.Ready);
  t.deepEqual(ready().sort(), ['e1', 'e2']);
  t.deepEqual(accepted('e1'), REPLICA_PURPOSES);
});

// Guards against any sender, of whatever kind, that a replica in a backoff still hears from.
test('a replica that asks for a backoff gets nothing of any kind until it is over', async (t) => {
  const { timers, availability, accepted } = setUp();
  availability.recordDeclaration('e1', { isLeaving: false, retryAfterMs: 3000 });
  t.deepEqual(accepted('e1'), []);
  t.deepEqual(accepted('e2'), REPLICA_PURPOSES);
  await timers.advance(1000);
  t.is(availability.backoffMs('e1'), 2000);
  // Neither a shorter backoff nor a response without one ends it sooner.
  availability.recordDeclaration('e1', { isLeaving: false, retryAfterMs: 500 });
  availability.recordDeclaration('e1', { isLeaving: false, retryAfterMs: 0 });
  await timers.advance(1999);
  t.deepEqual(accepted('e1'), []);
  await timers.advance(1);
  t.deepEqual(accepted('e1'), REPLICA_PURPOSES);
  t.is(availability.backoffMs('e1'), 0);
});

test('a backoff holds for a replica that leaves too', (t) => {
  const { availability, accepted } = setUp();
  availability.recordDeclaration('e1', { isLeaving: true, retryAfterMs: 3000 });
  t.deepEqual(accepted('e1'), []);
  t.is(availability.availabilityOf('e1').state, AvailabilityState.Leaving);
});

// Guards against a belief about an incarnation that nobody asks for: entries may leave out the start of a replica.
test('a report counts for the incarnation that it comes from', async (t) => {
  const timers = createManualTimers();
  const engine = new FakeEngine(timers, 1);
  const leaving: string[] = [];
  const control = observeReports<EngineControl>(engine, (replica) => leaving.push(replica));
  engine.staleReport = { ...engine.currentReport(), isLeaving: true, bornAt: 2000 };
  const listed = engineEntry('e1');
  await control.report(listed);
  await control.report({ ...listed, id: 'e1#2000', bornAt: 2000 });
  await control.report({ ...listed, id: 'e1#1000', bornAt: 1000 });
  t.deepEqual(leaving, ['e1', 'e1#2000', 'e1#2000']);
});
