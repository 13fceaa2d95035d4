/** How connections share the turns of the event loop, with a clock that only the test moves. */
import { createSilentLog } from '@celeryyoke/core';
import test from 'ava';

import { InputTurns } from '../src/core/input/index.js';

/** Time that other work takes in each turn, in milliseconds. */
const OTHER_WORK_MS = 40;
const SHARE_MS = 1;

class Clock {
  ms = 0;

  readonly now = (): number => this.ms;
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** An input that takes some shares of a turn. */
class Input {
  isAborted = false;

  constructor(
    private readonly clock: Clock,
    public sharesLeft: number,
  ) {}

  parseUntil(): boolean {
    this.clock.ms += SHARE_MS;
    this.sharesLeft -= 1;
    return this.sharesLeft > 0;
  }

  abort(): void {
    this.isAborted = true;
  }
}

function createTurns() {
  const clock = new Clock();
  const turns = new InputTurns(clock, createSilentLog());
  const request = (sharesLeft: number): Input => {
    const input = new Input(clock, sharesLeft);
    turns.request(input);
    return input;
  };
  return { clock, request };
}

// Guards against requests that pile up, as other work makes turns long.
test('inputs get half of a long turn', async (t) => {
  const { clock, request } = createTurns();
  const inputs = Array.from({ length: 100 }, () => request(1));
  for (let turn = 0; turn < 4; turn += 1) {
    clock.ms += OTHER_WORK_MS;
    await nextTurn();
  }
  t.is(inputs.filter(({ sharesLeft }) => sharesLeft > 0).length, 0);
});

// Guards against one connection, or a crowd, that keeps others waiting.
test('an input that comes is parsed beside those that have much to parse', async (t) => {
  const { request } = createTurns();
  for (let index = 0; index < 50; index += 1) {
    request(1000);
    await nextTurn();
  }
  const input = request(1);
  for (let turn = 0; turn < 3; turn += 1) await nextTurn();
  t.is(input.sharesLeft, 0);
});

// Guards against connections that wait without bound, also after their callers have left.
test('of too many inputs that need further shares the first ones are closed', async (t) => {
  const { clock, request } = createTurns();
  const inputs = Array.from({ length: 70 }, () => request(1000));
  clock.ms += 2 * inputs.length;
  await nextTurn();
  t.deepEqual(
    inputs.map(({ isAborted }) => isAborted),
    inputs.map((_input, index) => index < 6),
  );
});
