/**
 * Rare adapters asked for all at once, with few places for them: who waits, and who is turned away and when.
 *
 * The route is one of 600 ms to the first event and 12 s in all; every engine's adapter places are in use for good.
 */
import { createManualTimers, createMetrics } from '@celeryyoke/core';
import type { Choice, FinderParts, Route, SoughtRequest } from '@celeryyoke/routing';
import { CallerTimes, ReplicaFinder, RequestMetrics, RouteKind } from '@celeryyoke/routing';
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

/** A finder before engines whose places come free after a time. */
function setUp(freeAfterMs: number, waitMs = TIMEOUT_MS) {
  const timers = createManualTimers();
  const callerTimes = new CallerTimes();
  callerTimes.note(ROUTE.name, TIMEOUT_MS);
  const begun = timers.now();
  const isFree = (): boolean => timers.now() - begun >= freeAfterMs;
  const choose = (): Choice => ({
    replica: engineEntry('e'),
    heldVersion: isFree() ? 1 : undefined,
    needsLoad: !isFree(),
    cost: 0,
  });
  const parts = {
    chooser: { choose, leastVersion: () => 0 },
    timers,
    log,
    metrics: new RequestMetrics(createMetrics()),
    callerTimes,
    ensure: async (_replica: unknown, _ref: unknown, { patienceMs }: { patienceMs: number }) => {
      await timers.sleep(patienceMs);
      return isFree();
    },
  } as unknown as FinderParts;
  const generation = { model: MODEL, adapter: 'a1', promptTokens: 800, maxTokens: 300 };
  const sought = {
    head: { id: 'r', generation },
    route: ROUTE,
    service: 'engines',
    arrivedAt: begun,
    deadlineAt: begun + waitMs,
    isOver: () => timers.now() - begun >= waitMs,
    isUnderWay: () => false,
  } as unknown as SoughtRequest;
  const found: { at: number | undefined; choice: Choice | undefined } = { at: undefined, choice: undefined };
  const finding = new ReplicaFinder(parts, sought).find().then((choice) => {
    Object.assign(found, { at: timers.now() - begun, choice });
  });
  return { timers, found, finding };
}

test('a request waits for its adapter beyond its objective, as a late answer is better than none', async (t) => {
  const { timers, found } = setUp(1500);
  await timers.advance(2500);
  t.truthy(found.choice);
  t.true(found.at! >= 1500 && found.at! < 2100, `${found.at} ms`);
});

test('a request whose adapter does not come is turned away at a quarter of its time, not held to its end', async (t) => {
  const { timers, found } = setUp(Number.POSITIVE_INFINITY);
  await timers.advance(TIMEOUT_MS);
  t.is(found.choice, undefined);
  t.true(found.at! > OBJECTIVE_MS && found.at! < TIMEOUT_MS / 3, `${found.at} ms`);
});

test('one that comes back late is turned away sooner', async (t) => {
  const { timers, found } = setUp(Number.POSITIVE_INFINITY, TIMEOUT_MS / 2);
  await timers.advance(TIMEOUT_MS);
  t.is(found.choice, undefined);
  t.true(found.at! < TIMEOUT_MS / 6, `${found.at} ms`);
});
