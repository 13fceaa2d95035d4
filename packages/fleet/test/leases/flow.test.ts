/** Leases without faults: loading, shared waits, reuse of a lease, freeing a slot, cancellation. */
import test from 'ava';

import { CallerTraffic } from './callerTraffic.js';
import { TestSite } from './site.js';

/** By this time an owner may grant leases, because those of an earlier owner have expired. */
const STARTED_MS = 5000;
const neverAborted = new AbortController().signal;

test('a request waits for its adapter to be loaded, and the next one needs no message', async (t) => {
  const site = new TestSite({ daemons: ['a', 'b'], engines: 1, slots: 2 });
  await site.run(STARTED_MS);
  const { dispatcher } = site.daemon('b');
  const first = dispatcher.acquire(site.createRequest('x@1'), neverAborted);
  await site.run(1000);
  const grant = await first;
  t.true(grant.isValid());
  t.true(grant.loadWaitMs >= 500);
  t.deepEqual(site.engine('engine-1').loads, ['x@1']);
  grant.release(true);
  site.net.blockDirection('b', 'a');
  const second = await dispatcher.acquire(site.createRequest('x@1'), neverAborted);
  t.is(second.loadWaitMs, 0);
  t.true(second.isValid());
  second.release(true);
  await site.stop();
});

test('requests of several daemons for one adapter share one load', async (t) => {
  const site = new TestSite({ daemons: ['a', 'b'], engines: 1, slots: 2 });
  await site.run(STARTED_MS);
  const grants = ['a', 'b', 'a', 'b'].map((name) =>
    site.daemon(name).dispatcher.acquire(site.createRequest('x@1'), neverAborted),
  );
  await site.run(1000);
  const leases = await Promise.all(grants);
  t.true(leases.every((grant) => grant.isValid()));
  t.deepEqual(site.engine('engine-1').loads, ['x@1']);
  await site.stop();
});

test('an idle lease is recalled to free a slot, a lease in use is not', async (t) => {
  const site = new TestSite({ daemons: ['a', 'b'], engines: 1, slots: 2 });
  await site.run(STARTED_MS);
  const { dispatcher } = site.daemon('b');
  const busy = dispatcher.acquire(site.createRequest('busy@1'), neverAborted);
  await site.run(1000);
  t.true(site.engine('engine-1').start('r-busy', 'busy@1'));
  const idle = dispatcher.acquire(site.createRequest('idle@1'), neverAborted);
  await site.run(1000);
  (await idle).release(true);
  const next = dispatcher.acquire(site.createRequest('next@1'), neverAborted);
  await site.run(1000);
  t.true((await next).isValid());
  t.true((await busy).isValid());
  t.true(site.engine('engine-1').isReady('busy@1'));
  t.false(site.engine('engine-1').isReady('idle@1'));
  t.deepEqual(site.violations(), []);
  await site.stop();
});

test('a cancelled request ends at once and no longer waits at the owner', async (t) => {
  const site = new TestSite({ daemons: ['a', 'b'], engines: 1, slots: 1 });
  await site.run(STARTED_MS);
  const abort = new AbortController();
  const cancelled = site.daemon('b').dispatcher.acquire(site.createRequest('x@1'), abort.signal);
  await site.run(50);
  abort.abort(new Error('gone'));
  await t.throwsAsync(cancelled, { message: 'gone' });
  await site.run(100);
  t.is(site.daemon('a').owners.ownedEngines()[0]?.waiting, 0);
  await site.stop();
});

test('a request that gets no slot ends at its deadline as not run', async (t) => {
  const site = new TestSite({ daemons: ['a'], engines: 1, slots: 1 });
  await site.run(STARTED_MS);
  const { dispatcher } = site.daemon('a');
  const busy = dispatcher.acquire(site.createRequest('busy@1'), neverAborted);
  await site.run(1000);
  t.true((await busy).isValid());
  const timedOut = dispatcher.acquire(site.createRequest('late@1', 3000), neverAborted);
  const failed = t.throwsAsync(timedOut, { name: 'DeadlineBeforeRun' });
  await site.run(3000);
  await failed;
  await site.stop();
});

test('a load that has waited too long gets a slot although all slots are in continuous use', async (t) => {
  const site = new TestSite({ daemons: ['a', 'b'], engines: 1, slots: 1, maxLoadWaitMs: 2000 });
  await site.run(STARTED_MS);
  const traffic = new CallerTraffic({ site, serviceMs: 300, sendDelayMs: 5 });
  const caller = site.timers.repeat(100, () => {
    void traffic.send('b', 'hot@1', 10_000);
  });
  await site.run(2000);
  const cold = site.daemon('a').dispatcher.acquire(site.createRequest('cold@1', 10_000), neverAborted);
  await site.run(3500);
  t.true((await cold).loadWaitMs >= 2000);
  t.deepEqual(site.engine('engine-1').loads, ['hot@1', 'cold@1']);
  caller.cancel();
  t.deepEqual(site.violations(), []);
  await site.stop();
});

test('daemons exchange the popularity of adapters in the heartbeat', async (t) => {
  const site = new TestSite({ daemons: ['a', 'b'], engines: 1, slots: 1 });
  await site.run(STARTED_MS);
  for (let count = 0; count < 5; count += 1) {
    const pending = site.daemon('b').dispatcher.acquire(site.createRequest('x@1'), neverAborted);
    await site.run(1000);
    (await pending).release(true);
  }
  const now = site.timers.now();
  t.true(site.daemon('a').policy.popularity('x@1', now) > 0);
  t.is(site.daemon('a').policy.popularity('x@1', now), site.daemon('b').policy.popularity('x@1', now));
  await site.stop();
});
