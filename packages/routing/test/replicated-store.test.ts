/**
 * Tests that the view merges changes by revision and never reverts, and that the registry indexes it by
 * incarnation.
 */
import { createManualTimers } from '@celeryyoke/core';
import type { Change, Delta, EpochStart } from '@celeryyoke/routing';
import { ReplicaRegistry, RecordKind, replicaId, ReplicaState, ReplicatedStore } from '@celeryyoke/routing';
import test from 'ava';

import { createAvailability, engineEntry, sampleDocument } from './fakes.js';

function replica(id: string, revision: number, state = ReplicaState.Ready): Change {
  return {
    key: `r/${id}`,
    revision,
    record: { kind: RecordKind.Replica, replica: { ...engineEntry(id), state } },
  };
}

function whole(upTo: number, ...changes: Change[]): Delta {
  return { from: 0, upTo, isWhole: true, changes };
}

function delta(from: number, upTo: number, ...changes: Change[]): Delta {
  return { from, upTo, isWhole: false, changes };
}

test('a delta that starts after the known revision is refused until a full delta was applied', (t) => {
  const view = new ReplicatedStore(createManualTimers());
  t.false(view.apply(delta(3, 5)));
  t.true(view.apply(whole(5, replica('a', 4))));
  t.false(view.apply(delta(7, 9)));
  t.true(view.apply(delta(4, 6, replica('b', 6))));
  t.is(view.upTo, 6);
});

test('an older delta has no effect, full or not', (t) => {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  const registry = new ReplicaRegistry(view, createAvailability(timers), timers);
  view.apply(whole(9, replica('a', 8, ReplicaState.Leaving)));
  view.apply(whole(5, replica('a', 4)));
  view.apply(delta(3, 5, replica('a', 4)));
  t.is(registry.replica('a')?.state, ReplicaState.Leaving);
  t.is(view.upTo, 9);
});

test('records missing from a newer full delta are removed', (t) => {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  const registry = new ReplicaRegistry(view, createAvailability(timers), timers);
  view.apply(whole(5, replica('a', 2), replica('b', 3)));
  view.apply(whole(8, replica('b', 3)));
  t.is(registry.replica('a'), undefined);
  t.not(registry.replica('b'), undefined);
});

test('a lagging copy gets the changes it lacks, and a full delta if it lags too far', (t) => {
  const view = new ReplicatedStore(createManualTimers());
  view.apply(whole(5, replica('a', 5)));
  view.apply(delta(5, 6, replica('b', 6)));
  const { isWhole, changes } = view.deltaSince(5);
  t.false(isWhole);
  t.deepEqual(
    changes.map(({ revision }) => revision),
    [6],
  );
  t.true(view.deltaSince(2).isWhole);
});

test('a confirmation counts only up to the revision of the view', (t) => {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  view.apply(whole(5));
  view.confirmUpToDate(6, 0);
  t.is(view.ageMs, Number.POSITIVE_INFINITY);
  view.confirmUpToDate(5, 40);
  t.is(view.ageMs, 40);
});

test('the configuration in force never reverts to an older version', (t) => {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  const registry = new ReplicaRegistry(view, createAvailability(timers), timers);
  const document = (version: number, revision: number): Change => ({
    key: 'config',
    revision,
    record: { kind: RecordKind.Document, document: sampleDocument(version) },
  });
  view.apply(whole(5, document(7, 5)));
  view.apply(delta(5, 6, document(3, 6)));
  t.is(registry.table?.document.version, 7);
});

test('a replica that left may be chosen briefly, and only if its service has no other', async (t) => {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  const registry = new ReplicaRegistry(view, createAvailability(timers), timers);
  view.apply(whole(5, replica('a', 2), replica('b', 3)));
  view.apply(delta(5, 6, { key: 'r/a', revision: 6, record: undefined }));
  t.deepEqual(
    registry.readyReplicas('engines').map(({ id }) => id),
    ['b'],
  );
  view.apply(delta(6, 7, replica('b', 7, ReplicaState.Leaving)));
  t.deepEqual(
    registry
      .readyReplicas('engines')
      .map(({ id }) => id)
      .sort(),
    ['a', 'b'],
  );
  await timers.advance(1600);
  t.deepEqual(registry.readyReplicas('engines'), []);
});

