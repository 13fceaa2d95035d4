/** How one response is bound to the version of its stream. */
import type { BeginBounds, ReplicaEntry, StreamBindingDependencies, StreamOrigin } from '@celeryyoke/routing';
import { CallerDeadlines, OriginState, StreamBinding, VersionDoubt } from '@celeryyoke/routing';
import { createManualTimers } from '@celeryyoke/core';
import test from 'ava';

import { engineEntry, log } from '../fakes.js';

const UNKNOWN: StreamOrigin = { state: OriginState.Unknown };
const REMAINING_MS = 10_000;

function setUp(lastEventId: number | undefined, doubt: VersionDoubt | undefined, origin = UNKNOWN) {
  const timers = createManualTimers();
  const state = { doubt, origin, lookUps: 0, replica: undefined as ReplicaEntry | undefined };
  const parts = {
    origins: {
      // A view that is earlier than a take-up leaves no doubt of the streams of this daemon itself.
      doubtOf: (_service: string, bounds?: BeginBounds) =>
        bounds === undefined && state.doubt === VersionDoubt.EarlierView ? undefined : state.doubt,
      onlyVersion: () => (state.doubt === undefined ? 'v1' : undefined),
      lookUp: () => {
        state.lookUps += 1;
        return Promise.resolve({ origin: state.origin, askedCount: 3, answeredCount: 3 });
      },
      begin: () => undefined,
      end: () => undefined,
    },
    registry: { replica: () => state.replica },
    callerDeadlines: new CallerDeadlines(),
    timers,
    log,
    viewAgeMs: () => 0,
  } as unknown as StreamBindingDependencies;
  const binding = new StreamBinding(parts, {
    head: { id: 't', lastEventId, firstAttempt: 's', waitMs: undefined },
    route: { name: 'resume', timeoutMs: REMAINING_MS },
    account: undefined,
    arrivedAt: timers.now(),
    unreadMs: 0,
    service: 'engines',
    fingerprint: () => 'f',
    lastCallMs: () => REMAINING_MS - timers.now(),
  });
  return { binding, state, timers };
}

test('a new stream is bound to the version of its first replica, and to no other after that', (t) => {
  const { binding } = setUp(undefined, VersionDoubt.Several);
  t.is(binding.softwareVersion, undefined);
  t.false(binding.isStuck);
  binding.begin({ ...engineEntry('e1'), softwareVersion: 'v2' });
  binding.begin({ ...engineEntry('e2'), softwareVersion: 'v1' });
  t.is(binding.softwareVersion, 'v2');
});

test('a stream that is resumed is looked up while there is doubt only', async (t) => {
  const certain = setUp(2, undefined);
  await certain.binding.resume();
  t.is(certain.state.lookUps, 0);
  t.is(certain.binding.softwareVersion, 'v1');
  const origin: StreamOrigin = { state: OriginState.Known, softwareVersion: 'v2' };
  const doubtful = setUp(2, VersionDoubt.Several, origin);
  await doubtful.binding.resume();
  t.is(doubtful.state.lookUps, 1);
  t.is(doubtful.binding.softwareVersion, 'v2');
});

// Guards against a stream that was resumed while one version served, and changes it when another one appears.
test('a stream keeps its version when doubt arises after it was resumed', async (t) => {
  const { binding, state } = setUp(2, undefined);
  await binding.resume();
  state.doubt = VersionDoubt.Several;
  t.is(binding.softwareVersion, 'v1');
});

test('a stream that no daemon knows is refused at once while two versions serve', async (t) => {
  const { binding, timers } = setUp(2, VersionDoubt.Several);
  await binding.resume();
  t.is(timers.now(), createManualTimers().now());
  t.true(binding.isStuck);
});

test('a stream that can’t be told from another one is stuck', async (t) => {
  const { binding } = setUp(2, VersionDoubt.Several, { state: OriginState.Ambiguous });
  await binding.resume();
  t.true(binding.isStuck);
});

