/**
 * Requests for adapters that are not resident while the adapter slots of all engines are in use: which of
 * them wait, and when the others are refused.
 *
 * The route has an objective of 600 ms to the first event and a timeout of 12 s.
 */
import type { ManualTimerService } from '@celeryyoke/core';
import { createManualTimers, createMetrics } from '@celeryyoke/core';
import type { Choice, FinderDependencies, Need, Route, RoutedRequest } from '@celeryyoke/routing';
import { CallerTimeouts, ReplicaFinder, RequestMetrics, RouteKind, WaitTimes } from '@celeryyoke/routing';
import test from 'ava';

import { engineEntry, log, MODEL } from './fakes.js';

const OBJECTIVE_MS = 600;
const TIMEOUT_MS = 12_000;

const ROUTE: Route = {
  name: 'live',
  host: 'app.example',
  prefix: '/live/',
  kind: RouteKind.Streaming,
  timeoutMs: TIMEOUT_MS,
  objectiveMs: OBJECTIVE_MS,
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
  const callerTimeouts = new CallerTimeouts();
  callerTimeouts.record(ROUTE.name, TIMEOUT_MS);
  const startedAt = timers.now();
  const isFreeNow = (): boolean => isFree(timers.now() - startedAt);
  const choose = (): Choice => ({
    replica: engineEntry('e'),
    residentVersion: isFreeNow() ? 1 : undefined,
    needsLoad: !isFreeNow(),
    cost: 0,
  });
  const parts = {
    chooser: { choose, minVersion: () => 0, backoffMs: () => 0 },
    timers,
    log,
    metrics: new RequestMetrics(createMetrics()),
    callerTimeouts,
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

test('a request waits for its adapter beyond its objective: late is better than never', async (t) => {
  const { timers, found } = startFinder(1500);
  await timers.advance(2500);
  t.truthy(found.choice);
  t.true(found.at! >= 1500 && found.at! < 2100, `${found.at} ms`);
});

test('a request whose adapter is not loaded is refused after a quarter of its time', async (t) => {
  const { timers, found } = startFinder(Number.POSITIVE_INFINITY);
  await timers.advance(TIMEOUT_MS);
  t.is(found.choice, undefined);
  t.true(found.at! > OBJECTIVE_MS && found.at! < TIMEOUT_MS / 3, `${found.at} ms`);
});

test('a late retry is refused sooner', async (t) => {
  const { timers, found } = startFinder(Number.POSITIVE_INFINITY, TIMEOUT_MS / 2);
  await timers.advance(TIMEOUT_MS);
  t.is(found.choice, undefined);
  t.true(found.at! < TIMEOUT_MS / 6, `${found.at} ms`);
});

// Guards against callers that wait out their patience though no replica may be asked before it ends.
test('a request is refused at once while all replicas of its service want none for longer than it may wait', async (t) => {
  const { timers, parts, request, finder } = createSearch(TIMEOUT_MS, () => true);
  Object.assign(parts.chooser, { choose: () => undefined, backoffMs: () => OBJECTIVE_MS });
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
test('a request waits no longer for a replica that opens too late for a stream to end than without it', async (t) => {
  const waitMs = 2000;
  const search = createSearch(waitMs, () => true);
  const { timers, request, finder } = search;
  openAfter(search, 1400);
  let refusedAt = 0;
  const refused = finder.find().then((choice) => {
    refusedAt = timers.now();
    return choice;
  });
  await timers.advance(waitMs);
  t.is(await refused, undefined);
  // Late requests wait a quarter of their time for a slot.
  t.true(refusedAt - request.arrivedAt < waitMs / 3);
});
