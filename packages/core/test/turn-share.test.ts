/** Work that is shared among the turns of the event loop. */
import { setImmediate as nextTurn } from 'node:timers/promises';

import { StepResult, TaskState, TurnShare } from '@celeryyoke/core';
import test from 'ava';

function* count(steps: number, onStep: () => void, isBlocked = false): Generator<StepResult, void> {
  for (let step = 0; step < steps; step += 1) {
    onStep();
    yield isBlocked ? StepResult.Blocked : StepResult.Continue;
  }
}

// Guards against a connection that always has more to read and keeps all others from being read.
test('a task without end leaves turns to others and ends when it is cancelled', async (t) => {
  const share = new TurnShare();
  let steps = 0;
  const onStep = (): void => {
    steps += 1;
  };
  const endless = count(Number.POSITIVE_INFINITY, onStep);
  t.is(
    share.run(endless, () => t.fail()),
    TaskState.Waiting,
  );
  const settled: TaskState[] = [];
  t.is(
    share.run(count(100, onStep), (state) => settled.push(state)),
    TaskState.Waiting,
  );
  t.is(
    share.run(count(1, onStep, true), (state) => settled.push(state)),
    TaskState.Waiting,
  );
  for (let turn = 0; turn < 100 && settled.length < 2; turn += 1) await nextTurn();
  t.deepEqual(settled, [TaskState.Blocked, TaskState.Done]);
  share.cancel(endless);
  const before = steps;
  await nextTurn();
  t.is(steps, before);
  t.is(
    share.run(count(3, onStep), () => t.fail()),
    TaskState.Done,
  );
});
