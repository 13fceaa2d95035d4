/** Repeats stay within the users' allowance, in every window and over all daemons. */
import type { TimerService } from '@celeryyoke/core';
import { createManualTimers } from '@celeryyoke/core';
import type { MemberRecord } from '@celeryyoke/routing';
import { FleetShare, RepeatBudget } from '@celeryyoke/routing';
import test from 'ava';

const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 54 };

/** Has a repeat arrive at once, if it is allowed. */
function spend(budget: RepeatBudget): boolean {
  const permit = budget.reserve();
  permit?.settle();
  return permit !== undefined;
}

/** A daemon's budget; one that starts for the first time has its fixed part at once. */
function makeBudget(
  timers: TimerService,
  daemons: () => number,
  isFirstStart = true,
  seeds: readonly string[] = [],
): RepeatBudget {
  const share = new FleetShare({
    self: 'a:1',
    cluster: {
      alive: () => Array.from({ length: daemons() }, (_, index) => `d${index}`),
      possible: daemons,
      member: () => ({}) as MemberRecord,
      onMemberChange: () => undefined,
    },
    seeds: () => seeds,
    isUpToDate: () => true,
    isFirstStart,
    windowMs: BOUNDS.windowMs,
    timers,
  });
  return new RepeatBudget({ bounds: BOUNDS, share: () => share.own(), timers });
}

test('the fixed part is divided between the daemons', (t) => {
  const timers = createManualTimers();
  const budgets = Array.from({ length: 7 }, () => makeBudget(timers, () => 7));
  let spent = 0;
  for (const budget of budgets) while (spend(budget)) spent += 1;
  t.true(spent <= BOUNDS.slack);
  t.true(spent >= 30);
});

test('no window holds more than the requests of a window allow', async (t) => {
  const timers = createManualTimers();
  const budget = makeBudget(timers, () => 1);
  const spentAt: number[] = [];
  for (let second = 0; second < 60; second += 1) {
    for (let count = 0; count < 10; count += 1) budget.earn();
    while (spend(budget)) spentAt.push(timers.now());
    await timers.advance(1000);
  }
  const allowed = BOUNDS.ratio * 110 + BOUNDS.slack;
  for (const from of spentAt) {
    const inWindow = spentAt.filter((at) => at >= from && at < from + BOUNDS.windowMs).length;
    t.true(inWindow <= allowed, `${inWindow} in the window from ${from}`);
  }
  t.true(spentAt.length > 100, 'what was spent comes back');
});

/** Spends all that some budgets allow; the result is the number of repeats. */
function spendAll(budgets: readonly RepeatBudget[]): number {
  let spent = 0;
  for (const budget of budgets) while (spend(budget)) spent += 1;
  return spent;
}

// Guards against a fixed part that each life of a process gets anew, so that restarts within a window multiply it.
test('daemons that start again within a window have no fixed part left to spend', async (t) => {
  const timers = createManualTimers();
  let spent = 0;
  for (let life = 0; life < 4; life += 1) {
    const budgets = Array.from({ length: 8 }, () => makeBudget(timers, () => 8, life === 0));
    spent += spendAll(budgets);
    await timers.advance(2400);
  }
  t.log(spent);
  t.true(spent <= BOUNDS.slack);
  const restarted = makeBudget(timers, () => 8, false);
  await timers.advance(BOUNDS.windowMs);
  t.true(spendAll([restarted]) >= 5);
});

// Guards against the survivors taking over shares that the daemons which ended have spent.
test('the fixed part of those that ended is not spent again by the others in the same window', async (t) => {
  const timers = createManualTimers();
  let alive = 8;
  const budgets = Array.from({ length: 8 }, () => makeBudget(timers, () => alive));
  let spent = spendAll(budgets);
  alive = 1;
  await timers.advance(1000);
  spent += spendAll(budgets.slice(0, 1));
  t.log(spent);
  t.true(spent <= BOUNDS.slack);
  await timers.advance(BOUNDS.windowMs + 1000);
  t.true(spendAll(budgets.slice(0, 1)) >= 30);
});

// Guards against a daemon that is cut off from its start on and takes the whole fixed part for its own.
test('a daemon that meets none of the others has no fixed part', (t) => {
  const timers = createManualTimers();
  t.is(spendAll([makeBudget(timers, () => 1, true, ['a:1', 'b:1'])]), 0);
  t.true(spendAll([makeBudget(timers, () => 7, true, ['a:1', 'b:1'])]) > 0);
  t.true(spendAll([makeBudget(timers, () => 1, true, ['a:1'])]) >= 30);
});

// Guards against repeats that leave the count a window after they were asked for, and arrive later than that.
test('a repeat counts from its reservation until a window after its arrival', async (t) => {
  const timers = createManualTimers();
  const budget = makeBudget(timers, () => 1);
  const before = budget.left();
  const [late, unsent] = [budget.reserve()!, budget.reserve()!];
  t.is(budget.left(), before - 2);
  unsent.release();
  unsent.settle();
  t.is(budget.left(), before - 1);
  await timers.advance(3 * BOUNDS.windowMs);
  t.is(budget.left(), before - 1);
  late.settle();
  late.settle();
  await timers.advance(BOUNDS.windowMs - 1);
  t.is(budget.left(), before - 1);
  await timers.advance(BOUNDS.windowMs / 10);
  t.is(budget.left(), before);
});
