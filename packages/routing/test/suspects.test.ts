/** Requests that crash replicas: which suspects a fleet finds, where it sends them, and what it refuses. */
import { createManualTimers, ListenerState, Suspicion } from '@celeryyoke/core';
import test from 'ava';

import type { ReplicaEntry, RequestFingerprints } from '../src/index.js';
import { CrashDetector, fingerprintsOf, rankReplicas } from '../src/index.js';
import { createRandom } from './orders/random.js';
import { DIRECT_DELAY_MS, named, SuspectFleet, TREE_DELAY_MS } from './suspect-fleet.js';

const ENGINES = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];
const CULPRIT = 'culprit';
/** Time from the first token of a request that crashes its engine to the crash, in milliseconds. */
const CRASH_AFTER_MS = 60;
const STREAM_MS = 3000;

test('fingerprints are the same for the same account, path and body, and one of them for any query', (t) => {
  const request = {
    account: 'a',
    method: 'POST',
    host: 'h',
    target: '/p?x=1',
    body: Buffer.from('b'),
    shared: [],
  };
  const { exact, anyQuery } = fingerprintsOf(request);
  t.deepEqual(fingerprintsOf({ ...request, body: Buffer.from('b') }), { exact, anyQuery, shared: [] });
  const others = [
    { account: 'd' },
    { method: 'PUT' },
    { host: 'i' },
    { target: '/q?x=1' },
    { body: undefined },
  ];
  for (const other of others) {
    const different = fingerprintsOf({ ...request, ...other });
    t.not(different.exact, exact);
    t.not(different.anyQuery, anyQuery);
  }
  const nextPage = fingerprintsOf({ ...request, target: '/p?x=2' });
  t.not(nextPage.exact, exact);
  t.is(nextPage.anyQuery, anyQuery);
  t.is(fingerprintsOf({ ...request, target: '/p' }).anyQuery, undefined);
});

// Guards against a request that crashes replicas and escapes by another query each time.
test('requests with the same path are refused if replicas crash under each query, and not if one is served', async (t) => {
  const page = (number: number): RequestFingerprints => ({
    exact: `page-${number}`,
    anyQuery: 'any page',
    shared: [],
  });
  const play = async (served: readonly RequestFingerprints[]): Promise<Suspicion> => {
    const fleet = new SuspectFleet(7);
    await fleet.crashUnder(0, 'e1', [page(1)]);
    await fleet.timers.advance(500);
    for (const request of served) fleet.registries[1]!.attemptCompleted(request);
    await fleet.timers.advance(500);
    await fleet.crashUnder(2, 'e2', [page(2)]);
    await fleet.timers.advance(500);
    return fleet.registries[3]!.suspicionOf(() => page(3));
  };
  t.is(await play([]), Suspicion.Quarantined);
  t.is(await play([page(4)]), Suspicion.Suspect);
});

test('a request that crashes replicas is refused as it is, and the same path with another query is not', async (t) => {
  const page = (number: number): RequestFingerprints => ({
    exact: `page-${number}`,
    anyQuery: 'any page',
    shared: [],
  });
  const fleet = new SuspectFleet(7);
  for (const [daemon, replica] of ['e1', 'e2'].entries()) {
    await fleet.crashUnder(daemon, replica, [page(1)]);
    await fleet.timers.advance(500);
  }
  t.is(
    fleet.registries[3]!.suspicionOf(() => page(1)),
    Suspicion.Quarantined,
  );
  t.is(
    fleet.registries[3]!.suspicionOf(() => page(2)),
    Suspicion.Clear,
  );
});

