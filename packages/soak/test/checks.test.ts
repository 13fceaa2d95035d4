/** The checks of the soak fire on what breaks a promise, and on nothing else. */
import { ERROR_CATALOGUE } from '@celeryyoke/core';
import type { DaemonOutage, Excuses, SoakRecord } from '@celeryyoke/soak';
import { checkRun, createPlan, isClean } from '@celeryyoke/soak';
import test from 'ava';

import type { CallerAttempt, LeavingNotice } from '../src/core/callers/index.js';
import { CallerOutcome } from '../src/core/callers/index.js';
import type { Arrival, ReplicaCrash } from '../src/core/replicas/index.js';
import { EngineEnd } from '../src/core/replicas/index.js';
import { daemonAddress, DRAIN_MS, REPEAT_BOUNDS, ROUTES } from '../src/core/site/index.js';

const REQUESTS = 1000;
const INTERVAL_MS = 20;

function routeOf(kind: string) {
  return ROUTES.find((route) => route.kind === kind)!;
}

/** Requests of one route that were served, each a moment after the one before it. */
function served(kind: string): CallerAttempt[] {
  return Array.from({ length: REQUESTS }, (_, index) => ({
    id: `c${index}`,
    route: routeOf(kind),
    path: `/${kind}/${index}`,
    crashingPart: undefined,
    isFirst: true,
    daemon: 'front-a-0',
    sentAt: index * INTERVAL_MS,
    limitMs: 2000,
    toldLeaving: undefined,
    outcome: CallerOutcome.Served,
    status: 200,
    code: undefined,
    events: [],
    hasLeft: false,
  }));
}

/** A run in which nothing happened. */
const EMPTY: SoakRecord = {
  attempts: [],
  arrivals: [],
  crashes: [],
  cuts: [],
  falls: [],
  brittleTimes: [],
  versionChanges: [],
  abandonments: [],
  misbehaviours: [],
  configProbes: [],
  drills: [],
  daemonCount: 3,
};

/** Checks a run in which no replica crashed. */
function checkSeen(attempts: readonly CallerAttempt[], arrivals: readonly Arrival[], excuses?: Excuses) {
  return checkRun({ ...EMPTY, attempts, arrivals }, excuses);
}

function arrivalOf({ id, sentAt }: CallerAttempt, laterMs = 1, hasRun = true): Arrival {
  return { request: id, replica: 'p-0', at: sentAt + laterMs, hasRun };
}

test('a run without retries is clean', (t) => {
  const attempts = served('unsafe');
  t.true(
    isClean(
      checkSeen(
        attempts,
        attempts.map((attempt) => arrivalOf(attempt)),
      ),
    ),
  );
});

test('retries beyond the allowance of a window are found', (t) => {
  const attempts = served('safe');
  const first = attempts.map((attempt) => arrivalOf(attempt));
  const inWindow = REPEAT_BOUNDS.windowMs / INTERVAL_MS;
  const allowed = REPEAT_BOUNDS.ratio * inWindow + REPEAT_BOUNDS.slack;
  const repeat = (count: number): Arrival[] =>
    attempts.slice(inWindow, inWindow + count).map((attempt) => arrivalOf(attempt, 2));
  t.true(isClean(checkSeen(attempts, [...first, ...repeat(allowed)])));
  const { repeats } = checkSeen(attempts, [...first, ...repeat(allowed + 5)]);
  t.deepEqual(
    repeats.map(({ violations }) => violations.length),
    [0, 1],
  );
});

test('a request that may run once and runs again is found', (t) => {
  const attempts = served('unsafe');
  const arrivals = attempts.map((attempt) => arrivalOf(attempt));
  t.deepEqual(checkSeen(attempts, [...arrivals, arrivalOf(attempts[3]!, 5, false)]).ranTwice, []);
  t.deepEqual(checkSeen(attempts, [...arrivals, arrivalOf(attempts[3]!, 5)]).ranTwice, ['c3']);
});

test('a request that runs though its caller was promised that it does not is found', (t) => {
  const attempts = served('unsafe');
  const arrivals = attempts.map((attempt) => arrivalOf(attempt));
  attempts[7]!.outcome = CallerOutcome.Refused;
  t.deepEqual(checkSeen(attempts, arrivals).ranThoughRefused, ['c7']);
});

