/** Requests that wait for the same replicas: who comes first, and how long the others can expect to wait. */
import { createManualTimers } from '@celeryyoke/core';
import { WaitQueue } from '@celeryyoke/routing';
import test from 'ava';

/** Requests at the head of a queue that may choose at one moment. */
const HEAD_SIZE = 8;
const QUEUE_LIMIT = 512;

function setUp() {
  const timers = createManualTimers();
  return { timers, queue: new WaitQueue(timers) };
}

const requestOf = (rank: number, lastCallAt = 1000) => ({ rank, lastCallAt });

// Guards against an order by anything but the configured priority and the time that callers have left.
test('requests choose by priority, then by the time until which they can be served', (t) => {
  const { queue } = setUp();
  const others = Array.from({ length: HEAD_SIZE }, (_, index) => requestOf(1, 2000 + index));
  for (const other of others) queue.join(other);
  const last = requestOf(2, 100);
  const first = requestOf(0, 9000);
  const sooner = requestOf(1, 1000);
  for (const request of [last, first, sooner]) queue.join(request);
  t.true(queue.mayChoose(first));
  t.true(queue.mayChoose(sooner));
  t.false(queue.mayChoose(last));
  t.false(queue.mayChoose(others.at(-1)!));
});

// Guards against new requests that get the replicas for which others have waited.
test('a new request does not overtake those that wait, unless it is more urgent', (t) => {
  const { queue } = setUp();
  queue.join(requestOf(1, 1000));
  t.false(queue.mayChoose(requestOf(1, 2000)));
  t.true(queue.mayChoose(requestOf(0, 2000)));
});

test('a queue that is stalled is expected to stay so for as long again, until a request gets its turn', async (t) => {
  const { timers, queue } = setUp();
  const request = requestOf(1);
  queue.join(request);
  await timers.advance(700);
  t.is(queue.expectedMs(request), 700);
  queue.recordTurn(request);
  t.is(queue.expectedMs(requestOf(1)), 0);
});

// Guards against a refusal at once for a stall of long ago.
test('a stall is forgotten when nobody has waited for longer than it lasted', async (t) => {
  const { timers, queue } = setUp();
  const request = requestOf(1);
  queue.join(request);
  await timers.advance(700);
  queue.leave(request);
  await timers.advance(600);
  const next = requestOf(1);
  queue.join(next);
  t.is(queue.expectedMs(next), 1300);
  queue.leave(next);
  await timers.advance(2000);
  const later = requestOf(1);
  queue.join(later);
  t.is(queue.expectedMs(later), 0);
});

test('the expected wait follows from the turns ahead, and a full queue takes nobody', async (t) => {
  const { timers, queue } = setUp();
  const requests = Array.from({ length: 20 }, (_, index) => requestOf(1, index));
  for (const request of requests) queue.join(request);
  for (const request of requests.slice(0, 15)) {
    await timers.advance(100);
    queue.recordTurn(request);
  }
  const waitMs = queue.expectedMs(requests.at(-1)!);
  t.true(waitMs > 300 && waitMs <= 400, `${waitMs} ms`);
  for (let index = queue.size; index < QUEUE_LIMIT; index += 1) queue.join(requestOf(1, 100 + index));
  t.is(queue.expectedMs(requestOf(1, 10_000)), Number.POSITIVE_INFINITY);
  t.true(Number.isFinite(queue.expectedMs(requestOf(0, 10_000))));
});
