/** How often requests have what they share: the grounds on which it is refused. */
import { createManualTimers } from '@celeryyoke/core';
import test from 'ava';

import { AttemptEnd } from '../src/index.js';
import { FeatureStatistics } from '../src/core/suspects/feature-statistics.js';
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
