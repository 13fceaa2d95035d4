/** Timers of a process that stood still, in a process of their own: the stall stops every test beside it. */
import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { createSystemTimers } from '@celeryyoke/core';
import test from 'ava';

const TIMEOUT_MS = 100;
const STALL_MS = 400;

/** Keeps the event loop from turning. */
function stall(): void {
  const end = Date.now() + STALL_MS;
  while (Date.now() < end);
}

/** Two ends of a connection. */
async function connectPair(): Promise<{ near: Socket; far: Socket; close: () => void }> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const accepted = new Promise<Socket>((resolve) => {
    server.once('connection', resolve);
  });
  const near = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const far = await accepted;
  const close = (): void => {
    near.destroy();
    far.destroy();
    server.close();
  };
  return { near, far, close };
}

/** Plays a stall between the start of a timer and its end, while an answer comes; the result is what happened first. */
async function playStall(start: (callback: () => void) => { cancel(): void }): Promise<string[]> {
  const { near, far, close } = await connectPair();
  const events: string[] = [];
  await new Promise<void>((resolve) => {
    const handle = start(() => {
      events.push('timeout');
      handle.cancel();
      resolve();
    });
    near.once('data', () => events.push('answer'));
    // At the end of a turn of the event loop: in the next one, timers that are due come before what can be read.
    setImmediate(() => {
      far.write('answer');
      stall();
    });
  });
  close();
  return events;
}

const timers = createSystemTimers();

for (const [name, start] of [
  ['a timeout', (callback: () => void) => timers.after(TIMEOUT_MS, callback)],
  ['a tick', (callback: () => void) => timers.repeat(TIMEOUT_MS, callback)],
] as const)
  // Guards against answers that count as missing though they came while the process had no processor time.
  test.serial(`what came while the process stood still is handled before ${name}`, async (t) => {
    t.deepEqual(await playStall(start), ['answer', 'timeout']);
  });

test.serial('a late timer that is taken back does not fire', async (t) => {
  let hasFired = false;
  const handle = timers.after(TIMEOUT_MS, () => {
    hasFired = true;
  });
  await new Promise<void>((resolve) => {
    timers.after(TIMEOUT_MS / 2, () => {
      // Both are due in the next turn; the earlier one takes the later one back.
      timers.after(1, () => {
        handle.cancel();
        setImmediate(resolve);
      });
      setImmediate(stall);
    });
  });
  t.false(hasFired);
});
