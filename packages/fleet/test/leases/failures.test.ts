/** Single failures, each with the mechanism that guards against it and without. */
import test from 'ava';

import type { LeaseTimes } from '../../src/index.js';
import { CallerTraffic } from './callerTraffic.js';
import type { TestSiteOptions } from './site.js';
import { TestSite } from './site.js';

const neverAborted = new AbortController().signal;
const ENGINE = 'engine-1';
const SLOW_UNLOAD_MS = 100;
const TIMES: Partial<LeaseTimes> = {
  leaseMs: 1000,
  renewMs: 200,
  lingerMs: 5000,
  sendBoundMs: 300,
  callTimeoutMs: 300,
  reportMs: 100,
  reportLagMs: 450,
  loadTimeoutMs: 2000,
  unloadTimeoutMs: 500,
};
/** Times of an owner that does not wait for requests which arrive late at the engine. */
const NO_BOUNDS: Partial<LeaseTimes> = { sendBoundMs: -2000, reportMs: 20 };

/** Starts a site of one engine with one slot, whose reports lag. */
async function startSite(options: Partial<TestSiteOptions> = {}): Promise<TestSite> {
  const common = {
    engines: 1,
    slots: 1,
    loadsPerSecond: 20,
    lagMs: 400,
    unloadMs: SLOW_UNLOAD_MS,
    loadMs: 100,
    times: TIMES,
  };
  const site = new TestSite({ daemons: ['a', 'b', 'c'], ...common, ...options });
  await site.run(3000);
  return site;
}

/** Loads an adapter for a daemon and leaves the daemon with an idle lease on it. */
async function acquireIdleLease(site: TestSite, daemon: string, key: string): Promise<void> {
  const pending = site.daemon(daemon).dispatcher.acquire(site.createRequest(key), neverAborted);
  await site.run(1000);
  (await pending).release(true);
  await site.run(300);
}

/** Runs until the engine begins to unload an adapter; false when it did not within the limit. */
async function untilUnloading(site: TestSite, key: string, limitMs: number): Promise<boolean> {
  for (let waited = 0; waited < limitMs; waited += 10) {
    if (site.engine(ENGINE).isUnloading(key)) return true;
    await site.run(10);
  }
  return false;
}

for (const skipsLeaseCheck of [false, true]) {
  const outcome = skipsLeaseCheck
    ? 'causes a violation without the lease check'
    : 'causes no violation with the lease check';
  test(`a holder that resumes after its lease has expired ${outcome}`, async (t) => {
    const site = await startSite();
    await acquireIdleLease(site, 'b', 'x@1');
    const traffic = new CallerTraffic({ site, serviceMs: 500, sendDelayMs: 5, skipsLeaseCheck });
    site.daemon('b').process.pauseBeforeSend();
    void traffic.send('b', 'x@1', 10_000);
    await site.run(50);
    void site.daemon('a').dispatcher.acquire(site.createRequest('y@1'), neverAborted);
    t.true(await untilUnloading(site, 'x@1', 10_000));
    site.daemon('b').process.resume();
    await site.run(1000);
    t.is(site.violations().length, skipsLeaseCheck ? 1 : 0);
    await site.stop();
  });
}

