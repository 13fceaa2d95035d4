import { createManualTimers } from '@celeryyoke/core';
import { WaitCause, WaitTimes } from '@celeryyoke/routing';
import test from 'ava';

// Guards against a log line that leaves out the wait in which a request ended, which is often the longest.
test('waits are told by cause, also one that has not ended', async (t) => {
  const timers = createManualTimers();
  const arrivedAt = timers.now();
  await timers.advance(30);
  const waits = new WaitTimes(timers, arrivedAt);
  const adapter = waits.measure(WaitCause.Adapter, timers.sleep(40));
  await timers.advance(40);
  await adapter;
  const again = waits.measure(WaitCause.Adapter, timers.sleep(100));
  await timers.advance(25);
  t.deepEqual(waits.summary(), { readMs: 30, adapterMs: 65 });
  await timers.advance(75);
  await again;
  t.deepEqual(waits.summary(), { readMs: 30, adapterMs: 140 });
});

// Guards against a failed wait that is counted as if it went on for ever.
test('a wait that fails ends', async (t) => {
  const timers = createManualTimers();
  const waits = new WaitTimes(timers, timers.now());
  await t.throwsAsync(waits.measure(WaitCause.Permit, Promise.reject(new Error('gone'))));
  await timers.advance(50);
  t.deepEqual(waits.summary(), {});
});
