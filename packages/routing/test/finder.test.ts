/**
 * Requests for adapters that are not resident while the adapter slots of all engines are in use: which of
 * them wait, and when the others are refused.
 *
 * The callers of the route bear a gap of 2.4 s before an event, and have 12 s until their deadlines.
 */
import type { ManualTimerService } from '@celeryyoke/core';
import { createManualTimers, createMetrics } from '@celeryyoke/core';
import type { Choice, FinderDependencies, Need, Route, RoutedRequest } from '@celeryyoke/routing';
import {
  ReplicaFinder,
  RequestMetrics,
  RouteKind,
  WaitQueues,
  WaitTimes,
  WorkTimes,
} from '@celeryyoke/routing';
import test from 'ava';

import { engineEntry, log, MODEL } from './fakes.js';

const CALLER_GAP_MS = 2400;
const TIMEOUT_MS = 12_000;

const ROUTE: Route = {
  name: 'live',
  host: 'app.example',
  prefix: '/live/',
  kind: RouteKind.Streaming,
  timeoutMs: TIMEOUT_MS,
  rank: 1,
  targets: [{ service: 'engines', weight: 1 }],
  maxAttempts: 2,
  maxPauseMs: 300,
  isResumable: true,
  isAnonymous: false,
};

/** A search for a replica, on a virtual clock. */
interface Search {
  readonly timers: ManualTimerService;
  /** What the search asks; a test replaces what it needs. */
  readonly parts: FinderDependencies;
  readonly request: RoutedRequest;
  readonly finder: ReplicaFinder;
}

/** Creates a search of a request that has just arrived. */
function createSearch(waitMs: number, isFree: (passedMs: number) => boolean): Search {
  const timers = createManualTimers();
  const startedAt = timers.now();
  const isFreeNow = (): boolean => isFree(timers.now() - startedAt);
  const choose = (): Choice => ({
    replica: engineEntry('e'),
    residentVersion: isFreeNow() ? 1 : undefined,
    needsLoad: !isFreeNow(),
    cost: 0,
  });
  const parts = {
    chooser: { choose, minVersion: () => 0, backoffMs: () => 0, absentMs: () => 0 },
    timers,
    log,
    metrics: new RequestMetrics(createMetrics()),
    workTimes: new WorkTimes(timers),
    waitQueues: new WaitQueues(timers),
    ensure: async (_replica: unknown, _ref: unknown, { patienceMs }: { patienceMs: number }) => {
      await timers.sleep(patienceMs);
      return isFreeNow();
    },
  } as unknown as FinderDependencies;
  const generation = { model: MODEL, adapter: 'a1', promptTokens: 800, maxTokens: 300 };
  const request = {
    head: { id: 'r', generation },
    route: ROUTE,
    service: 'engines',
    rank: 1,
    arrivedAt: startedAt,
    suspectRanking: () => undefined,
    deadlineAt: startedAt + waitMs,
    hasEnded: () => timers.now() - startedAt >= waitMs,
    hasResponseBegun: () => false,
    softwareVersion: () => undefined,
    beginsResumable: () => false,
  } as unknown as RoutedRequest;
  return {
    timers,
    parts,
    request,
    finder: new ReplicaFinder(parts, request, new WaitTimes(timers, startedAt)),
  };
}

/** Starts a search among engines whose adapter slots become free after some time. */
function startFinder(freeAfterMs: number, waitMs = TIMEOUT_MS) {
  const { timers, finder, request } = createSearch(waitMs, (passedMs) => passedMs >= freeAfterMs);
  const found: { at: number | undefined; choice: Choice | undefined } = { at: undefined, choice: undefined };
  const finding = finder.find().then((choice) => {
    Object.assign(found, { at: timers.now() - request.arrivedAt, choice });
  });
  return { timers, found, finding };
}

test('a request gets its adapter as soon as a slot is free', async (t) => {
  const { timers, found } = startFinder(1500);
  await timers.advance(2500);
  t.truthy(found.choice);
  t.true(found.at! >= 1500 && found.at! < 2100, `${found.at} ms`);
});

// Guards against streams that wait for an adapter when their callers have left for want of an event.
test('a request whose adapter is not loaded is refused when its caller bears the gap no longer', async (t) => {
  const { timers, found } = startFinder(Number.POSITIVE_INFINITY);
  await timers.advance(TIMEOUT_MS);
  t.is(found.choice, undefined);
  t.true(found.at! >= CALLER_GAP_MS && found.at! < CALLER_GAP_MS + 300, `${found.at} ms`);
});

