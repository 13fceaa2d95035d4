/** Repeats stay within the users' allowance, in every window and over all daemons. */
import { createManualTimers } from '@celeryyoke/core';
import { RepeatBudget } from '@celeryyoke/routing';
import test from 'ava';

const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 54 };

test('the fixed part is divided between the daemons', (t) => {
  const timers = createManualTimers();
  const budgets = Array.from({ length: 7 }, () => new RepeatBudget(BOUNDS, () => 7, timers));
  let spent = 0;
  for (const budget of budgets) while (budget.spend()) spent += 1;
  t.true(spent <= BOUNDS.slack);
  t.true(spent >= 30);
});

test('no window holds more than the requests of a window allow', async (t) => {
  const timers = createManualTimers();
  const budget = new RepeatBudget(BOUNDS, () => 1, timers);
  const spentAt: number[] = [];
  for (let second = 0; second < 60; second += 1) {
    for (let count = 0; count < 10; count += 1) budget.earn();
    while (budget.spend()) spentAt.push(timers.now());
    await timers.advance(1000);
  }
  const allowed = BOUNDS.ratio * 110 + BOUNDS.slack;
  for (const from of spentAt) {
    const inWindow = spentAt.filter((at) => at >= from && at < from + BOUNDS.windowMs).length;
    t.true(inWindow <= allowed, `${inWindow} in the window from ${from}`);
  }
  t.true(spentAt.length > 100, 'what was spent comes back');
});
