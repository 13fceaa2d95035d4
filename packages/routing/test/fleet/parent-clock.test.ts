/** Ages that travel between two clocks are never made younger. */
import { decodeBatch, encodeBatch, ParentClock } from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

/** Own time at which the parent's clock shows 0. */
const OFFSET_MS = 5000;

test('what a parent confirmed is never younger here than it was there', (t) => {
  const wayMs = fc.integer({ min: 0, max: 3000 });
  fc.assert(
    fc.property(wayMs, wayMs, wayMs, fc.array(wayMs), (askMs, answerMs, lastMs, earlierMs) => {
      const clock = new ParentClock();
      clock.recordExchange(OFFSET_MS, askMs, OFFSET_MS + askMs + answerMs);
      for (const ms of earlierMs) clock.recordMessage(10_000, OFFSET_MS + 10_000 + ms);
      const sentAt = 20_000;
      const heardAt = OFFSET_MS + sentAt + lastMs;
      clock.recordMessage(sentAt, heardAt);
      const elapsedMs = clock.maxElapsedMs(sentAt, heardAt);
      return (
        elapsedMs >= lastMs && elapsedMs <= lastMs + askMs && clock.toParentTime(heardAt)! <= sentAt + lastMs
      );
    }),
  );
  t.pass();
});

test('nothing is fresh before the clocks were compared', (t) => {
  const clock = new ParentClock();
  t.is(clock.maxElapsedMs(100, OFFSET_MS), Number.POSITIVE_INFINITY);
  t.is(clock.toParentTime(OFFSET_MS), undefined);
});

test('a clock that stood still, here or there, is noticed with the next message or exchange', (t) => {
  const clock = new ParentClock();
  clock.recordExchange(OFFSET_MS, 1, OFFSET_MS + 2);
  // This daemon was suspended for two seconds, which its clock did not count.
  clock.recordMessage(10_000, OFFSET_MS + 8003);
  t.true(clock.maxElapsedMs(10_000, OFFSET_MS + 8503) >= 500);
  // The parent was suspended for four.
  clock.recordExchange(OFFSET_MS + 20_000, 18_001, OFFSET_MS + 20_002);
  t.true(clock.maxElapsedMs(19_000, OFFSET_MS + 21_010) <= 12);
  t.true(clock.toParentTime(OFFSET_MS + 21_000)! <= 19_000);
});

test('a batch reads as it was written, and one of a daemon that sends no clock has none', (t) => {
  const batch = {
    rows: [],
    delta: undefined,
    upTo: 7,
    ageMs: 40,
    clock: 123,
    rootSequence: 5,
    digest: undefined,
  };
  const frame = encodeBatch(batch);
  t.deepEqual(decodeBatch(frame), batch);
  t.deepEqual(decodeBatch(frame.slice(0, 6)), { ...batch, clock: undefined });
});
