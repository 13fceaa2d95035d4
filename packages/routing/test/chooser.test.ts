/** Choice of a replica: full engines get no more requests, and the last slots are kept for urgent ones. */
import { createManualTimers } from '@celeryyoke/core';
import type { Choice, Need } from '@celeryyoke/routing';
import {
  Chooser,
  maxInFlightFor,
  ReplicaRegistry,
  ResidencyTable,
  InFlightTable,
  RecordKind,
  ReplicatedStore,
  ReplicaHealth,
} from '@celeryyoke/routing';
import test from 'ava';

import { createAvailability, engineEntry, MODEL } from './fakes.js';

const SLOTS = 8;
/** Time until replicas that are not established are. */
const ESTABLISHED_IN_MS = 700;

function setUp() {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  const registry = new ReplicaRegistry(view, createAvailability(timers), timers);
  const changes = ['e1', 'e2'].map((id, index) => ({
    key: id,
    revision: index + 1,
    record: { kind: RecordKind.Replica as const, replica: engineEntry(id) },
  }));
  view.apply({ from: 0, upTo: 2, isWhole: true, changes });
  const inFlightTable = new InFlightTable(timers);
  const draws: number[] = [];
  const limited = new Set<string>();
  const unestablished = new Set<string>();
  const health = new ReplicaHealth(timers);
  const chooser = new Chooser({
    registry,
    residency: new ResidencyTable(registry),
    inFlight: inFlightTable,
    health,
    mayReceive: (replica) => !limited.has(replica),
    backoffMs: () => 0,
    establishedReplicas: (_service, replicas) => replicas.filter(({ id }) => !unestablished.has(id)),
    establishedInMs: ({ id }) => (unestablished.has(id) ? ESTABLISHED_IN_MS : 0),
    zone: 'a',
    now: timers.now,
    random: () => draws.shift() ?? 0,
  });
  const fill = (replica: string, count: number): void => {
    for (let index = 0; index < count; index += 1) inFlightTable.begin(replica, undefined);
  };
  const chooseReplica = (options: Partial<Need> = {}): Choice | undefined =>
    chooser.choose({
      service: 'engines',
      model: MODEL,
      adapter: undefined,
      softwareVersion: undefined,
      beginsResumable: false,
      tried: new Set(),
      unreached: new Set(),
      cannotLoad: new Set(),
      rank: 0,
      isUnderWay: false,
      rankForSuspect: undefined,
      ...options,
    });
  const choose = (options: Partial<Need> = {}): string | undefined => chooseReplica(options)?.replica.id;
  return { fill, choose, chooseReplica, chooser, view, draws, limited, unestablished, health, timers };
}

test('an engine whose slots are all in use gets no further request', (t) => {
  const { fill, choose } = setUp();
  fill('e1', SLOTS);
  t.is(choose(), 'e2');
  fill('e2', SLOTS);
  t.is(choose(), undefined);
});

test('a stream that already ran elsewhere goes to a full engine', (t) => {
  const { fill, choose } = setUp();
  fill('e1', SLOTS);
  fill('e2', SLOTS + 1);
  t.is(choose({ isUnderWay: true }), 'e1');
});

// Guards against slots that are kept from requests by anything but the configured priority.
test('the last slots are kept for the most urgent requests, and each of these gets them', (t) => {
  const { fill, choose } = setUp();
  fill('e1', SLOTS);
  fill('e2', SLOTS - 1);
  t.is(choose(), 'e2');
  const slots = 64;
  t.is(maxInFlightFor(slots, { rank: 0, isUnderWay: false }), slots);
  t.true(maxInFlightFor(slots, { rank: 9, isUnderWay: false }) < slots);
});

