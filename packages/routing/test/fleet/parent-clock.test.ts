/** Conversion of ages between two clocks: no age may come out lower than it is. */
import { decodeBatch, encodeBatch, ParentClock } from '@celeryyoke/routing';
import test from 'ava';
import fc from 'fast-check';

/** Time on the child's clock at which the parent's clock shows 0, in milliseconds. */
const OFFSET_MS = 5000;

test('an age from the parent is never lower on the child’s clock', (t) => {
  const transitMs = fc.integer({ min: 0, max: 3000 });
  fc.assert(
    fc.property(
      transitMs,
      transitMs,
      transitMs,
      fc.array(transitMs),
      (requestMs, responseMs, lastMs, earlierMs) => {
        const clock = new ParentClock();
        clock.recordExchange(OFFSET_MS, requestMs, OFFSET_MS + requestMs + responseMs);
        for (const ms of earlierMs) clock.recordMessage(10_000, OFFSET_MS + 10_000 + ms);
        const sentAt = 20_000;
        const receivedAt = OFFSET_MS + sentAt + lastMs;
        clock.recordMessage(sentAt, receivedAt);
        const elapsedMs = clock.maxElapsedMs(sentAt, receivedAt);
        return (
          elapsedMs >= lastMs &&
          elapsedMs <= lastMs + requestMs &&
          clock.toParentTime(receivedAt)! <= sentAt + lastMs
        );
      },
    ),
  );
  t.pass();
});

test('before the first message no age is known', (t) => {
  const clock = new ParentClock();
  t.is(clock.maxElapsedMs(100, OFFSET_MS), Number.POSITIVE_INFINITY);
  t.is(clock.toParentTime(OFFSET_MS), undefined);
});

test('a clock that stood still is detected with the next message or exchange', (t) => {
  const clock = new ParentClock();
  clock.recordExchange(OFFSET_MS, 1, OFFSET_MS + 2);
  // The child was suspended for two seconds, which its clock did not count.
  clock.recordMessage(10_000, OFFSET_MS + 8003);
  t.true(clock.maxElapsedMs(10_000, OFFSET_MS + 8503) >= 500);
  // The parent was suspended for four seconds.
  clock.recordExchange(OFFSET_MS + 20_000, 18_001, OFFSET_MS + 20_002);
  t.true(clock.maxElapsedMs(19_000, OFFSET_MS + 21_010) <= 12);
  t.true(clock.toParentTime(OFFSET_MS + 21_000)! <= 19_000);
});

test('a batch decodes to what was encoded, and without a clock when the sender sends none', (t) => {
  const batch = {
    rows: [],
    delta: undefined,
    upTo: 7,
    epoch: 3,
    ageMs: 40,
    clock: 123,
    rootSequence: 5,
    digest: undefined,
  };
  const frame = encodeBatch(batch);
  t.deepEqual(decodeBatch(frame), batch);
  t.deepEqual(decodeBatch(frame.slice(0, 7)), { ...batch, epoch: 0 });
  t.deepEqual(decodeBatch(frame.slice(0, 6)), { ...batch, clock: undefined, epoch: 0 });
});