test('a seed gives the same plan each time', (t) => {
  const size = { daemons: 6, engines: 8, plains: 2, requestsPerSecond: 50, seconds: 30 };
  t.deepEqual(createPlan(5, size), createPlan(5, size));
  t.notDeepEqual(createPlan(5, size).faults, createPlan(6, size).faults);
});

/** Requests of one daemon to one replica, one each {@link INTERVAL_MS}. */
function sentBy(daemon: string, count: number, told?: LeavingNotice): CallerAttempt[] {
  return served('safe')
    .slice(0, count)
    .map((attempt, index) => ({ ...attempt, daemon, toldLeaving: index === 0 ? told : undefined }));
}

test('a request sent on to a replica that told the same daemon long before that it leaves is found', (t) => {
  const within = DRAIN_MS / INTERVAL_MS + 1;
  const told = { replica: 'p-0', at: 0 };
  const check = (attempts: CallerAttempt[], outages: DaemonOutage[] = []) =>
    checkSeen(
      attempts,
      attempts.map((attempt) => arrivalOf(attempt)),
      { outages, interruptions: [] },
    ).sentToLeaving;
  t.deepEqual(check(sentBy('d', within, told)), []);
  const late = sentBy('d', within + 1, told);
  t.deepEqual(
    check(late).map(({ sent }) => sent),
    [[`c${within}`]],
  );
  // Another daemon was not told, and one that was restarted or stopped since has forgotten it.
  t.deepEqual(check(late.map((attempt, index) => (index === 0 ? attempt : { ...attempt, daemon: 'e' }))), []);
  t.deepEqual(check(late, [{ daemon: 'd', at: 100 }]), []);
  t.is(check(late, [{ daemon: 'e', at: 100 }]).length, 1);
  // Another replica, which refused the first request before, has said nothing.
  t.deepEqual(check(sentBy('d', within + 1, { replica: 'p-1', at: 0 })), []);
});

test('a third request of one daemon in the backoff that a replica asked it for is found', (t) => {
  const attempts = sentBy('d', 200);
  const asked: Arrival = { ...arrivalOf(attempts[0]!, 0, false), retryAfterMs: 1000 };
  const check = (inBackoff: readonly number[], excuses?: Excuses) =>
    checkSeen(attempts, [asked, ...inBackoff.map((index) => arrivalOf(attempts[index]!))], excuses)
      .sentInBackoff;
  t.deepEqual(check([1, 2, 3, 4, 26, 40]), []);
  t.deepEqual(
    check([1, 26, 40, 48]).map(({ sent }) => sent),
    [['c26', 'c40', 'c48']],
  );
  t.deepEqual(check([26, 40, 60, 70]), []);
  t.deepEqual(check([26, 40, 48], { outages: [{ daemon: 'd', at: 900 }], interruptions: [] }), []);
  t.deepEqual(
    check([26, 40, 48], { outages: [], interruptions: [{ replica: 'p-0', from: 850, until: 1100 }] }),
    [],
  );
  t.is(
    check([26, 40, 48], { outages: [], interruptions: [{ replica: 'p-1', from: 0, until: 1100 }] }).length,
    1,
  );
  // A replica that goes on reads requests first whose connections have been closed meanwhile.
  const after = (ms: number): Excuses => ({
    outages: [],
    interruptions: [{ replica: 'p-0', from: -1000, until: -ms }],
  });
  t.deepEqual(check([26, 40, 48], after(199)), []);
  t.is(check([26, 40, 48], after(201)).length, 1);
});

test('orders count like requests', (t) => {
  const { name, peers } = daemonAddress(4);
  const [first] = sentBy(name, 1, { replica: 'p-0', at: 0 });
  const order = (at: number): Arrival => ({ request: '', holder: peers, replica: 'p-0', at, hasRun: false });
  const asked: Arrival = { ...arrivalOf(first!, 0, false), retryAfterMs: 1000 };
  const { sentInBackoff, sentToLeaving } = checkSeen(
    [first!],
    [asked, ...[600, 700, 800, DRAIN_MS + 1].map(order)],
  );
  t.deepEqual(
    sentInBackoff.map(({ sent, daemon }) => [daemon, sent]),
    [[name, ['order', 'order', 'order']]],
  );
  t.deepEqual(
    sentToLeaving.map(({ sent }) => sent),
    [['order']],
  );
});