/** A change with the entry of one incarnation of a replica. */
function replicaWithStart(name: string, bornAt: number | undefined, revision: number): Change {
  const entry = { ...engineEntry(name), id: replicaId(name, bornAt), bornAt };
  return { key: `r/${name}`, revision, record: { kind: RecordKind.Replica, replica: entry } };
}

function setUpRegistry() {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  const registry = new ReplicaRegistry(view, createAvailability(timers), timers);
  const events: string[] = [];
  registry.onReplica((id, entry) => events.push(entry === undefined ? `${id} gone` : id));
  const ids = () => [...registry.all()].map(({ id }) => id);
  return { view, registry, events, ids };
}

test('a replica that restarts under its name is a new one, and the earlier one is removed', (t) => {
  const { view, events, ids } = setUpRegistry();
  view.apply(whole(5, replicaWithStart('a', 1000, 2)));
  view.apply(delta(5, 6, replicaWithStart('a', 2000, 6)));
  t.deepEqual(ids(), ['a#2000']);
  t.deepEqual(events, ['a#1000', 'a#1000 gone', 'a#2000']);
});

test('an entry of an earlier incarnation never replaces a later one, even after its removal', (t) => {
  const { view, ids } = setUpRegistry();
  view.apply(whole(5, replicaWithStart('a', 2000, 2)));
  view.apply(delta(5, 6, replicaWithStart('a', 1000, 6)));
  t.deepEqual(ids(), ['a#2000']);
  view.apply(delta(6, 7, { key: 'r/a', revision: 7, record: undefined }));
  view.apply(delta(7, 8, replicaWithStart('a', 1000, 8)));
  t.deepEqual(ids(), []);
  view.apply(delta(8, 9, replicaWithStart('a', undefined, 9)));
  t.deepEqual(ids(), ['a#2000']);
});

test('a reported start replaces the entry before the store shows it, with no resident models', (t) => {
  const { view, registry, ids } = setUpRegistry();
  view.apply(whole(5, replicaWithStart('a', 1000, 2)));
  t.true(registry.recordStart({ name: 'a', bornAt: 2000 }));
  t.deepEqual(ids(), ['a#2000']);
  t.deepEqual(registry.replica('a#2000')?.models, []);
  t.is(registry.replica('a#2000')?.softwareVersion, undefined);
  view.apply(delta(5, 6, replicaWithStart('a', 1000, 6)));
  t.deepEqual(ids(), ['a#2000']);
  t.false(registry.recordStart({ name: 'a', bornAt: 1500 }));
});

function atVersion(softwareVersion: string | undefined, bornAt: number, revision: number): Change {
  const entry = { ...engineEntry('a'), id: replicaId('a', bornAt), bornAt, softwareVersion };
  return { key: 'r/a', revision, record: { kind: RecordKind.Replica, replica: entry } };
}

// Guards against streams of two versions at a replica whose entry names another version than it has.
test('the software version of an incarnation that its entries contradict is not known', (t) => {
  const { view, registry } = setUpRegistry();
  const listed = () => [...registry.all()].map((entry) => entry.softwareVersion);
  view.apply(whole(5, atVersion(undefined, 1000, 2)));
  view.apply(delta(5, 6, atVersion('v1', 1000, 6)));
  t.deepEqual(listed(), ['v1']);
  view.apply(delta(6, 7, atVersion('v2', 1000, 7)));
  t.deepEqual(listed(), [undefined]);
  view.apply(delta(7, 8, atVersion('v2', 1000, 8)));
  t.deepEqual(listed(), [undefined]);
  view.apply(delta(8, 9, atVersion('v2', 2000, 9)));
  t.deepEqual(listed(), ['v2']);
});

