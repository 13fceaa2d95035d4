/** Attempts that ended without a word from their replicas count in the retry budget until it is known that they arrived. */
import type { ManualTimerService } from '@celeryyoke/core';
import { createManualTimers } from '@celeryyoke/core';
import { LateArrivals, RetryBudget } from '@celeryyoke/routing';
import test from 'ava';

const WINDOW_MS = 10_000;
const BOUNDS = { ratio: 0.2, windowMs: WINDOW_MS, slack: 10 };
const REPLICA = { id: 'p1#1', name: 'p1' };

function setUp() {
  const timers: ManualTimerService = createManualTimers();
  const listed = new Set([REPLICA.id]);
  const lateArrivals = new LateArrivals({ timers, goneAfterMs: WINDOW_MS, isListed: (id) => listed.has(id) });
  const budget = new RetryBudget({
    bounds: BOUNDS,
    share: () => 1,
    resumedAt: () => Number.NEGATIVE_INFINITY,
    timers,
  });
  /** Sends a retry that ends without a word from its replica. */
  const sendUnheard = async (endsAfterMs = 1000): Promise<void> => {
    const permit = budget.reserve()!;
    permit.send();
    const sentAt = timers.now();
    await timers.advance(endsAfterMs);
    permit.cover(lateArrivals.track(REPLICA, sentAt));
    permit.settle();
  };
  return { timers, listed, lateArrivals, budget, sendUnheard };
}

// Guards against retries that leave the count and arrive later, when their replica goes on.
test('a retry to a replica that is not heard from counts until one window after it is', async (t) => {
  const { timers, lateArrivals, budget, sendUnheard } = setUp();
  const allowed = budget.available();
  await sendUnheard();
  await timers.advance(5 * WINDOW_MS);
  t.is(budget.available(), allowed - 1);
  lateArrivals.recordHeard(REPLICA.id);
  t.is(lateArrivals.size, 0);
  await timers.advance(WINDOW_MS / 2);
  t.is(budget.available(), allowed - 1);
  await timers.advance(WINDOW_MS);
  t.is(budget.available(), allowed);
});

// Guards against a first attempt that arrives after its retry, as the extra arrival, when the retry has left the count.
test('a retry counts until the attempt before it has arrived', async (t) => {
  const { timers, lateArrivals, budget } = setUp();
  const allowed = budget.available();
  const before = lateArrivals.track(REPLICA, timers.now());
  const permit = budget.reserve()!;
  permit.cover(before);
  permit.send();
  permit.settle();
  await timers.advance(3 * WINDOW_MS);
  t.is(budget.available(), allowed - 1);
  lateArrivals.recordHeard(REPLICA.id);
  await timers.advance(2 * WINDOW_MS);
  t.is(budget.available(), allowed);
});

test('a response that was on its way when the attempt was sent does not show that it has arrived', async (t) => {
  const { timers, lateArrivals } = setUp();
  const sentAt = timers.now();
  await timers.advance(100);
  lateArrivals.recordHeard(REPLICA.id);
  await timers.advance(1000);
  const arrival = lateArrivals.track(REPLICA, sentAt);
  t.true(arrival?.isOpen);
  lateArrivals.recordHeard(REPLICA.id);
  t.false(arrival?.isOpen);
  t.is(lateArrivals.track(REPLICA, sentAt), undefined);
});

const ENDS: Readonly<Record<string, (site: ReturnType<typeof setUp>) => Promise<void>>> = {
  'its address refuses connections': async ({ lateArrivals }) => lateArrivals.recordEnded(REPLICA.id),
  'another incarnation of it is listed': async ({ lateArrivals }) =>
    lateArrivals.recordListed({ id: 'p1#2', name: REPLICA.name }),
  'its entry is missing for a window': async ({ timers, listed, lateArrivals }) => {
    listed.clear();
    lateArrivals.recordRemoved(REPLICA.id);
    await timers.advance(WINDOW_MS + 1);
  },
};

for (const [name, end] of Object.entries(ENDS))
  // Guards against a budget that is used up for good by attempts at replicas that have ended.
  test(`a retry leaves the count when its replica has ended: ${name}`, async (t) => {
    const site = setUp();
    const allowed = site.budget.available();
    await site.sendUnheard();
    await end(site);
    t.is(site.lateArrivals.size, 0);
    await site.timers.advance(2 * WINDOW_MS);
    t.is(site.budget.available(), allowed);
  });

// Guards against a stopped replica that is taken for ended, as its entry is missing while it does not write.
test('a retry stays in the count when the entry of its replica is back', async (t) => {
  const { timers, listed, lateArrivals, sendUnheard } = setUp();
  await sendUnheard();
  listed.clear();
  lateArrivals.recordRemoved(REPLICA.id);
  await timers.advance(WINDOW_MS / 2);
  listed.add(REPLICA.id);
  await timers.advance(WINDOW_MS);
  t.is(lateArrivals.size, 1);
});