/** Time in which daemons must have learnt of a crash, in milliseconds. */
const STABLE_MS = 3000;

function crashUnder({ id, sentAt }: CallerAttempt): ReplicaCrash {
  return { request: id, replica: 'p-0', at: sentAt, end: EngineEnd.Closed };
}

test('a fourth resend that arrives long after three replicas have crashed under its request is found', (t) => {
  const attempts = sentBy('d', 8).map((attempt, index) => ({
    ...attempt,
    path: '/safe/1/crash',
    sentAt: index < 3 ? index : STABLE_MS + 10 + index,
  }));
  const arrivals = attempts.map((attempt) => arrivalOf(attempt));
  const crashes = attempts.slice(0, 3).map((attempt) => crashUnder(attempt));
  const check = (count: number, seen = crashes, outages: DaemonOutage[] = []) =>
    checkRun(
      { ...EMPTY, attempts: attempts.slice(0, 3 + count), arrivals, crashes: seen },
      { outages, interruptions: [] },
    ).sentThoughCrashing.map(({ sent }) => sent.length);
  t.deepEqual(check(3), []);
  t.deepEqual(check(4), [4]);
  t.deepEqual(check(4, crashes.slice(1)), []);
  // A daemon that has just started does not know yet.
  t.deepEqual(check(4, crashes, [{ daemon: 'd', at: STABLE_MS }]), []);
  t.deepEqual(check(4, crashes, [{ daemon: 'e', at: STABLE_MS }]), [4]);
});

test('a fourth request that arrives long after five replicas have crashed under a part of it is found', (t) => {
  const attempts = sentBy('d', 9).map((attempt, index) => ({
    ...attempt,
    crashingPart: 'dead',
    sentAt: index < 5 ? index : STABLE_MS + 10 + index,
  }));
  const arrivals = attempts.map((attempt) => arrivalOf(attempt));
  const check = (count: number, crashes: number, crashingPart = 'dead') =>
    checkRun({
      ...EMPTY,
      attempts: attempts
        .slice(0, 5 + count)
        .map((attempt, index) => (index < 5 ? attempt : { ...attempt, crashingPart })),
      arrivals,
      crashes: attempts.slice(0, crashes).map((attempt) => crashUnder(attempt)),
    }).sentThoughCrashing.map(({ sent }) => sent.length);
  t.deepEqual(check(3, 5), []);
  t.deepEqual(check(4, 5), [4]);
  t.deepEqual(check(4, 4), []);
  t.deepEqual(check(4, 5, 'other'), []);
});

test('a request that is refused for the crashes of another is found', (t) => {
  const { code } = ERROR_CATALOGUE.Quarantined;
  const [innocent, crashing] = sentBy('d', 2).map((attempt) => ({ ...attempt, code }));
  const attempts = [innocent!, { ...crashing!, path: '/safe/2/crash' }];
  t.deepEqual(checkSeen(attempts, []).refusedBeside, [innocent!.id]);
});