// Guards against a version that is trusted again after the store has dropped the entry that it contradicts.
test('the software version of an incarnation that is listed again with another one is not known', (t) => {
  const { view, registry } = setUpRegistry();
  const listed = () => [...registry.all()].map((entry) => entry.softwareVersion);
  view.apply(whole(5, atVersion('v1', 1000, 2)));
  view.apply(delta(5, 6, { key: 'r/a', revision: 6, record: undefined }));
  view.apply(delta(6, 7, atVersion('v1', 1000, 7)));
  t.deepEqual(listed(), ['v1']);
  view.apply(delta(7, 8, { key: 'r/a', revision: 8, record: undefined }));
  view.apply(delta(8, 9, atVersion('v2', 1000, 9)));
  t.deepEqual(listed(), [undefined]);
  view.apply(delta(9, 10, { key: 'r/a', revision: 10, record: undefined }));
  view.apply(delta(10, 11, atVersion('v2', 1000, 11)));
  t.deepEqual(listed(), [undefined]);
  view.apply(delta(11, 12, atVersion('v2', 2000, 12)));
  t.deepEqual(listed(), ['v2']);
});

test('a change of resident adapters alone is not published, and is contained in a full delta', (t) => {
  const view = new ReplicatedStore(createManualTimers());
  const withAdapters = (revision: number, ...names: string[]): Change => {
    const adapters = names.map((name) => ({ name, version: 1 }));
    const models = [{ name: 'base', version: 1, adapters }];
    return {
      key: 'r/a',
      revision,
      record: { kind: RecordKind.Replica, replica: engineEntry('a', models) },
    };
  };
  view.apply(whole(5, withAdapters(2)));
  view.apply(delta(5, 6, withAdapters(6, 'a1')));
  view.apply(delta(6, 7, replica('a', 7, ReplicaState.Leaving)));
  t.deepEqual(
    view.deltaSince(5).changes.map(({ revision }) => revision),
    [7],
  );
  t.is(view.deltaSince(5).upTo, 7);
  view.apply(delta(7, 8, withAdapters(8, 'a1')));
  view.apply(delta(8, 9, withAdapters(9, 'a1', 'a2')));
  t.deepEqual(view.deltaSince(8).changes, []);
  const [entry] = view.deltaSince(0).changes;
  t.is(entry?.revision, 9);
});

/** Returns a delta of a later epoch of the store. */
function inEpoch(epoch: number, plain: Delta): Delta {
  return { ...plain, epoch };
}

function configuration(version: number, revision: number): Change {
  const record = { kind: RecordKind.Document as const, document: sampleDocument(version) };
  return { key: 'config', revision, record };
}

function declaredVersion(version: number, revision: number): Change {
  const record = {
    kind: RecordKind.AdapterVersion as const,
    declared: { model: 'base', adapter: 'a1', version },
  };
  return { key: 'v/a1', revision, record };
}

// Guards against lower revisions of a later epoch counting as old, and against those of an earlier one counting as new.
test('a later epoch replaces an earlier one, whatever the revisions', (t) => {
  const view = new ReplicatedStore(createManualTimers());
  const starts: EpochStart[] = [];
  view.onEpoch((start) => starts.push(start));
  view.apply(whole(50, replica('a', 40)));
  t.false(view.apply(inEpoch(2, delta(50, 51, replica('b', 51)))));
  t.true(view.apply(inEpoch(2, whole(30, replica('a', 12), replica('b', 30)))));
  t.deepEqual(view.position, { epoch: 2, revision: 30 });
  t.true(view.apply(delta(50, 60, replica('c', 60))));
  t.deepEqual(view.position, { epoch: 2, revision: 30 });
  t.false(view.deltaSince(0).changes.some(({ key }) => key === 'r/c'));
  t.deepEqual(starts, [{ before: { epoch: 0, revision: 50 }, epoch: 2 }]);
  t.true(view.deltaSince(45, 1).isWhole);
});

// Guards against a view that counts as up to date because the other epoch had nothing newer.
test('a confirmation counts only for the epoch that it was made in', (t) => {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  view.apply(inEpoch(2, whole(30)));
  view.confirmUpToDate(10, 0, 1);
  t.is(view.ageMs, Number.POSITIVE_INFINITY);
  view.confirmUpToDate(30, 5, 2);
  t.is(view.ageMs, 5);
});

