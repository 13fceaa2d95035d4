/** Tests which daemon reads the platform's store: one for all, and others when that one does not. */
import { createManualTimers } from '@celeryyoke/core';
import type { Delta, TakeOver } from '@celeryyoke/routing';
import { StoreWatcher, ReplicatedStore } from '@celeryyoke/routing';
import test from 'ava';

import { NO_HISTORY } from './fakes.js';

interface Options {
  readonly rank?: () => number;
  readonly isAlone?: () => boolean;
  readonly isFirstStart?: boolean;
  readonly fails?: boolean;
}

function setUp({ rank = () => 0, isAlone = () => false, isFirstStart = false, fails = false }: Options) {
  const timers = createManualTimers();
  const view = new ReplicatedStore(timers);
  const calls = { list: 0, watch: 0 };
  const takeOvers: TakeOver[] = [];
  const respond = (delta: Delta): Promise<Delta> =>
    fails ? Promise.reject(new Error('down')) : Promise.resolve(delta);
  const watcher = new StoreWatcher({
    view,
    timers,
    rank,
    isAlone,
    isFirstStart,
    random: () => 0.5,
    source: {
      list: () => {
        calls.list += 1;
        return respond({ from: 0, upTo: 7, isWhole: true, changes: [] });
      },
      watch: async (after) => {
        calls.watch += 1;
        await timers.sleep(600);
        return respond({ from: after, upTo: after, isWhole: false, changes: [] });
      },
      ...NO_HISTORY,
    },
    publish: () => undefined,
    onReachabilityChange: () => undefined,
    onList: () => undefined,
    onFirstList: () => undefined,
    onTakeOver: (takeOver) => takeOvers.push(takeOver),
  });
  watcher.start();
  const receiveView = (): void => {
    view.apply({ from: 0, upTo: 7, isWhole: true, changes: [] });
    view.confirmUpToDate(7, 0);
  };
  return { timers, view, calls, takeOvers, watcher, receiveView };
}

test('at the first start of the fleet, only the first daemon lists the store', async (t) => {
  let lists = 0;
  for (let position = 0; position < 195; position += 1) {
    const { timers, calls, watcher, receiveView } = setUp({ rank: () => position, isFirstStart: true });
    await timers.advance(300);
    // By then the others have received the view from the first one.
    if (position > 0) receiveView();
    await timers.advance(400);
    watcher.stop();
    lists += calls.list;
  }
  t.is(lists, 1);
});

test('at the first start, a daemon that knows no other waits before it reads', async (t) => {
  const { timers, calls } = setUp({ isAlone: () => true, isFirstStart: true });
  await timers.advance(350);
  t.is(calls.list, 0);
  await timers.advance(150);
  t.is(calls.list, 1);
});

test('a restarted daemon reads immediately unless it has received the view from a peer', async (t) => {
  const { timers, view } = setUp({ rank: () => 5 });
  await timers.advance(120);
  t.is(view.upTo, 7);
  const informed = setUp({ rank: () => 5 });
  await informed.timers.advance(30);
  informed.receiveView();
  await informed.timers.advance(500);
  t.deepEqual(informed.calls, { list: 0, watch: 0 });
});

test('when the first daemon can’t read, a few others do, and more the longer it lasts', async (t) => {
  const readers: number[] = [];
  // Before the first step, after the first, after the third, and after the last one.
  for (const afterMs of [1050, 1250, 1550, 3500]) {
    let reading = 0;
    for (let position = 1; position < 195; position += 1) {
      const { timers, calls, watcher, receiveView } = setUp({ rank: () => position });
      receiveView();
      await timers.advance(afterMs);
      watcher.stop();
      if (calls.watch > 0) reading += 1;
    }
    readers.push(reading);
  }
  const [first = 0, second = 0, third = 0] = readers;
  t.true(first === 0 && second <= 2 && third <= 14, readers.join());
  t.is(readers[3], 194);
});

test('a daemon continues to retry during an outage of the store', async (t) => {
  const { timers, calls } = setUp({ fails: true });
  await timers.advance(1000);
  t.true(calls.list >= 4 && calls.list <= 8, `${calls.list} calls`);
});

test('a daemon that takes over reports it, with its rank and the age of its view', async (t) => {
  const { timers, takeOvers, receiveView } = setUp({ rank: () => 1 });
  receiveView();
  await timers.advance(1100);
  t.deepEqual(takeOvers, []);
  await timers.advance(200);
  const [first] = takeOvers;
  t.is(first?.rank, 1);
  t.true(first!.ageMs > 1150, `${first!.ageMs} ms`);
});