test('daemons that are cut off and serve less than two thirds of what others do are found', (t) => {
  const serving = (daemon: string, count: number, share: number, status?: number): CallerAttempt[] =>
    served('safe')
      .slice(0, count)
      .map((attempt, index) => ({
        ...attempt,
        id: `${daemon}${index}`,
        daemon,
        sentAt: STABLE_MS + 1 + index,
        endedAt: STABLE_MS + 200 + index,
        outcome: index < count * share ? CallerOutcome.Served : CallerOutcome.Failed,
        status: index < count * share ? 200 : status,
      }));
  const check = (
    share: number,
    outages: DaemonOutage[] = [],
    from = 0,
    status?: number,
    firstStarts: DaemonOutage[] = [],
  ): number =>
    checkRun(
      {
        ...EMPTY,
        attempts: [...serving('d', 100, share, status), ...serving('e', 100, 0.9)],
        cuts: [{ daemons: ['d'], from, until: undefined }],
      },
      { outages, firstStarts, interruptions: [] },
    ).badlyServedInCuts.length;
  t.is(check(0.6), 0);
  t.is(check(0.59), 1);
  // A daemon has some seconds to find out, after the beginning of the cut and after a start.
  t.is(check(0.1, [], 200), 0);
  t.is(check(0.1, [{ daemon: 'd', at: STABLE_MS }]), 0);
  t.is(check(0.1, [], 0, undefined, [{ daemon: 'd', at: STABLE_MS }]), 0);
  t.is(check(0.1, [{ daemon: 'd', at: STABLE_MS + 150 }]), 0);
  t.is(check(0.1, [{ daemon: 'd', at: STABLE_MS + 400 }]), 1);
  // What a replica has failed itself has reached it.
  t.is(check(0.59, [], 0, 500), 0);
  // So has what a replica has refused itself; a refusal of a request that no replica has read counts.
  const refusedAttempts = [...serving('d', 100, 0.59), ...serving('e', 100, 0.9)].map((attempt) =>
    attempt.outcome === CallerOutcome.Failed ? { ...attempt, outcome: CallerOutcome.Refused } : attempt,
  );
  const checkRefused = (arrivals: readonly Arrival[]): number =>
    checkRun({
      ...EMPTY,
      attempts: refusedAttempts,
      arrivals,
      cuts: [{ daemons: ['d'], from: 0, until: undefined }],
    }).badlyServedInCuts.length;
  t.is(checkRefused([]), 1);
  t.is(checkRefused(refusedAttempts.map((attempt) => arrivalOf(attempt, 1, false))), 0);
});

test('brittle replicas that fall over more often than is allowed are found', (t) => {
  const attempts = sentBy('d', 4);
  const rejected = attempts.map(({ id }) => id);
  const falls = ['p-0', 'p-1', 'p-0.1'].map((replica, index) => ({ replica, rejected, at: 100 + index }));
  const check = (count: number, outages: DaemonOutage[] = [], until = 1000): number =>
    checkRun(
      { ...EMPTY, attempts, falls: falls.slice(0, count), brittleTimes: [{ replicas: 2, from: 0, until }] },
      { outages, interruptions: [] },
    ).tooManyFalls.length;
  t.is(check(2), 0);
  t.is(check(3), 1);
  t.is(check(3, [], 50), 0);
  t.is(check(3, [{ daemon: 'd', at: 90 }]), 0);
});

/** Streams that broke after two events of a version, and were taken up with a third one. */
function takenUp(count: number, versions: readonly [before: string, after: string | undefined]) {
  const [before, after] = versions;
  const [sample] = served('streaming');
  return Array.from({ length: count }, (_, index): CallerAttempt[] => {
    const first = { ...sample!, id: `s${index}`, sentAt: index * INTERVAL_MS };
    const events = [1, 2].map((id) => ({ id, softwareVersion: before }));
    const second = {
      ...first,
      id: `t${index}`,
      isFirst: false,
      lastEventId: 2,
      resumes: first.id,
      events: after === undefined ? [] : [{ id: 3, softwareVersion: after }],
    };
    return [{ ...first, events }, second];
  }).flat();
}

test('a stream with events of two software versions is found, within an attempt and over several', (t) => {
  t.deepEqual(checkSeen(takenUp(3, ['v1', 'v1']), []).joinedStreams, []);
  const [joined] = checkSeen(takenUp(1, ['v1', 'v2']), []).joinedStreams;
  t.deepEqual(joined, { attempts: ['s0', 't0'], versions: ['v1', 'v2'], isBroken: false });
  const [attempt] = takenUp(1, ['v1', 'v1']);
  const mixed = { ...attempt!, events: [...attempt!.events, { id: 3, softwareVersion: 'v2' }] };
  t.is(checkSeen([mixed], []).joinedStreams.length, 1);
});

test('a stream with an event that is missing or comes twice is found', (t) => {
  const [attempt, second] = takenUp(1, ['v1', 'v1']);
  const again = { ...second!, events: [{ id: 2, softwareVersion: 'v1' }] };
  const later = { ...second!, events: [{ id: 4, softwareVersion: 'v1' }] };
  for (const wrong of [again, later])
    t.true(checkSeen([attempt!, wrong], []).joinedStreams.every(({ isBroken }) => isBroken));
});