// Guards against refusals by a host that has started or stood still a moment ago, while one version serves.
for (const doubt of [
  VersionDoubt.Starting,
  VersionDoubt.StaleView,
  VersionDoubt.UnknownVersion,
  VersionDoubt.NewVersion,
])
  test(`a stream waits a moment for a doubt that ends soon (${doubt}), and no longer`, async (t) => {
    const soon = setUp(2, doubt);
    const resumed = soon.binding.resume();
    await soon.timers.advance(300);
    soon.state.doubt = undefined;
    await soon.timers.advance(100);
    await resumed;
    t.is(soon.binding.softwareVersion, 'v1');
    const never = setUp(2, doubt);
    let hasEnded = false;
    void never.binding.resume().then(() => {
      hasEnded = true;
    });
    await never.timers.advance(1200);
    t.true(hasEnded);
    t.true(never.binding.isStuck);
  });

// Guards against a version that has appeared after this daemon last heard of the platform, where one version served.
test('a stream that is resumed waits until the view is confirmed later than that, or is stuck', async (t) => {
  const confirmed = setUp(2, VersionDoubt.EarlierView);
  const resumed = confirmed.binding.resume();
  await confirmed.timers.advance(1400);
  t.is(confirmed.state.lookUps, 0);
  confirmed.state.doubt = undefined;
  await confirmed.timers.advance(100);
  await resumed;
  t.is(confirmed.binding.softwareVersion, 'v1');
  const never = setUp(2, VersionDoubt.EarlierView);
  const ended = never.binding.resume();
  await never.timers.advance(1600);
  await ended;
  t.true(never.binding.isStuck);
});

test('a stream that began at a replica of unknown version has it when its entry is known', (t) => {
  const { binding, state } = setUp(undefined, VersionDoubt.UnknownVersion);
  binding.begin({ ...engineEntry('e1'), softwareVersion: undefined });
  t.true(binding.isStuck);
  state.replica = { ...engineEntry('e1'), softwareVersion: 'v3' };
  t.is(binding.softwareVersion, 'v3');
});

// Guards against take-ups that come before their first host has reported its streams, as a version appears.
test('a stream that a peer reports a moment later goes on', async (t) => {
  const { binding, state, timers } = setUp(2, VersionDoubt.NewVersion);
  const resumed = binding.resume();
  await timers.advance(150);
  state.origin = { state: OriginState.Known, softwareVersion: 'v1' };
  await timers.advance(100);
  await resumed;
  t.is(binding.softwareVersion, 'v1');
});

// Guards against the version of an entry that is older than the process at its address.
test('a replica must prove its version when a stream goes on, or begins while the view is old', async (t) => {
  const replica = engineEntry('e1');
  const begins = (doubt?: VersionDoubt) => setUp(undefined, doubt).binding.versionToProve(replica);
  t.deepEqual(
    [begins(), begins(VersionDoubt.Several), begins(VersionDoubt.StaleView)],
    [undefined, undefined, 'v1'],
  );
  for (const doubt of [undefined, VersionDoubt.Several]) {
    const { binding } = setUp(2, doubt, { state: OriginState.Known, softwareVersion: 'v1' });
    await binding.resume();
    t.is(binding.versionToProve(replica), 'v1');
  }
});

// Guards against a version that is taken from an entry although another start of the replica may have responded.
test('a new stream has no version until it is proved which start of its replica began it', async (t) => {
  const replica = { ...engineEntry('e1'), softwareVersion: 'v1' };
  const proved = setUp(undefined, undefined);
  proved.state.replica = replica;
  proved.binding.begin(replica, Promise.resolve(true));
  t.true(proved.binding.isStuck);
  await Promise.resolve();
  await Promise.resolve();
  t.is(proved.binding.softwareVersion, 'v1');
  const refuted = setUp(undefined, undefined);
  refuted.state.replica = replica;
  refuted.binding.begin(replica, Promise.resolve(false));
  await Promise.resolve();
  await Promise.resolve();
  t.true(refuted.binding.isStuck);
});

test('a peer that relays a new stream proves the version of its replica before anything is passed on', (t) => {
  const { binding } = setUp(undefined, undefined);
  const replica = { ...engineEntry('e1'), softwareVersion: 'v1' };
  t.is(binding.versionToProve(replica), undefined);
  t.is(binding.versionToProve(replica, true), 'v1');
});