// Guards against retries that lie at stopped replicas and arrive together when these go on.
test('a retry goes to a replica that it was sent to before rather than to a silent one', async (t) => {
  const { choose, health, timers } = setUp();
  t.is(choose({ tried: new Set(['e1']) }), 'e2');
  health.recordSent('e2');
  await timers.advance(1000);
  t.is(choose({ tried: new Set(['e1']) }), 'e1');
  health.recordSent('e1');
  await timers.advance(1000);
  t.is(choose({ tried: new Set(['e1']) }), 'e2');
});

test('a replica that was removed while a request waited accepts none any more', (t) => {
  const { chooser, view } = setUp();
  t.true(chooser.acceptsRequests(engineEntry('e1')));
  view.apply({
    from: 2,
    upTo: 3,
    isWhole: false,
    changes: [{ key: 'e1', revision: 3, record: undefined }],
  });
  t.false(chooser.acceptsRequests(engineEntry('e1')));
  t.true(chooser.acceptsRequests(engineEntry('e2')));
});

test('daemons that know only their own requests spread over equal replicas of a plain service', (t) => {
  const { choose, draws, fill } = setUp();
  const need = { model: undefined };
  draws.push(0.9, 0.1);
  t.is(choose(need), 'e2');
  draws.push(0.1, 0.9);
  t.is(choose(need), 'e1');
  // The random cost does not outweigh slots that are all in use by this daemon's requests.
  fill('e1', SLOTS);
  draws.push(0, 1);
  t.is(choose(need), 'e2');
});

test('a replica at its declared limit is not chosen, even as the only one', (t) => {
  const { choose, limited } = setUp();
  limited.add('e1');
  t.is(choose(), 'e2');
  limited.add('e2');
  t.is(choose(), undefined);
});

// Guards against a stream that goes on at a replica of another software version.
test('a stream that goes on at one software version gets no replica of another one', (t) => {
  const { choose, chooser, view } = setUp();
  const replica = { ...engineEntry('e3'), softwareVersion: 'v2' };
  const changes = [
    { key: 'e2', revision: 3, record: undefined },
    { key: 'e3', revision: 3, record: { kind: RecordKind.Replica as const, replica } },
  ];
  view.apply({ from: 2, upTo: 3, isWhole: false, changes });
  t.is(choose({ softwareVersion: 'v1' }), 'e1');
  t.is(choose({ softwareVersion: 'v2' }), 'e3');
  t.is(choose({ softwareVersion: 'v3' }), undefined);
  t.is(choose({ softwareVersion: 'v2', tried: new Set(['e3']) }), 'e3');
  t.true(chooser.hasVersion('engines', 'v2'));
  t.false(chooser.hasVersion('engines', 'v3'));
});

test('a stream that may be resumed begins at a replica that is not established only if there is no other', (t) => {
  const { choose, unestablished } = setUp();
  unestablished.add('e1');
  t.is(choose({ beginsResumable: true }), 'e2');
  t.is(choose({ beginsResumable: false }), 'e1');
  unestablished.add('e2');
  t.is(choose({ beginsResumable: true }), 'e1');
});

// Guards against streams that are refused for lack of a slot while a replica of a new version has free ones.
test('a stream that may be resumed is given a replica that is not established if the others are full', (t) => {
  const { choose, fill, unestablished } = setUp();
  unestablished.add('e1');
  fill('e2', SLOTS);
  t.is(choose({ beginsResumable: true }), 'e1');
});

// Guards against a stream that begins at a version that other daemons do not know yet.
test('a replica that is not established opens to a stream that may be resumed when it is, to others now', (t) => {
  const { chooseReplica, fill, unestablished } = setUp();
  unestablished.add('e1');
  t.is(chooseReplica({ beginsResumable: true })?.opensInMs, undefined);
  fill('e2', SLOTS);
  t.is(chooseReplica({ beginsResumable: true })?.opensInMs, ESTABLISHED_IN_MS);
  t.is(chooseReplica()?.opensInMs, undefined);
  unestablished.add('e2');
  t.is(chooseReplica({ beginsResumable: true })?.opensInMs, undefined);
});