test('streams that are taken up in vain are found while two replicas of their version serve', (t) => {
  const versionChanges = ['e-0', 'e-1'].map((replica) => ({ replica, at: -1, softwareVersion: 'v1' }));
  const attempts = takenUp(12, ['v1', undefined]);
  const lostTakeUps = (record: Partial<SoakRecord>, excuses?: Excuses) =>
    checkRun({ ...EMPTY, attempts, versionChanges, ...record }, excuses).lostTakeUps;
  t.deepEqual(lostTakeUps({}), [{ wentOn: 0, takenUp: 12, expected: 12 }]);
  t.deepEqual(lostTakeUps({ attempts: takenUp(12, ['v1', 'v1']) }), []);
  t.deepEqual(lostTakeUps({ attempts: takenUp(11, ['v1', undefined]) }), []);
  const isDown = { replica: 'e-1', at: 0, softwareVersion: undefined };
  t.deepEqual(lostTakeUps({ versionChanges: [...versionChanges, isDown] }), []);
  t.deepEqual(lostTakeUps({ misbehaviours: [{ replica: 'e-0', from: 0, until: undefined }] }), []);
  const outages = [{ daemon: 'front-a-0', at: 0 }];
  t.deepEqual(lostTakeUps({}, { outages, interruptions: [] }), []);
});

// Guards against a check that excuses daemons that leave requests at replicas that are only silent.
test('a request that is left while a sound replica works on it is found, unless its time is over', (t) => {
  const [attempt] = served('safe');
  const { host, name } = daemonAddress(0);
  const ended = { ...attempt!, daemon: name, outcome: CallerOutcome.Failed, endedAt: 1200 };
  const abandonment = { request: ended.id, replica: 'p-0', host, at: 1100 };
  const check = (left: CallerAttempt, record: Partial<SoakRecord> = {}, excuses?: Excuses) =>
    checkRun({ ...EMPTY, attempts: [left], abandonments: [abandonment], ...record }, excuses).abandoned
      .length;
  t.is(check(ended), 1);
  t.is(check({ ...ended, outcome: CallerOutcome.Served }), 1);
  t.is(check({ ...ended, endedAt: 1990 }), 0);
  t.is(check({ ...ended, hasLeft: true }), 0);
  t.is(check(ended, { cuts: [{ daemons: [name], from: 500, until: 900 }] }), 0);
  t.is(check(ended, { cuts: [{ daemons: [name], from: 1150, until: undefined }] }), 1);
  t.is(check(ended, {}, { outages: [{ daemon: name, at: 700 }], interruptions: [] }), 0);
  t.is(check(ended, {}, { outages: [], interruptions: [{ replica: 'p-0', from: 0, until: 1100 }] }), 1);
});

// Guards against a check of configurations that excuses daemons that run undisturbed, or accuses others.
test('a route that is not found when its configuration must be in force is found out, unless its daemon was disturbed', (t) => {
  const probe = { daemon: 'front-a-0', version: 3, at: 10_000, status: 404 };
  const record = { ...EMPTY, configProbes: [probe, { ...probe, status: 200 }, { ...probe, status: 503 }] };
  t.deepEqual(checkRun(record).lateConfigs, [probe]);
  const outages = [{ daemon: 'front-a-0', at: 8000 }];
  t.deepEqual(checkRun(record, { outages, interruptions: [] }).lateConfigs, []);
  const drill = { from: 6000, until: 6900, refusedWatches: 0 };
  t.deepEqual(checkRun({ ...record, drills: [drill] }).lateConfigs, [probe]);
  t.deepEqual(checkRun({ ...record, drills: [{ ...drill, until: 7100 }] }).lateConfigs, []);
});

// Guards against daemons that ask again and again for a history that the store has lost.
test('a store that refuses more watches after a drill than there are daemons is found out', (t) => {
  const busy = { from: 0, until: 500, refusedWatches: 4 };
  const record = { ...EMPTY, drills: [busy, { ...busy, refusedWatches: 3 }] };
  t.deepEqual(checkRun(record).busyDrills, [busy]);
});
