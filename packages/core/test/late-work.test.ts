/** Many timers that are late at once, in a process of their own: they keep the event loop busy. */
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { createSystemTimers } from '@celeryyoke/core';
import test from 'ava';

const TIMERS = 60;
/** Work of each timer: together they take 0.3 s. */
const WORK_MS = 5;
/** After it all timers are late. */
const STALL_MS = 60;
const CONNECTIONS = 20;

const timers = createSystemTimers();

function block(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

/** Starts timers that are all late in the next turn of the event loop; resolves with the order in which they fired. */
function startLate(start: (index: number, callback: () => void) => void): Promise<number[]> {
  return new Promise((resolve) => {
    const fired: number[] = [];
    for (let index = 0; index < TIMERS; index += 1)
      start(index, () => {
        block(WORK_MS);
        fired.push(index);
        if (fired.length === TIMERS) resolve(fired);
      });
    block(STALL_MS);
  });
}

const STARTS: Readonly<Record<string, (callback: () => void) => void>> = {
  timeouts: (callback) => {
    timers.after(1, callback);
  },
  sleeps: (callback) => {
    void timers.sleep(1).then(callback);
  },
};

for (const [name, start] of Object.entries(STARTS))
  // Guards against callers that wait to be accepted until all timers that were due have done their work.
  test.serial(`connections are accepted while many late ${name} do their work`, async (t) => {
    let accepted = 0;
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
      accepted += 1;
      sockets.push(socket);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    for (let count = 0; count < CONNECTIONS; count += 1) sockets.push(connect(port, '127.0.0.1'));
    const fired = await startLate((_index, callback) => start(callback));
    const acceptedBefore = accepted;
    for (const socket of sockets) socket.destroy();
    server.close();
    t.deepEqual(
      fired,
      Array.from({ length: TIMERS }, (_, index) => index),
    );
    t.is(acceptedBefore, CONNECTIONS);
  });

// Guards against timers that overtake those that were due before them.
test.serial('a timer that is due while late ones do their work fires after them', async (t) => {
  const order: string[] = [];
  let wasLater: (() => void) | undefined;
  const later = new Promise<void>((resolve) => {
    wasLater = resolve;
  });
  await startLate((index, callback) => {
    timers.after(1, () => {
      if (index === 0)
        timers.after(WORK_MS, () => {
          order.push('later');
          wasLater!();
        });
      callback();
      if (index === TIMERS - 1) order.push('last late one');
    });
  });
  await later;
  t.deepEqual(order, ['last late one', 'later']);
});

// Guards against late timers that are put off again and again while other work makes each turn long.
test.serial('late timers get half of the time while other work makes each turn long', async (t) => {
  const turnMs = 100;
  let turns = 0;
  let isDone = false;
  const turn = (): void => {
    turns += 1;
    block(turnMs);
    if (!isDone) setImmediate(turn);
  };
  setImmediate(turn);
  await startLate((_index, callback) => {
    timers.after(1, callback);
  });
  isDone = true;
  const needed = (TIMERS * WORK_MS) / turnMs;
  t.true(turns <= 2 * needed, `${turns} turns`);
});