// Guards against a wait that goes on though the response could not end before the deadline.
test('a request is refused when the time that it has left is less than its response takes', async (t) => {
  const search = createSearch(2000, () => false);
  (search.parts.workTimes as WorkTimes).record(ROUTE.name, { firstByteMs: 100, totalMs: 800 });
  let refusedAt = 0;
  const refused = search.finder.find().then((choice) => {
    refusedAt = search.timers.now() - search.request.arrivedAt;
    return choice;
  });
  await search.timers.advance(2000);
  t.is(await refused, undefined);
  t.true(refusedAt >= 1200 && refusedAt < 1500, `${refusedAt} ms`);
});

/** Starts a search without any replica, and returns when it is given up. */
async function refusalWithout(absentForMs: number, waitMs: number): Promise<number> {
  const { timers, parts, request, finder } = createSearch(waitMs, () => true);
  const lostAt = timers.now() - absentForMs;
  Object.assign(parts.chooser, { choose: () => undefined, absentMs: () => timers.now() - lostAt });
  let refusedAt = Number.NaN;
  void finder.find().then(() => {
    refusedAt = timers.now() - request.arrivedAt;
  });
  await timers.advance(waitMs);
  return refusedAt;
}

// Guards against callers that wait for replicas that can't be expected back in time, or are refused while they can.
test('a request waits for a replica as long as one can be expected back in time', async (t) => {
  const soon = await refusalWithout(0, TIMEOUT_MS);
  t.true(soon >= 1200 && soon < 1300, `${soon} ms`);
  t.is(await refusalWithout(CALLER_GAP_MS, TIMEOUT_MS), 0);
  t.is(await refusalWithout(Number.POSITIVE_INFINITY, TIMEOUT_MS), 0);
});

// Guards against callers that wait out their patience though no replica may be asked before it ends.
test('a request is refused at once while all replicas of its service want none for longer than it may wait', async (t) => {
  const { timers, parts, request, finder } = createSearch(TIMEOUT_MS, () => true);
  Object.assign(parts.chooser, { choose: () => undefined, backoffMs: () => CALLER_GAP_MS });
  const refused = finder.find();
  await timers.advance(0);
  t.is(await refused, undefined);
  t.is(timers.now(), request.arrivedAt);
});

test('a request waits for a backoff that is over soon', async (t) => {
  const { timers, parts, finder } = createSearch(TIMEOUT_MS, () => true);
  const { choose } = parts.chooser;
  const acceptsAt = timers.now() + 50;
  Object.assign(parts.chooser, {
    choose: (need: Need) => (timers.now() < acceptsAt ? undefined : choose(need)),
    backoffMs: () => Math.max(0, acceptsAt - timers.now()),
  });
  const found = finder.find();
  await timers.advance(100);
  t.is((await found)?.replica.id, 'e');
});

/** Has the only replica open to the request after some time, with its adapter resident. */
function openAfter({ timers, parts, request }: Search, opensAfterMs: number): void {
  const choose = (): Choice => {
    const opensInMs = request.arrivedAt + opensAfterMs - timers.now();
    const choice = { replica: engineEntry('e'), residentVersion: 1, needsLoad: false, cost: 0 };
    return opensInMs > 0 ? { ...choice, opensInMs } : choice;
  };
  Object.assign(parts.chooser, { choose });
}

// Guards against a stream that begins before its replica opens to it, or is refused in place of waiting.
test('a request waits until its replica opens to it', async (t) => {
  const search = createSearch(TIMEOUT_MS, () => true);
  const { timers, request, finder } = search;
  openAfter(search, 1400);
  let foundAt = 0;
  const found = finder.find().then((choice) => {
    foundAt = timers.now();
    return choice;
  });
  await timers.advance(2000);
  t.is((await found)?.replica.id, 'e');
  t.true(foundAt - request.arrivedAt >= 1400 && foundAt - request.arrivedAt < 1450);
});

// Guards against callers that wait for a replica at which their streams could not end in time.
test('a request is refused at once when its replica opens too late for a stream to end', async (t) => {
  const waitMs = 2000;
  const search = createSearch(waitMs, () => true);
  const { timers, parts, request, finder } = search;
  (parts.workTimes as WorkTimes).record(ROUTE.name, { firstByteMs: 100, totalMs: 700 });
  openAfter(search, 1400);
  const refused = finder.find();
  await timers.advance(0);
  t.is(await refused, undefined);
  t.is(timers.now(), request.arrivedAt);
});
