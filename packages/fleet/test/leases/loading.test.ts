/**
 * Faults of loads and engines: orders that fail or get no response, restarts, leaving engines, missing
 * reports.
 */
import { SlotState } from '@celeryyoke/placement';
import test from 'ava';

import { OrderFault } from './fakeEngine.js';
import type { TestSiteOptions } from './site.js';
import { TestSite } from './site.js';

const neverAborted = new AbortController().signal;
const FIRST_ENGINE = 'engine-1';
const SECOND_ENGINE = 'engine-2';

async function startSite(options: Partial<TestSiteOptions> = {}): Promise<TestSite> {
  const site = new TestSite({ daemons: ['a', 'b'], engines: 1, slots: 1, lagMs: 100, ...options });
  await site.run(6000);
  return site;
}

test('a load that fails is retried, and the request gets its lease', async (t) => {
  const site = await startSite();
  site.engine(FIRST_ENGINE).faults.push(OrderFault.Fail);
  const pending = site.daemon('b').dispatcher.acquire(site.createRequest('x@1'), neverAborted);
  await site.run(5000);
  t.true((await pending).isValid());
  t.deepEqual(site.engine(FIRST_ENGINE).loads, ['x@1']);
  await site.stop();
});

test('a load that fails on both engines once is retried, and the request gets its lease', async (t) => {
  const site = await startSite({ engines: 2 });
  for (const name of [FIRST_ENGINE, SECOND_ENGINE]) site.engine(name).faults.push(OrderFault.Fail);
  const pending = site.daemon('b').dispatcher.acquire(site.createRequest('x@1'), neverAborted);
  await site.run(8000);
  t.true((await pending).isValid());
  await site.stop();
});

for (const fault of [OrderFault.LoseResponse, OrderFault.LoseOrder]) {
  test(`the outcome of a load order without a response (${fault}) is taken from reports`, async (t) => {
    const site = await startSite({ times: { loadTimeoutMs: 1500, sendBoundMs: 300 } });
    site.engine(FIRST_ENGINE).faults.push(fault);
    const pending = site.daemon('b').dispatcher.acquire(site.createRequest('x@1'), neverAborted);
    await site.run(1000);
    t.is(site.daemon('a').owners.ownedEngines()[0]?.slots[0]?.state, SlotState.Loading);
    await site.run(6000);
    t.true((await pending).isValid());
    t.deepEqual(site.engine(FIRST_ENGINE).loads, ['x@1']);
    await site.stop();
  });

  test(`the outcome of an unload order without a response (${fault}) is taken from reports`, async (t) => {
    const site = await startSite({ times: { unloadTimeoutMs: 500, sendBoundMs: 300 } });
    const first = site.daemon('b').dispatcher.acquire(site.createRequest('x@1'), neverAborted);
    await site.run(1000);
    (await first).release(true);
    site.engine(FIRST_ENGINE).faults.push(fault);
    const pending = site.daemon('b').dispatcher.acquire(site.createRequest('y@1'), neverAborted);
    await site.run(8000);
    t.true((await pending).isValid());
    t.deepEqual(site.engine(FIRST_ENGINE).loads, ['x@1', 'y@1']);
    t.deepEqual(site.violations(), []);
    await site.stop();
  });
}

test('an engine that restarts empty refuses requests under old leases and loads again', async (t) => {
  const site = await startSite({ slots: 2 });
  const { dispatcher } = site.daemon('b');
  const first = dispatcher.acquire(site.createRequest('x@1'), neverAborted);
  await site.run(1000);
  const lease = await first;
  site.engine(FIRST_ENGINE).restart();
  t.false(site.engine(FIRST_ENGINE).start('late', 'x@1'));
  lease.release(true);
  await site.run(1500);
  const again = dispatcher.acquire(site.createRequest('x@1'), neverAborted);
  await site.run(1500);
  t.true((await again).isValid());
  t.true(site.engine(FIRST_ENGINE).isReady('x@1'));
  await site.stop();
});

test('a lease on a leaving engine becomes invalid, and new requests go to another engine', async (t) => {
  const site = await startSite({ engines: 2 });
  const first = site.daemon('b').dispatcher.acquire(site.createRequest('x@1'), neverAborted);
  await site.run(1000);
  const lease = await first;
  const { name } = lease.engine;
  const second = site.daemon('b').dispatcher.acquire(site.createRequest('x@1'), neverAborted);
  (await second).release(true);
  for (const { view } of site.daemons.values()) {
    view.leaving.add(name);
    view.notifyListeners();
  }
  t.false(lease.isValid());
  const next = site.daemon('b').dispatcher.acquire(site.createRequest('x@1'), neverAborted);
  await site.run(2000);
  t.not((await next).engine.name, name);
  await site.stop();
});

test('no lease is granted on an engine that does not report, until it reports again', async (t) => {
  const site = await startSite();
  site.engine(FIRST_ENGINE).isDown = true;
  await site.run(2000);
  const refused = site.daemon('b').dispatcher.acquire(site.createRequest('x@1', 1000), neverAborted);
  const failed = t.throwsAsync(refused, { name: 'NoUpstream' });
  await site.run(1000);
  await failed;
  site.engine(FIRST_ENGINE).isDown = false;
  await site.run(1000);
  const pending = site.daemon('b').dispatcher.acquire(site.createRequest('x@1'), neverAborted);
  await site.run(2000);
  t.true((await pending).isValid());
  await site.stop();
});
