/** Retries stay within the users' allowance, in every window and summed over all daemons. */
import type { TimerService } from '@celeryyoke/core';
import { createManualTimers } from '@celeryyoke/core';
import type { MemberRecord } from '@celeryyoke/routing';
import { BucketedCounts, FleetShare, PauseDetector, RetryBudget } from '@celeryyoke/routing';
import test from 'ava';

const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 54 };

/** Reserves a retry that arrives at once; false when the budget does not allow one. */
function spendOne(budget: RetryBudget): boolean {
  const permit = budget.reserve();
  permit?.settle();
  return permit !== undefined;
}

/**
 * Makes the budget of a daemon; one that starts for the first time has its part of the fixed number at once.
 */
function makeBudget(
  timers: TimerService,
  daemons: () => number,
  isFirstStart = true,
  seeds: readonly string[] = [],
): RetryBudget {
  const share = new FleetShare({
    self: 'a:1',
    cluster: {
      aliveAddresses: () => Array.from({ length: daemons() }, (_, index) => `d${index}`),
      aliveOrSilentCount: daemons,
      member: () => ({}) as MemberRecord,
      onMemberChange: () => undefined,
    },
    seeds: () => seeds,
    isUpToDate: () => true,
    isFirstStart,
    windowMs: BOUNDS.windowMs,
    timers,
  });
  return new RetryBudget({
    bounds: BOUNDS,
    share: () => share.ownShare(),
    resumedAt: () => Number.NEGATIVE_INFINITY,
    timers,
  });
}

test('the fixed number of retries is divided between the daemons', (t) => {
  const timers = createManualTimers();
  const budgets = Array.from({ length: 7 }, () => makeBudget(timers, () => 7));
  let spent = 0;
  for (const budget of budgets) while (spendOne(budget)) spent += 1;
  t.true(spent <= BOUNDS.slack);
  t.true(spent >= 30);
});

test('no window contains more retries than the requests of a window allow', async (t) => {
  const timers = createManualTimers();
  const budget = makeBudget(timers, () => 1);
  const spentAt: number[] = [];
  for (let second = 0; second < 60; second += 1) {
    for (let count = 0; count < 10; count += 1) budget.countRequest();
    while (spendOne(budget)) spentAt.push(timers.now());
    await timers.advance(1000);
  }
  const allowed = BOUNDS.ratio * 110 + BOUNDS.slack;
  for (const from of spentAt) {
    const inWindow = spentAt.filter((at) => at >= from && at < from + BOUNDS.windowMs).length;
    t.true(inWindow <= allowed, `${inWindow} in the window from ${from}`);
  }
  t.true(spentAt.length > 100, 'the budget is replenished');
});

/** Spends all that some budgets allow; returns the number of retries. */
function spendAll(budgets: readonly RetryBudget[]): number {
  let spent = 0;
  for (const budget of budgets) while (spendOne(budget)) spent += 1;
  return spent;
}

// Guards against each start of a process getting its part of the fixed number anew: restarts within a window
// would then multiply it.
test('daemons that restart within a window get no part of the fixed number for that window', async (t) => {
  const timers = createManualTimers();
  let spent = 0;
  for (let start = 0; start < 4; start += 1) {
    const budgets = Array.from({ length: 8 }, () => makeBudget(timers, () => 8, start === 0));
    spent += spendAll(budgets);
    await timers.advance(2400);
  }
  t.log(spent);
  t.true(spent <= BOUNDS.slack);
  const restarted = makeBudget(timers, () => 8, false);
  await timers.advance(BOUNDS.windowMs);
  t.true(spendAll([restarted]) >= 5);
});

