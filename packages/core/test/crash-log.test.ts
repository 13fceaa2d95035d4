/** Which requests are taken for the cause of crashes, from what was in flight at each. */
import { CrashLog, createManualTimers, Suspicion } from '@celeryyoke/core';
import test from 'ava';

const SETTLE_MS = 100;

function startLog() {
  const timers = createManualTimers();
  const quarantined: string[] = [];
  const log = new CrashLog(
    {
      timers,
      quarantineMs: 60_000,
      suspectMs: 60_000,
      minCrashes: 2,
      maxCrashes: 3,
      settleMs: SETTLE_MS,
      sameCrashMs: 3000,
      capacity: 100,
    },
    { quarantined: (fingerprint) => quarantined.push(fingerprint), lifted: () => undefined },
  );
  const crash = (upstream: string, ...fingerprints: string[]): boolean =>
    log.add(
      upstream,
      timers.now(),
      fingerprints.map((fingerprint) => ({ fingerprint, shared: [] })),
    );
  const settle = async (): Promise<void> => {
    await timers.advance(SETTLE_MS);
    log.reviewAll();
  };
  return { timers, log, quarantined, crash, settle };
}

// Guards against refusing for minutes what merely was beside a request that crashes upstreams.
test('the only request in flight at two crashes is quarantined, and its neighbours are cleared', async (t) => {
  const { log, quarantined, crash, settle } = startLog();
  t.true(crash('e1', 'culprit', 'a', 'b'));
  t.is(log.lookUp('culprit'), Suspicion.Suspect);
  await settle();
  crash('e2', 'culprit', 'c');
  t.is(log.lookUp('culprit'), Suspicion.Unresolved);
  t.is(log.lookUp('c'), Suspicion.Suspect);
  await settle();
  t.deepEqual(quarantined, ['culprit']);
  t.is(log.lookUp('culprit'), Suspicion.Quarantined);
  for (const neighbour of ['a', 'b', 'c']) t.is(log.lookUp(neighbour), Suspicion.Clear);
});

// Guards against refusing requests that are resumed, and so at two crashes by chance, while upstreams crash often.
test('of requests that were at two crashes each, one is quarantined only at a further one', async (t) => {
  const { quarantined, crash, settle } = startLog();
  crash('e1', 'a', 'c');
  crash('e2', 'b', 'd');
  await settle();
  crash('e3', 'a', 'e');
  crash('e4', 'b', 'f');
  await settle();
  t.deepEqual(quarantined, []);
  crash('e5', 'b');
  await settle();
  t.deepEqual(quarantined, ['b']);
});

// Guards against taking a neighbour for the cause before all daemons have reported what they had in flight.
test('of several requests in flight at two crashes none is quarantined before a third crash', async (t) => {
  const { log, quarantined, crash, settle } = startLog();
  crash('e1', 'culprit', 'neighbour');
  await settle();
  crash('e2', 'neighbour');
  crash('e2', 'culprit');
  await settle();
  t.deepEqual(quarantined, []);
  t.is(log.lookUp('culprit'), Suspicion.Suspect);
  t.deepEqual(log.repeatedSuspects(), ['culprit', 'neighbour']);
  crash('e3', 'culprit');
  t.deepEqual(quarantined, ['culprit']);
  t.is(log.lookUp('neighbour'), Suspicion.Clear);
});

// Guards against a request that crashes upstreams by chance only: it runs well in between.
test('a request that ended well since is cleared of the crashes before', async (t) => {
  const { log, timers, quarantined, crash, settle } = startLog();
  crash('e1', 'request');
  await settle();
  t.true(log.clear('request', timers.now()));
  t.true(log.isEmpty);
  await timers.advance(1);
  crash('e2', 'request');
  await settle();
  t.is(log.lookUp('request'), Suspicion.Suspect);
  t.deepEqual(quarantined, []);
});

// Guards against suspects made by a daemon that took a cut connection for a crash.
test('a refuted crash leaves no suspects, and later reports of it make none', async (t) => {
  const { log, crash, settle } = startLog();
  crash('e1', 'a');
  t.true(log.refute('e1'));
  t.false(log.refute('e1'));
  crash('e1', 'b');
  t.true(log.isEmpty);
  await settle();
  t.is(log.lookUp('a'), Suspicion.Clear);
});

test('a quarantine that another daemon has found holds until its end', async (t) => {
  const { log, timers, crash } = startLog();
  crash('e1', 'culprit', 'neighbour');
  t.true(log.addQuarantine('culprit', { upstreams: ['e1', 'e2'], until: timers.now() + 1000 }));
  t.false(log.addQuarantine('culprit', { upstreams: ['e1', 'e2'], until: timers.now() + 1000 }));
  t.is(log.lookUp('culprit'), Suspicion.Quarantined);
  t.is(log.lookUp('neighbour'), Suspicion.Clear);
  await timers.advance(1001);
  log.expire();
  t.is(log.lookUp('culprit'), Suspicion.Clear);
});
