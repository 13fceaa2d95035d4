/** Runs a generator as a task that can be stopped. */
import type { Task, TaskBody } from './types.js';

/**
 * Waits for what a task yielded, or for the task to be stopped.
 * Each wait takes its listener back: a race against one long-lived promise would keep every lost race in memory.
 */
function waitFor(value: unknown, signal: AbortSignal): Promise<unknown> {
  return new Promise((resolve, reject) => {
    const onAbort = (): void => reject(signal.reason);
    signal.addEventListener('abort', onAbort, { once: true });
    Promise.resolve(value)
      .then(resolve, reject)
      .finally(() => signal.removeEventListener('abort', onAbort));
  });
}

/** Waits at a yield. Once the body knows that it is stopped, it may still wait for what its clean-up needs. */
async function waitAtYield(value: unknown, signal: AbortSignal, isToldToStop: boolean): Promise<unknown> {
  if (isToldToStop) return value;
  signal.throwIfAborted();
  return waitFor(value, signal);
}

async function drive<T>(body: TaskBody<T>, signal: AbortSignal): Promise<T> {
  const steps = body(signal);
  let isToldToStop = false;
  let step = steps.next();
  while (!step.done) {
    let value: unknown;
    try {
      value = await waitAtYield(step.value, signal, isToldToStop);
    } catch (err) {
      isToldToStop ||= signal.aborted && err === signal.reason;
      step = steps.throw(err);
      continue;
    }
    step = steps.next(value);
  }
  return step.value;
}

/**
 * Starts a task.
 * @param body - A generator function; each promise that it yields is awaited, and its value is sent back in.
 * @returns The running task.
 */
export function runTask<T>(body: TaskBody<T>): Task<T> {
  const controller = new AbortController();
  const done = drive(body, controller.signal);
  done.catch(() => undefined);
  return {
    done,
    async stop(reason) {
      controller.abort(reason);
      await done.catch(() => undefined);
    },
  };
}