// Guards against a daemon that starts after a drill and gets the older versions of the copy from its peers.
test('versions that the copy lacks stay in force, and are contained in the deltas for peers', (t) => {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  const registry = new ReplicaRegistry(view, createAvailability(timers), timers);
  view.apply(whole(50, configuration(9, 45), declaredVersion(4, 46)));
  view.apply(inEpoch(2, whole(30, configuration(7, 20), declaredVersion(3, 21))));
  t.is(registry.table?.document.version, 9);
  t.is(registry.declaredVersion('base', 'a1')?.version, 4);
  const fresh = new ReplicatedStore(timers);
  const ofFresh = new ReplicaRegistry(fresh, createAvailability(timers), timers);
  fresh.apply(inEpoch(2, whole(30, configuration(7, 20), declaredVersion(3, 21))));
  t.is(ofFresh.table?.document.version, 7);
  t.true(fresh.apply(view.deltaSince(30)));
  t.is(ofFresh.table?.document.version, 9);
  t.is(ofFresh.declaredVersion('base', 'a1')?.version, 4);
  view.apply(inEpoch(2, delta(30, 31, configuration(11, 31))));
  t.is(registry.table?.document.version, 11);
});

// Guards against a peer that has not heard of the drill yet, whose configuration is later than the copy's.
test('versions of an earlier epoch are merged, its replicas are not', (t) => {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  const registry = new ReplicaRegistry(view, createAvailability(timers), timers);
  view.apply(inEpoch(2, whole(30, configuration(7, 20))));
  t.true(view.apply(whole(50, configuration(9, 45), replica('old', 46))));
  t.is(registry.table?.document.version, 9);
  t.is(registry.replica('old'), undefined);
});

// Guards against a revision of an earlier epoch that is sent on as one of the present epoch.
test('a version of an earlier epoch gives way to one that is written again, also at peers', (t) => {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  const fresh = new ReplicatedStore(timers);
  const registries = [view, fresh].map((one) => new ReplicaRegistry(one, createAvailability(timers), timers));
  view.apply(inEpoch(1, whole(10, configuration(5, 9))));
  fresh.apply(inEpoch(2, whole(30, configuration(7, 20))));
  view.apply(inEpoch(2, whole(30, configuration(7, 20))));
  view.apply(inEpoch(1, whole(50, configuration(9, 45))));
  fresh.apply(view.deltaSince(30));
  const record = { kind: RecordKind.Document as const, document: sampleDocument(9, 4321) };
  for (const one of [view, fresh])
    one.apply(inEpoch(2, delta(30, 31, { key: 'config', revision: 31, record })));
  for (const { table } of registries) t.deepEqual(table?.document, record.document);
});

// Guards against a replica that was removed before a drill and is ready again as the copy still lists it.
test('a replica that was removed before the epoch is held back, and listed if it stays in the store', async (t) => {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  const registry = new ReplicaRegistry(view, createAvailability(timers), timers);
  const heldBack: string[] = [];
  registry.onHeldBack((id) => heldBack.push(id));
  view.apply(whole(50, replica('a', 40), replica('b', 41), replica('c', 42)));
  view.apply(
    delta(
      50,
      52,
      { key: 'r/a', revision: 51, record: undefined },
      { key: 'r/b', revision: 52, record: undefined },
    ),
  );
  view.apply(inEpoch(2, whole(30, replica('a', 10), replica('b', 11), replica('c', 12))));
  t.deepEqual(
    [...registry.all()].map(({ id }) => id),
    ['c'],
  );
  t.deepEqual(heldBack, ['a', 'b']);
  await timers.advance(4000);
  view.apply(inEpoch(2, delta(30, 31, { key: 'r/a', revision: 31, record: undefined })));
  t.deepEqual(
    [...registry.all()].map(({ id }) => id),
    ['c'],
  );
  await timers.advance(6100);
  t.deepEqual(
    [...registry.all()].map(({ id }) => id),
    ['c', 'b'],
  );
});

// Guards against a replica that has declared that it leaves and is ready in the copy.
test('a replica that was leaving before the epoch stays so', (t) => {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  const registry = new ReplicaRegistry(view, createAvailability(timers), timers);
  view.apply(whole(50, replica('a', 50, ReplicaState.Leaving)));
  view.apply(inEpoch(2, whole(30, replica('a', 10))));
  t.is(registry.replica('a')?.state, ReplicaState.Leaving);
});
