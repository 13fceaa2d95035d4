/** Order of what late timers do within one turn of the event loop. */
import { performance } from 'node:perf_hooks';

import { createSystemTimers } from '@celeryyoke/core';
import test from 'ava';

const CALLS = 10;
const CALL_MS = 4;
/** Work of each turn beside timers: late ones may take as long. */
const TURN_MS = 50;

function spend(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

// Guards against responses and errors that wait for the work of all late timers, as Node.js puts them off to the next tick.
test('what a late timer puts off to the next tick runs before the next late timer', async (t) => {
  const timers = createSystemTimers();
  const order: string[] = [];
  const expected: string[] = [];
  const calls = Array.from({ length: CALLS }, (_, index) => {
    expected.push(`call ${index}`, `tick ${index}`);
    return new Promise<void>((resolve) => {
      timers.after(1, () => {
        order.push(`call ${index}`);
        spend(CALL_MS);
        process.nextTick(() => {
          order.push(`tick ${index}`);
          resolve();
        });
      });
    });
  });
  let isDone = false;
  const turn = (): void => {
    spend(TURN_MS);
    if (!isDone) setImmediate(turn);
  };
  turn();
  await Promise.all(calls);
  isDone = true;
  t.deepEqual(order, expected);
});
