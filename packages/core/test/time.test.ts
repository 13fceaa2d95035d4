/** The hand-driven timer service keeps order, pauses like a process, and ticks like the system's. */
import { createManualTimers, createSystemTimers } from '@celeryyoke/core';
import test from 'ava';
import fc from 'fast-check';

test('timers fire in order of due time, then of arrival', (t) => {
  const delays = fc.array(fc.nat(50), { minLength: 1, maxLength: 60 });
  fc.assert(
    fc.property(delays, fc.nat(60), (all, cancelled) => {
      const timers = createManualTimers();
      const fired: number[] = [];
      const handles = all.map((ms, index) => timers.after(ms, () => fired.push(index)));
      handles[cancelled]?.cancel();
      timers.advanceSync(50);
      const naive = all
        .map((ms, index) => ({ ms, index }))
        .filter(({ index }) => index !== cancelled)
        .sort((left, right) => left.ms - right.ms || left.index - right.index);
      t.deepEqual(
        fired,
        naive.map(({ index }) => index),
      );
    }),
    { seed: 1, numRuns: 200 },
  );
});

test('a timer sees the time it was due at, and late ones the time they fire at', async (t) => {
  const timers = createManualTimers({ now: 100, wall: 5000 });
  const seen: number[] = [];
  timers.after(10, () => seen.push(timers.now()));
  timers.after(30, () => seen.push(timers.now()));
  await timers.advance(15);
  timers.pause(40);
  t.deepEqual(seen, [110]);
  t.is(timers.wall(), 5055);
  await timers.advance(0);
  t.deepEqual(seen, [110, 155]);
  t.is(timers.nextDue(), undefined);
});

test('a repeated timer fires once after a pause and ends when taken back, also by itself', async (t) => {
  const timers = createManualTimers();
  const seen: number[] = [];
  const handle = timers.repeat(10, (now) => {
    seen.push(now);
    if (seen.length === 3) handle.cancel();
  });
  timers.pause(35);
  await timers.advance(25);
  t.deepEqual(seen, [35, 45, 55]);
  await timers.advance(100);
  t.is(seen.length, 3);
});

test('repeated timers of a process tick once for each multiple of their interval, so that they wake it together', async (t) => {
  const timers = createSystemTimers();
  const seen: number[] = [];
  const handle = timers.repeat(20, (now) => seen.push(now));
  await timers.sleep(230);
  handle.cancel();
  t.true(seen.length >= 2);
  // A timer may fire up to a millisecond early.
  const multiples = seen.map((now) => Math.floor((now + 1) / 20));
  t.deepEqual(
    multiples,
    [...new Set(multiples)].sort((left, right) => left - right),
  );
  const count = seen.length;
  await timers.sleep(50);
  t.is(seen.length, count);
});

test('ticks come as long as someone observes them', async (t) => {
  const timers = createManualTimers();
  const seen: number[] = [];
  const ended = timers
    .every(10)
    .take(2)
    .observe((now) => seen.push(now));
  await timers.advance(100);
  await ended;
  t.deepEqual(seen, [10, 20]);
  t.is(timers.nextDue(), undefined);
});

for (const [name, timers] of Object.entries({ manual: createManualTimers(), system: createSystemTimers() })) {
  test(`a ${name} sleep ends early with the reason of its signal`, async (t) => {
    const controller = new AbortController();
    const sleep = timers.sleep(60_000, controller.signal);
    controller.abort(new Error('enough'));
    await t.throwsAsync(sleep, { message: 'enough' });
    await t.throwsAsync(timers.sleep(1, controller.signal), { message: 'enough' });
  });
}

test('the clock of the system never goes back, and timers of no delay fire', async (t) => {
  const timers = createSystemTimers();
  const before = timers.now();
  await timers.sleep(0);
  t.true(timers.now() >= before);
});