// Guards against surviving daemons taking over parts that stopped daemons have spent already.
test('parts that stopped daemons have spent are not spent again in the same window', async (t) => {
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

// Guards against a daemon that is partitioned from its start on taking the whole fixed number.
test('a daemon that has met none of the others has no part of the fixed number', (t) => {
  const timers = createManualTimers();
  t.is(spendAll([makeBudget(timers, () => 1, true, ['a:1', 'b:1'])]), 0);
  t.true(spendAll([makeBudget(timers, () => 7, true, ['a:1', 'b:1'])]) > 0);
  t.true(spendAll([makeBudget(timers, () => 1, true, ['a:1'])]) >= 30);
});

// Guards against retries that leave the count one window after their reservation, but arrive later than that.
test('a retry counts from its reservation until a window after its arrival', async (t) => {
  const timers = createManualTimers();
  const budget = makeBudget(timers, () => 1);
  const before = budget.available();
  const [late, unsent] = [budget.reserve()!, budget.reserve()!];
  t.is(budget.available(), before - 2);
  unsent.release();
  unsent.settle();
  t.is(budget.available(), before - 1);
  await timers.advance(3 * BOUNDS.windowMs);
  t.is(budget.available(), before - 1);
  late.settle();
  late.settle();
  await timers.advance(BOUNDS.windowMs - 1);
  t.is(budget.available(), before - 1);
  await timers.advance(BOUNDS.windowMs / 10);
  t.is(budget.available(), before);
});

// Guards against requests from before a suspension, in which the monotonic clock stands still, that count as recent.
test('requests from before a suspension of the machine bring no retries after it', async (t) => {
  const timers = createManualTimers();
  let suspendedMs = 0;
  const pauses = new PauseDetector({ ...timers, wall: () => timers.wall() + suspendedMs }, () => undefined);
  const resumedAt = (): number => pauses.suspensionEndedAt;
  const budget = new RetryBudget({ bounds: BOUNDS, share: () => 0, resumedAt, timers });
  for (let count = 0; count < 100; count += 1) budget.countRequest();
  t.true(budget.available() >= 10);
  suspendedMs = 9000;
  t.true(budget.available() <= 0);
  for (let count = 0; count < 100; count += 1) budget.countRequest();
  t.true(budget.available() >= 10);
});

/** Makes a budget that has requests only, and no part of the fixed number. */
function makeRequestBudget(timers: TimerService): RetryBudget {
  return new RetryBudget({
    bounds: BOUNDS,
    share: () => 0,
    resumedAt: () => Number.NEGATIVE_INFINITY,
    timers,
  });
}

// Guards against a process that spends the share of a whole window at one moment, of which its successor knows nothing.
test('requests bring half of their retries at one moment, and for half a window only', async (t) => {
  const timers = createManualTimers();
  const budget = makeRequestBudget(timers);
  for (let count = 0; count < 100; count += 1) budget.countRequest();
  const half = (100 * BOUNDS.ratio) / 2;
  t.is(budget.available(), half);
  await timers.advance(BOUNDS.windowMs / 4);
  t.is(budget.available(), half);
  await timers.advance(BOUNDS.windowMs / 4);
  t.is(budget.available(), 0);
});

// Guards against a budget that is safe because it allows far less than the requests of a window do at an even rate.
test('requests at an even rate bring 0.7 of their retries at least', async (t) => {
  const timers = createManualTimers();
  const budget = makeRequestBudget(timers);
  const spentAt: number[] = [];
  for (let ms = 0; ms < 6 * BOUNDS.windowMs; ms += 50) {
    budget.countRequest();
    while (spendOne(budget)) spentAt.push(ms);
    await timers.advance(50);
  }
  const spent = spentAt.filter((at) => at >= 2 * BOUNDS.windowMs).length;
  const requests = (4 * BOUNDS.windowMs) / 50;
  t.true(spent >= 0.7 * BOUNDS.ratio * requests, `${spent} retries for ${requests} requests`);
});

// Guards against a retry that waits until its requests are too old to pay for it, and is then not paid for at all.
test('a retry that is sent after its requests have become too old is paid by those that follow', async (t) => {
  const timers = createManualTimers();
  const budget = makeRequestBudget(timers);
  for (let count = 0; count < 100; count += 1) budget.countRequest();
  const permit = budget.reserve()!;
  await timers.advance(BOUNDS.windowMs / 2);
  permit.send();
  for (let count = 0; count < 10; count += 1) budget.countRequest();
  t.true(budget.available() < 1, `${budget.available()} left`);
});

// Guards against counts that nobody asks for and that are kept for as long as the process runs.
test('a service that is never retried keeps the requests of the last seconds only', (t) => {
  const counts = new BucketedCounts(250, 60);
  const sizeAfter = (from: number, to: number): number => {
    for (let now = from; now < to; now += 100) counts.add(now);
    return JSON.stringify(counts).length;
  };
  const atFirst = sizeAfter(0, BOUNDS.windowMs);
  const later = sizeAfter(BOUNDS.windowMs, 100 * BOUNDS.windowMs);
  t.true(later < 2 * atFirst, `${later} characters, ${atFirst} at first`);
});

// Guards against reports that don't tell retries that wait for their arrival from those that arrive at once.
test('a report tells how long retries wait between reservation and arrival', async (t) => {
  const timers = createManualTimers();
  const budget = makeBudget(timers, () => 1);
  const [slow, quick] = [budget.reserve()!, budget.reserve()!];
  quick.settle();
  await timers.advance(2500);
  t.like(budget.report(), { longestWaitMs: 0, oldestPendingMs: 2500, pending: 1 });
  slow.settle();
  t.like(budget.report(), { longestWaitMs: 2500, oldestPendingMs: 0, pending: 0 });
  t.like(budget.report(), { longestWaitMs: 0, settled: 2 });
});
