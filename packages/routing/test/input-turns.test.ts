/** How connections share the turns of the event loop, with a clock that only the test moves. */
import { createSilentLog } from '@celeryyoke/core';
import test from 'ava';

import { InputTurns } from '../src/core/input/index.js';

/** Time that other work takes in each turn, in milliseconds. */
const OTHER_WORK_MS = 40;
const SHARE_MS = 1;
/** Bytes of an input that is slow to parse, and of one that is not, for each share. */
const SLOW_BYTES = 100;
const USUAL_BYTES = 10_000;

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
    private readonly shareBytes: number,
  ) {}

  get heldBytes(): number {
    return this.sharesLeft * this.shareBytes;
  }

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
  const request = (sharesLeft: number, shareBytes = USUAL_BYTES): Input => {
    const input = new Input(clock, sharesLeft, shareBytes);
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

// Guards against connections that wait without bound, also after their callers have left, and against the end of others.
test('of too many inputs that are slow to parse the first ones are closed, and no others', async (t) => {
  const { clock, request } = createTurns();
  const usual = Array.from({ length: 70 }, () => request(1000));
  const slow = Array.from({ length: 20 }, () => request(1000, SLOW_BYTES));
  for (let turn = 0; turn < 20; turn += 1) {
    clock.ms += OTHER_WORK_MS;
    await nextTurn();
  }
  t.false(usual.some(({ isAborted }) => isAborted));
  t.deepEqual(
    slow.map(({ isAborted }) => isAborted),
    slow.map((_input, index) => index < 4),
  );
});
