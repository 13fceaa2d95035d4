/** What is known of requests in progress when each daemon tells only the keeper of an engine, and that one all others. */
import { createManualTimers, decode, encode } from '@celeryyoke/core';
import type { HeartbeatFrame, LoadLine } from '@celeryyoke/routing';
import { decodeHeartbeat, encodeHeartbeat, heartbeatIntervals, LoadBook } from '@celeryyoke/routing';
import test from 'ava';

function setUp() {
  const timers = createManualTimers();
  return { timers, book: new LoadBook(timers) };
}

test('the keeper’s sum counts, with what has changed here since it was told', (t) => {
  const { book } = setUp();
  const first = book.begin('e', 'base/a1');
  book.takeTotal(['e', 10, 4]);
  t.deepEqual(book.counts('e'), { running: 10, waiting: 4 });
  book.begin('e', 'base/a1');
  t.deepEqual(book.counts('e'), { running: 11, waiting: 5 });
  first.ended();
  t.deepEqual(book.counts('e'), { running: 10, waiting: 4 });
});

test('a sum never counts fewer than this daemon’s own requests', (t) => {
  const { book } = setUp();
  const notes = [book.begin('e', undefined), book.begin('e', undefined)];
  book.takeTotal(['e', 0, 0]);
  notes[0]!.ended();
  t.deepEqual(book.counts('e'), { running: 1, waiting: 1 });
});

test('a sum that is too old does not count', async (t) => {
  const { timers, book } = setUp();
  book.takeTotal(['e', 10, 4]);
  await timers.advance(1600);
  t.deepEqual(book.counts('e'), { running: 0, waiting: 0 });
});

test('the keeper sums what each daemon told, once for each, and forgets a silent one', async (t) => {
  const { timers, book } = setUp();
  book.begin('e', 'base/a1');
  book.take('p', [['e', 3, 1]], [['e', 'base/a1', 3, 3]]);
  book.take('p', [['e', 2, 0]], [['e', 'base/a1', 2, 0]]);
  book.take('q', [['e', 1, 1]], [['e', 'base/a2', 1, 1]]);
  t.deepEqual(book.sum('e'), { running: 4, waiting: 2 });
  t.deepEqual(
    book.runningByAdapter('e'),
    new Map([
      ['base/a1', 3],
      ['base/a2', 1],
    ]),
  );
  await timers.advance(1600);
  t.deepEqual(book.sum('e'), { running: 1, waiting: 1 });
});

test('a change that a daemon tells at once counts before its next word, also as its first one', (t) => {
  const { book } = setUp();
  book.takeUse('p', ['e', 'base/a1', 1, 0]);
  t.is(book.sum('e').running, 1);
  book.take('p', [['e', 2, 0]], [['e', 'base/a1', 2, 1]]);
  book.takeUse('p', ['e', 'base/a1', 1, 0]);
  t.is(book.sum('e').running, 1);
  t.deepEqual(book.runningByAdapter('e'), new Map([['base/a1', 1]]));
});

test('a change told after a long silence does not bring back what was told before', async (t) => {
  const { timers, book } = setUp();
  book.take('p', [['e', 5, 0]], [['e', 'base/a1', 5, 5]]);
  await timers.advance(1600);
  book.takeUse('p', ['e', 'base/a2', 1, 0]);
  t.is(book.sum('e').running, 1);
});

test('requests on a replica that nobody keeps are told to all, and count', (t) => {
  const { book } = setUp();
  book.takeOpen('p', [['web', 2, 1]]);
  book.takeOpen('q', [['web', 1, 1]]);
  t.deepEqual(book.counts('web'), { running: 3, waiting: 2 });
});

test('a heartbeat reads as it was written, and says more of an engine in fewer bytes than names would take', (t) => {
  const engine = { replica: 'i-0c3d9aaac9', token: 7, room: -1, queued: 2, running: 9, waiting: 3 };
  const heartbeat = { upTo: 12, ageMs: 40, open: [['web', 1, 0]] as LoadLine[], engines: [engine] };
  const frame = encode(encodeHeartbeat(heartbeat));
  t.deepEqual(decodeHeartbeat(decode(frame) as HeartbeatFrame), heartbeat);
  t.true(frame.length < 60, `${frame.length} bytes`);
});

test('heartbeats are further apart in a larger fleet, within a bound', (t) => {
  t.deepEqual([1, 8, 40, 41, 78, 400, 10_000].map(heartbeatIntervals), [1, 1, 1, 2, 2, 4, 4]);
});
