/** How late the event loop of a process is, as the timer service tells it. */
import { once } from 'node:events';
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { afterLateTurn, createManualTimers, createSystemTimers } from '@celeryyoke/core';
import test from 'ava';

const BLOCKED_MS = 300;
/** Age of what a loop reads on a machine that is busy with other tests, in milliseconds. */
const CALM_MS = 100;

function block(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

/** Two ends of a connection on loopback. */
async function openPair(): Promise<{ near: Socket; far: Socket; close: () => void }> {
  const server = createServer({ allowHalfOpen: true });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const near = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const [far] = (await once(server, 'connection')) as [Socket];
  const close = (): void => {
    near.destroy();
    far.destroy();
    server.close();
  };
  return { near, far, close };
}

// Guards against bytes that waited while the loop was busy and are taken for fresh.
test.serial('what a busy event loop reads can be as old as its last look at the sockets', async (t) => {
  const timers = createSystemTimers();
  const { near, far, close } = await openPair();
  near.write('a');
  await once(far, 'data');
  await timers.sleep(250);
  near.write('b');
  await once(far, 'data');
  t.true(timers.readAgeMs() < CALM_MS);
  near.write('c');
  await new Promise(setImmediate);
  block(BLOCKED_MS);
  await once(far, 'data');
  t.true(timers.readAgeMs() >= BLOCKED_MS);
  close();
});

// Guards against a request that is sent on though the close behind it was there to be read.
test.serial(
  'a call that waits for a poll knows of a connection that was closed in the turn before',
  async (t) => {
    const timers = createSystemTimers();
    const { near, far, close } = await openPair();
    let hasEnded = false;
    far.on('end', () => {
      hasEnded = true;
    });
    const read = once(far, 'data');
    near.end('request');
    await read;
    block(BLOCKED_MS);
    const knew = await new Promise<boolean>((resolve) => {
      timers.afterPoll(() => resolve(hasEnded));
    });
    t.true(knew);
    close();
  },
);

// Guards against a loop whose every turn is late, so that calls that wait for a poll never come.
test.serial(
  'calls that wait for a poll are made though each turn is late, and cancelled ones are not',
  async (t) => {
    const timers = createSystemTimers();
    const calls: string[] = [];
    let isLate = true;
    const delayTurn = (): void => {
      block(60);
      if (isLate) setImmediate(delayTurn);
    };
    setImmediate(delayTurn);
    timers.afterPoll(() => calls.push('cancelled')).cancel();
    await new Promise<void>((resolve) => {
      timers.afterPoll(() => {
        calls.push('first');
        timers.afterPoll(() => {
          calls.push('second');
          resolve();
        });
      });
    });
    isLate = false;
    t.deepEqual(calls, ['first', 'second']);
  },
);

// Guards against the cost of a poll for each request of a loop that is on time.
test('a call is made at once unless what it rests on is late', async (t) => {
  const timers = createManualTimers();
  const calls: string[] = [];
  afterLateTurn(timers, () => calls.push('on time'));
  timers.pause(BLOCKED_MS);
  t.is(timers.readAgeMs(), BLOCKED_MS);
  afterLateTurn(timers, () => calls.push('late'));
  t.deepEqual(calls, ['on time']);
  await timers.advance(0);
  t.deepEqual(calls, ['on time', 'late']);
  afterLateTurn(timers, () => calls.push('queued for long'), BLOCKED_MS);
  t.is(calls.length, 2);
  await timers.advance(0);
  t.is(calls.length, 3);
});