// Guards against a resend that comes to another daemon and is taken for another request.
test('a request that is sent again by one daemon after the other is refused by all after its second crash', async (t) => {
  const fleet = new SuspectFleet(7);
  await fleet.crash(0, 'e1', CULPRIT, 'a');
  await fleet.crash(1, 'e1', 'b');
  await fleet.timers.advance(DIRECT_DELAY_MS);
  t.true(fleet.suspicions(CULPRIT).every((suspicion) => suspicion === Suspicion.Suspect));
  await fleet.timers.advance(500);
  await fleet.crash(3, 'e2', CULPRIT);
  await fleet.crash(4, 'e2', 'c');
  await fleet.timers.advance(DIRECT_DELAY_MS);
  t.true(fleet.suspicions(CULPRIT).every((suspicion) => suspicion === Suspicion.Unresolved));
  await fleet.timers.advance(200);
  t.true(fleet.suspicions(CULPRIT).every((suspicion) => suspicion === Suspicion.Quarantined));
  for (const neighbour of ['a', 'b', 'c'])
    t.true(fleet.suspicions(neighbour).every((suspicion) => suspicion === Suspicion.Clear));
  t.is(
    fleet.join().suspicionOf(() => named(CULPRIT)),
    Suspicion.Quarantined,
  );
});

// Guards against a message from each daemon to each other one for every crash in a large fleet.
test('in a large fleet what daemons report spreads over the tree only', async (t) => {
  const fleet = new SuspectFleet(60);
  await fleet.crash(0, 'e1', CULPRIT);
  await fleet.timers.advance(TREE_DELAY_MS);
  t.is(fleet.directMessages, 0);
  t.true(fleet.suspicions(CULPRIT).every((suspicion) => suspicion === Suspicion.Suspect));
});

// Guards against suspects made by a host that has lost its links to replicas which serve all others.
test('a crash that only a host without links has seen is refuted by the next response of the replica', async (t) => {
  const fleet = new SuspectFleet(7);
  for (const engine of ENGINES) await fleet.crash(0, engine, `request-${engine}`);
  await fleet.timers.advance(400);
  for (const engine of ENGINES) fleet.registries[1]!.recordResponse(engine);
  await fleet.timers.advance(TREE_DELAY_MS);
  for (const engine of ENGINES)
    t.true(fleet.suspicions(`request-${engine}`).every((suspicion) => suspicion === Suspicion.Clear));
});

test('a suspect that ended well at one daemon is cleared at all', async (t) => {
  const fleet = new SuspectFleet(7);
  await fleet.crash(0, 'e1', 'request');
  await fleet.timers.advance(1000);
  fleet.registries[5]!.attemptCompleted(named('request'));
  await fleet.timers.advance(TREE_DELAY_MS);
  t.true(fleet.suspicions('request').every((suspicion) => suspicion === Suspicion.Clear));
});

test('all copies of a suspect rank replicas alike, and different suspects rank them differently', (t) => {
  const first = (fingerprint: string, repeated: readonly string[] = []): string =>
    [...rankReplicas({ fingerprint, repeated, replicas: ENGINES })].find(([, rank]) => rank === 0)![0];
  t.is(first('a'), first('a'));
  const firsts = new Set(Array.from({ length: 40 }, (_, index) => first(`s${index}`)));
  t.is(firsts.size, ENGINES.length);
  const repeated = ['r1', 'r2', 'r3'];
  const reserved = repeated.map((fingerprint) => first(fingerprint, repeated));
  t.is(new Set(reserved).size, repeated.length);
  for (let index = 0; index < 40; index += 1)
    t.false(reserved.includes(first(`s${index}`, repeated)), 'kept away');
});

