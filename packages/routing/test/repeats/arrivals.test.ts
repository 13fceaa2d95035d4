/** Retries stay within their allowance at the replicas, where the users count them on arrival. */
import test from 'ava';

import { ExecutionSite } from './execution-site.js';

const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 54 };
const PER_SECOND = 20;

/** Runs an engine that refuses all requests from 10 s on, with an obstacle to the retries until 13.8 s. */
async function runWithObstacle(obstruct: (site: ExecutionSite, isObstructed: boolean) => void) {
  const site = new ExecutionSite(BOUNDS);
  await site.run(PER_SECOND, 10_000);
  site.isRefusing = true;
  obstruct(site, true);
  await site.run(PER_SECOND, 3800);
  obstruct(site, false);
  await site.run(PER_SECOND, 16_000);
  const { record } = site;
  return { worst: record.windows(BOUNDS)[0]!, total: record.retryTimes().length };
}

// Guards against retries that are reserved in one window and sent in the next, once adapters can be loaded.
test('retries that waited for their adapters stay within the allowance when they are sent', async (t) => {
  const { worst, total } = await runWithObstacle((site, isObstructed) => {
    Object.assign(site, { canLoad: !isObstructed });
  });
  t.log(worst);
  t.true(worst.retries <= worst.allowed, `${worst.retries} retries, allowed ${worst.allowed}`);
  t.true(total >= 100, `${total} retries in all: the allowance is used`);
});

// Guards against retries that a partition delays and that arrive together with those sent after it.
test('retries that were delayed in the network stay within the allowance when they arrive', async (t) => {
  const { worst, total } = await runWithObstacle((site, isObstructed) => site.holdPath(isObstructed));
  t.log(worst);
  t.true(worst.retries <= worst.allowed, `${worst.retries} retries, allowed ${worst.allowed}`);
  t.true(total >= 100, `${total} retries in all: the allowance is used`);
});

// Guards against attempts that never left the daemon using up the retry budget, so that requests are refused.
test('requests whose first engine is down go to another one without using the retry budget', async (t) => {
  const site = new ExecutionSite(BOUNDS);
  site.isDown = true;
  await site.run(PER_SECOND, 20_000);
  t.is(site.record.retryTimes().length, 0);
  t.is(site.arrived, PER_SECOND * 20);
});
