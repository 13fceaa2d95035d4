/** Tests how the owner of an account charges requests and publishes the state of the bucket. */
import { createManualTimers } from '@celeryyoke/core';
import type { QuotaRow } from '@celeryyoke/routing';
import { LedgerStart, QuotaLedger, QuotaTable, QuotaUnit } from '@celeryyoke/routing';
import test from 'ava';

import { log } from '../fakes.js';

const QUOTA = { unit: QuotaUnit.Tokens, ratePerSecond: 1000, burst: 1000, plainTokens: 1 };
const WINDOW_MS = 8000;

function setUp(start = LedgerStart.Fresh) {
  const timers = createManualTimers();
  const rows = new QuotaTable();
  const published: QuotaRow[] = [];
  const fleet = { aliveShare: 1 };
  const ledger = new QuotaLedger({
    self: 'a',
    windowMs: WINDOW_MS,
    timers,
    log,
    rows,
    owns: () => true,
    start: () => start,
    aliveShare: () => fleet.aliveShare,
    publish: (row) => published.push(row),
  });
  const charge = (units: number) => ledger.charge(QUOTA, { account: 'amber', units });
  return { timers, rows, published, fleet, ledger, charge };
}

test('a large request is admitted like a small one, and its overdraft is refilled first', (t) => {
  const { timers, charge } = setUp();
  t.true(charge(900).isAdmitted);
  t.true(charge(3000).isAdmitted);
  const { isAdmitted, blockedMs } = charge(1);
  t.false(isAdmitted);
  // The level is 2,900 units below zero; the refill is the rate plus an eighth of the burst per second.
  t.true(blockedMs > 2570 && blockedMs < 2590, `${blockedMs}`);
  timers.advanceSync(blockedMs + 1);
  t.true(charge(1).isAdmitted);
});

// Guards against a part of an account's quota that is kept from some of its requests.
test('requests use the whole quota of their account in the order of their arrival', (t) => {
  const { charge } = setUp();
  const admitted = Array.from({ length: 20 }, () => charge(100).isAdmitted);
  t.is(admitted.indexOf(false), QUOTA.burst / 100);
  t.false(admitted.slice(QUOTA.burst / 100).includes(true));
});

test('all requests are admitted while demand is below the quota', (t) => {
  const { timers, charge } = setUp();
  for (let at = 0; at < 10_000; at += 200) {
    t.true(charge(100).isAdmitted);
    timers.advanceSync(200);
  }
});

test('refused requests get increasing retry times', (t) => {
  const { charge } = setUp();
  charge(1000);
  const times = Array.from({ length: 5 }, () => charge(500).retryAfterMs);
  for (let index = 1; index < times.length; index += 1) t.true(times[index]! > times[index - 1]! + 400);
});

test('the owner publishes when an account becomes guarded, each second after, and when it is open', (t) => {
  const { timers, published, ledger, charge } = setUp();
  charge(600);
  charge(10);
  t.deepEqual(
    published.map(({ isGuarded }) => isGuarded),
    [true],
  );
  for (let step = 0; step < 30; step += 1) {
    timers.advanceSync(100);
    ledger.tick();
  }
  t.false(published.at(-1)!.isGuarded);
  t.true(published.length <= 3);
});

test('a new owner takes over the level from the last row of the previous owner', (t) => {
  const { timers, rows, charge } = setUp(LedgerStart.Running);
  const row = { account: 'amber', owner: 'b', sequence: 5, level: -500, charged: 9000, isGuarded: true };
  rows.merge(row, timers.now());
  t.false(charge(1).isAdmitted);
  timers.advanceSync(400);
  t.false(charge(1).isAdmitted);
});

test('units charged by another owner are charged here as well', (t) => {
  const { ledger, charge } = setUp();
  charge(1);
  const row = { account: 'amber', owner: 'b', sequence: 1, level: 999, charged: 1, isGuarded: true };
  ledger.reconcile(row);
  ledger.reconcile({ ...row, sequence: 2, charged: 1500 });
  t.false(charge(1).isAdmitted);
});

test('an owner that reaches half of the fleet admits half of the quota', (t) => {
  const { timers, fleet, charge } = setUp();
  fleet.aliveShare = 0.5;
  let units = 0;
  for (let at = 0; at < WINDOW_MS; at += 10) {
    if (charge(50).isAdmitted) units += 50;
    timers.advanceSync(10);
  }
  t.true(units <= (8000 + 1000) / 2 + 50 && units >= 4000, `${units}`);
});

test('a lowered quota takes effect immediately', (t) => {
  const { timers, ledger, charge } = setUp();
  for (let at = 0; at < 4000; at += 50) {
    charge(50);
    timers.advanceSync(50);
  }
  const low = { ...QUOTA, ratePerSecond: 50, burst: 50 };
  let units = 0;
  for (let at = 0; at < 4000; at += 50) {
    if (ledger.charge(low, { account: 'amber', units: 50 }).isAdmitted) units += 50;
    timers.advanceSync(50);
  }
  t.true(units <= 100, `${units}`);
});