for (const hasBounds of [true, false]) {
  const outcome = hasBounds ? 'is waited for' : 'is interrupted by an owner without bounds';
  test(`a request that starts just before a lease that can't be renewed expires ${outcome}`, async (t) => {
    const site = await startSite(hasBounds ? {} : { timesOf: { a: NO_BOUNDS } });
    await acquireIdleLease(site, 'b', 'x@1');
    site.net.blockDirection('b', 'a');
    site.net.blockDirection('a', 'b');
    await site.run(750);
    const traffic = new CallerTraffic({ site, serviceMs: 3000, sendDelayMs: 100 });
    void traffic.send('b', 'x@1', 10_000);
    void site.daemon('a').dispatcher.acquire(site.createRequest('y@1', 20_000), neverAborted);
    await site.run(3000);
    t.is(site.violations().length, hasBounds ? 0 : 1);
    if (hasBounds) t.is(site.engine(ENGINE).runningRequests(), 1);
    await site.run(5000);
    t.true(!hasBounds || site.engine(ENGINE).isReady('y@1'));
    await site.stop();
  });

  test(`after an owner change a lease that is unknown to the new owner ${outcome}`, async (t) => {
    const noBounds = { ...NO_BOUNDS, leaseMs: 0 };
    const site = await startSite(hasBounds ? {} : { timesOf: { c: noBounds } });
    await acquireIdleLease(site, 'b', 'x@1');
    site.net.blockDirection('b', 'c');
    site.net.blockDirection('c', 'b');
    site.setOwner('c');
    const traffic = new CallerTraffic({ site, serviceMs: 3000, sendDelayMs: 5 });
    void site.daemon('c').dispatcher.acquire(site.createRequest('y@1', 20_000), neverAborted);
    t.is(await untilUnloading(site, 'x@1', 700), !hasBounds);
    void traffic.send('b', 'x@1', 10_000);
    await site.run(3000);
    t.is(site.violations().length, hasBounds ? 0 : 1);
    await site.run(6000);
    t.true(!hasBounds || site.engine(ENGINE).isReady('y@1'));
    await site.stop();
  });
}

/**
 * Pauses the owner `a` while `c` takes over, then resumes it. `d` does not know of the change and requests a
 * lease from `a`, for which `a` would have to evict an adapter. `b` sends a request under a lease from `c` as
 * soon as the engine unloads that adapter.
 * @returns Whether the engine began to unload it.
 */
async function resumeOldOwner(site: TestSite): Promise<boolean> {
  await acquireIdleLease(site, 'b', 'x@1');
  const { view, process } = site.daemon('a');
  const { view: newOwnerView } = site.daemon('c');
  process.pause();
  site.setOwner('c', site.timers.now() + 1500, ['b', 'c']);
  newOwnerView.requiresClaim = site.options.fencing ?? false;
  view.authorityEndsAt = site.timers.now() + 1000;
  await site.run(4000);
  await acquireIdleLease(site, 'b', 'x@1');
  process.resume();
  void site.daemon('d').dispatcher.acquire(site.createRequest('y@1', 30_000), neverAborted);
  const isUnloading = await untilUnloading(site, 'x@1', 5000);
  void new CallerTraffic({ site, serviceMs: 1000, sendDelayMs: 5 }).send('b', 'x@1', 10_000);
  await site.run(500);
  return isUnloading;
}

const FOUR_DAEMONS = ['a', 'b', 'c', 'd'];

test('an owner that resumes late, after its lease has expired, sends no order', async (t) => {
  const site = await startSite({ daemons: FOUR_DAEMONS });
  t.false(await resumeOldOwner(site));
  t.deepEqual(site.violations(), []);
  await site.stop();
});

test('an owner that resumes late and ignores its authority causes a violation', async (t) => {
  const site = await startSite({ daemons: FOUR_DAEMONS });
  site.daemon('a').view.ignoresOwnership = true;
  t.true(await resumeOldOwner(site));
  t.is(site.violations().length, 1);
  await site.stop();
});

test('an engine that honours fencing refuses the order of an owner that ignores its authority', async (t) => {
  const site = await startSite({ daemons: FOUR_DAEMONS, fencing: true });
  site.daemon('a').view.ignoresOwnership = true;
  t.false(await resumeOldOwner(site));
  t.deepEqual(site.violations(), []);
  t.true(site.engine(ENGINE).fencedOrders > 0);
  await site.stop();
});

test('a new owner gets the outstanding leases from their holders', async (t) => {
  const site = await startSite();
  const pending = site.daemon('b').dispatcher.acquire(site.createRequest('x@1'), neverAborted);
  await site.run(1000);
  site.setOwner('c');
  await site.run(1500);
  t.is(site.daemon('c').owners.ownedEngines()[0]?.leases, 1);
  t.true((await pending).isValid());
  await site.stop();
});
