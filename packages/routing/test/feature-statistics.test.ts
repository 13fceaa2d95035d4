/** How often requests have what they share: the grounds on which it is refused. */
import { createManualTimers, EndCertainty } from '@celeryyoke/core';
import test from 'ava';

import { AttemptEnd } from '../src/index.js';
import { FeatureStatistics } from '../src/core/suspects/feature-statistics.js';
import { decodeSuspect, encodeSuspect } from '../src/core/suspects/suspect-codec.js';
import { SuspectRowKind } from '../src/core/suspects/types.js';
import { SuspectFleet } from './suspect-fleet.js';

const FEATURE = 'part a';
const REQUESTS = 300;

function useIn(statistics: FeatureStatistics) {
  return statistics.useOf(FEATURE, 0, 0);
}

// Guards against a part of a third of all requests that is taken for one of all requests of a seldom route.
test('a feature of several routes is as frequent as it is on all of them', (t) => {
  const statistics = new FeatureStatistics(createManualTimers());
  for (let number = 0; number < REQUESTS; number += 1) {
    const route = number % 10 === 0 ? 'seldom' : 'busy';
    const features = number % 3 === 0 ? [FEATURE] : ['part b'];
    statistics.countRun({ route, features, request: `${number}` });
  }
  const { share, shareAtLeast } = useIn(statistics);
  t.true(share < 0.4 && shareAtLeast > 0.25, `${shareAtLeast} to ${share}`);
});

// Guards against a part that seems to be in most requests, as one caller sends a request with it again and again.
test('a request that comes again and again counts once', (t) => {
  const statistics = new FeatureStatistics(createManualTimers());
  for (let number = 0; number < REQUESTS; number += 1) {
    statistics.countRun({ route: 'r', features: ['part b'], request: `${number}` });
    statistics.countRun({ route: 'r', features: [FEATURE], request: 'same' });
  }
  t.true(useIn(statistics).share < 0.02);
});

/** Time after which the counts of a peer are dropped, in milliseconds. */
const KEPT_MS = 60_000;

// Guards against a frequent part that is refused for chance by a daemon which has seldom seen it.
test('a feature is as frequent as it is at all daemons that report crashes', async (t) => {
  const timers = createManualTimers();
  const statistics = new FeatureStatistics(timers);
  for (let number = 0; number < 10; number += 1)
    statistics.countRun({ route: 'r', features: ['part b'], request: `${number}` });
  t.true(useIn(statistics).share < 0.2);
  for (const peer of ['d1', 'd2'])
    statistics.mergeTallies(peer, [{ feature: FEATURE, requests: 45, all: 90 }]);
  t.true(useIn(statistics).shareAtLeast > 0.4);
  // A later report counts in place of an earlier one, not beside it.
  statistics.mergeTallies('d1', [{ feature: FEATURE, requests: 46, all: 92 }]);
  const { share } = useIn(statistics);
  t.is(share, (91 + 1 + Math.sqrt(92)) / (10 + 92 + 90 + 1));
  t.deepEqual(statistics.talliesOf([FEATURE]), [{ feature: FEATURE, requests: 0, all: 10 }]);
  await timers.advance(KEPT_MS + 1);
  t.true(useIn(statistics).shareAtLeast === 0);
});

// Guards against counts of a peer that make a part look rarer or more frequent than any could be.
test('a report whose counts are none is ignored', (t) => {
  const row = {
    kind: SuspectRowKind.Crash as const,
    replica: 'e1',
    reporter: 'd1',
    at: 0,
    certainty: EndCertainty.Confirmed,
    requests: [],
  };
  const encode = (requests: number, all: number) =>
    encodeSuspect({ ...row, tallies: [{ feature: FEATURE, requests, all }] }, 0);
  t.deepEqual(decodeSuspect(encode(1, 2), 0), {
    ...row,
    tallies: [{ feature: FEATURE, requests: 1, all: 2 }],
  });
  for (const [requests, all] of [
    [3, 2],
    [-1, 2],
    [Number.NaN, 2],
    [1, Number.POSITIVE_INFINITY],
  ] as const)
    t.throws(() => decodeSuspect(encode(requests, all), 0), { instanceOf: TypeError });
});

/** Records a whole answer of a request without the feature that begins now. */
function recordAnswer(statistics: FeatureStatistics, beganAt: number): void {
  const run = { route: 'r', shared: [], beganAt, livedMs: 0, isWhole: false, request: `${beganAt}` };
  statistics.recordRun(run);
  Object.assign(run, { livedMs: 50, isWhole: true });
}

// Guards against refusing a part since no answer has it, although it was refused when the others began.
test('answers that began while a feature was refused do not count against it', async (t) => {
  const timers = createManualTimers();
  const statistics = new FeatureStatistics(timers);
  for (const beganAt of [10, 20, 30, 40]) recordAnswer(statistics, beganAt);
  await timers.advance(1000);
  t.is(statistics.useOf(FEATURE, 0, 0).soundRuns, 4);
  t.is(statistics.useOf(FEATURE, 0, 0, (at) => at >= 20 && at <= 30).soundRuns, 2);
});

// Guards against refusing a part of long answers since short ones are whole sooner.
test('answers count once one with the feature would have refuted it, too', async (t) => {
  const timers = createManualTimers();
  const statistics = new FeatureStatistics(timers);
  recordAnswer(statistics, 10);
  await timers.advance(500);
  t.is(statistics.useOf(FEATURE, 0, 300).soundRuns, 0);
  await timers.advance(500);
  t.is(statistics.useOf(FEATURE, 0, 300).soundRuns, 1);
});

// Guards against refusing a part since no answer has it, although replicas ran no request with it.
test('a request that replicas refuse to run does not count', (t) => {
  const fleet = new SuspectFleet(1);
  const counted: string[] = [];
  Object.assign(fleet.registries[0]!, {
    countRun: (_route: string, _shared: unknown, id: string) => counted.push(id),
  });
  const shared = [{ feature: FEATURE }];
  const begin = (exact: string) => fleet.begin(0, 'e', { exact, anyQuery: undefined, shared });
  begin('refused').end(AttemptEnd.NotRun, 0);
  begin('cut off').end(AttemptEnd.Unanswered, 0);
  begin('answered').recordBody(0);
  t.deepEqual(counted, ['cut off', 'answered']);
});
