/** Repeats are bounded where they are counted: at the replicas, when they arrive. */
import test from 'ava';

import { ExecutionSite } from './execution-site.js';

const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 54 };
const PER_SECOND = 20;

/** Plays an engine that refuses everything from 10 s on, with something in the way of the repeats until 13.8 s. */
async function playObstacle(obstruct: (site: ExecutionSite, isObstructed: boolean) => void) {
  const site = new ExecutionSite(BOUNDS);
  await site.play(PER_SECOND, 10_000);
  site.isRefusing = true;
  obstruct(site, true);
  await site.play(PER_SECOND, 3800);
  obstruct(site, false);
  await site.play(PER_SECOND, 16_000);
  const { record } = site;
  return { worst: record.windows(BOUNDS)[0]!, total: record.repeats().length };
}

// Guards against repeats that are paid for in one window and sent in the next, when their adapters can be loaded again.
test('repeats that have waited for their adapters keep to the allowance of a window when they are sent', async (t) => {
  const { worst, total } = await playObstacle((site, isObstructed) => {
    Object.assign(site, { canLoad: !isObstructed });
  });
  t.log(worst);
  t.true(worst.repeats <= worst.allowed, `${worst.repeats} repeats, allowed ${worst.allowed}`);
  t.true(total >= 100, `${total} repeats in all: what is allowed is used`);
});

// Guards against repeats that a partition holds up and that arrive together with those sent after it.
test('repeats that were held up on the way keep to the allowance of a window when they arrive', async (t) => {
  const { worst, total } = await playObstacle((site, isObstructed) => site.holdWay(isObstructed));
  t.log(worst);
  t.true(worst.repeats <= worst.allowed, `${worst.repeats} repeats, allowed ${worst.allowed}`);
  t.true(total >= 100, `${total} repeats in all: what is allowed is used`);
});

// Guards against requests that are refused for want of repeats though none of their sends has left the daemon.
test('requests whose first engine is down go to another one, however many', async (t) => {
  const site = new ExecutionSite(BOUNDS);
  site.isDown = true;
  await site.play(PER_SECOND, 20_000);
  t.is(site.record.repeats().length, 0);
  t.is(site.arrived, PER_SECOND * 20);
});