/** Plays streams on engines through a fleet: each is sent again once when its engine crashes under it. */
async function playStreams(seed: string) {
  const fleet = new SuspectFleet(7);
  const { timers } = fleet;
  const random = createRandom(seed);
  const running = new Map<string, Map<string, number>>(ENGINES.map((engine) => [engine, new Map()]));
  let ended = 0;
  let refused = 0;
  const place = (daemon: number, fingerprint: string): string => {
    const registry = fleet.registries[daemon]!;
    if (registry.suspicionOf(() => named(fingerprint)) === Suspicion.Clear) return random.pick(ENGINES);
    const ranks = registry.rankReplicas(named(fingerprint), ENGINES);
    return [...ranks].find(([, rank]) => rank === 0)![0];
  };
  function crash(engine: string): void {
    ended += 1;
    const cut = [...running.get(engine)!];
    running.get(engine)!.clear();
    for (const [fingerprint, daemon] of cut) {
      void fleet.crash(daemon, `${engine}.${ended}`, fingerprint);
      timers.after(random.between(5, 100), () => send(fingerprint));
    }
  }
  function send(fingerprint: string): void {
    const daemon = Math.floor(random.between(0, fleet.registries.length));
    const suspicion = fleet.registries[daemon]!.suspicionOf(() => named(fingerprint));
    if (suspicion === Suspicion.Unresolved) timers.after(20, () => send(fingerprint));
    else if (suspicion === Suspicion.Quarantined) {
      if (fingerprint !== CULPRIT) refused += 1;
    } else {
      const engine = place(daemon, fingerprint);
      running.get(engine)!.set(fingerprint, daemon);
      if (fingerprint === CULPRIT) timers.after(CRASH_AFTER_MS, () => crash(engine));
      else
        timers.after(STREAM_MS, () => {
          if (running.get(engine)!.delete(fingerprint))
            fleet.registries[daemon]!.attemptCompleted(named(fingerprint));
        });
    }
  }
  for (let index = 0; index < 300; index += 1) timers.after(index * 20, () => send(`s${index}`));
  timers.after(2000, () => send(CULPRIT));
  await timers.advance(12_000);
  return { ended, refused };
}

// Guards against a crashing stream among many others: it is one of dozens of suspects, most of which come again.
test('among many streams one that crashes engines is found after three of them, and no other is refused', async (t) => {
  for (let seed = 0; seed < 20; seed += 1) {
    const { ended, refused } = await playStreams(`streams-${seed}`);
    t.log(`seed ${seed}: ${ended} engines ended, ${refused} others refused`);
    t.true(ended <= 3);
    t.is(refused, 0);
  }
});

test('a crash is a refused connection after all others to the replica have ended', async (t) => {
  const timers = createManualTimers();
  const state = { isConnected: false, listener: ListenerState.Refused, probes: 0 };
  const createDetector = (): CrashDetector =>
    new CrashDetector({
      timers,
      isConnected: () => state.isConnected,
      probe: () => {
        state.probes += 1;
        return Promise.resolve(state.listener);
      },
    });
  const check = async (detector = createDetector()): Promise<boolean> => {
    const crashed = detector.hasCrashed({ id: 'e1' } as ReplicaEntry);
    await timers.advance(10);
    return crashed;
  };
  const detector = createDetector();
  t.deepEqual(await Promise.all([check(detector), check(detector)]), [true, true]);
  t.is(state.probes, 1);
  state.listener = ListenerState.Listening;
  t.false(await check());
  state.listener = ListenerState.Unknown;
  t.false(await check());
  state.listener = ListenerState.Refused;
  state.isConnected = true;
  t.false(await check());
});

// Guards against a daemon that reports a replica again that was found to go on, without looking at it again.
test('a crash that was refuted is looked for anew', async (t) => {
  const timers = createManualTimers();
  const state = { listener: ListenerState.Refused };
  const probe = (): Promise<ListenerState> => Promise.resolve(state.listener);
  const detector = new CrashDetector({ timers, isConnected: () => false, probe });
  const fleet = new SuspectFleet(2, detector);
  const cut = async (): Promise<void> => {
    const reported = fleet.crash(0, 'e1', 'cut');
    await Promise.all([timers.advance(10), reported]);
  };
  await cut();
  t.is(fleet.suspicions('cut')[0], Suspicion.Suspect);
  await fleet.timers.advance(400);
  fleet.registries[1]!.recordResponse('e1');
  await fleet.timers.advance(TREE_DELAY_MS);
  t.is(fleet.suspicions('cut')[0], Suspicion.Clear);
  state.listener = ListenerState.Listening;
  await cut();
  t.is(fleet.suspicions('cut')[0], Suspicion.Clear);
});
