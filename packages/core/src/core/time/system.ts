/** The timer service of a running process. */
import { performance } from 'node:perf_hooks';

import { LateCallbacks } from './late-callbacks.js';
import { LoopClock, TICK_MS } from './loop-clock.js';
import { createTicks } from './ticks.js';
import type { TimerHandle, TimerService } from './types.js';

/**
 * Lateness from which the process counts as having stood still, in milliseconds. The event loop fires timers before it reads
 * sockets, so what came meanwhile would count as missing.
 */
const LATE_MS = 20;

/** Timers that are late; those that come due before all of them have fired wait behind. */
const lateCallbacks = new LateCallbacks();

/**
 * A timer that, when it is late, fires after what has come meanwhile was handled.
 * @param isBackground - Whether it does not keep the process alive.
 */
function fireAfterInput(ms: number, callback: () => void, isBackground = false): TimerHandle {
  const dueAt = performance.now() + ms;
  let late: TimerHandle | undefined;
  const timer = setTimeout(() => {
    const isOnTime = performance.now() - dueAt < LATE_MS;
    if (isOnTime && lateCallbacks.isEmpty) callback();
    else late = lateCallbacks.add(callback);
  }, ms);
  if (isBackground) timer.unref();
  return {
    cancel: () => {
      clearTimeout(timer);
      late?.cancel();
    },
  };
}

/**
 * Ticks fall on multiples of their interval, so that intervals with a common multiple share their wake-ups: a process
 * that does nothing else pays mostly for those.
 */
function repeat(ms: number, callback: (now: number) => void, isBackground = false): TimerHandle {
  let handle: TimerHandle;
  let dueAt = 0;
  const schedule = (tick: () => void): void => {
    const now = performance.now();
    // A timer may fire a little early; after a pause the ticks that were missed are left out.
    dueAt = Math.max(dueAt + ms, (Math.floor(now / ms) + 1) * ms);
    handle = fireAfterInput(Math.ceil(dueAt - now), tick, isBackground);
  };
  const tick = (): void => {
    schedule(tick);
    callback(performance.now());
  };
  schedule(tick);
  return { cancel: () => handle.cancel() };
}

/**
 * Waits on any `after`, so that the system's and the manual service share one body.
 * @param start - Starts a one-shot timer.
 * @param ms - Delay in milliseconds.
 * @param signal - Ends the wait early.
 * @returns A promise that settles when the delay is over, or rejects with the signal's reason.
 */
export function sleepWith(start: TimerService['after'], ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve, reject) => {
    if (signal?.aborted) {
      reject(signal.reason);
      return;
    }
    let handle: TimerHandle | undefined;
    const onAbort = (): void => {
      handle?.cancel();
      reject(signal?.reason);
    };
    handle = start(ms, () => {
      signal?.removeEventListener('abort', onAbort);
      resolve();
    });
    signal?.addEventListener('abort', onAbort, { once: true });
  });
}

/**
 * Makes the timer service that follows the machine's clocks.
 * @returns The service.
 */
export function createSystemTimers(): TimerService {
  const clock = new LoopClock();
  repeat(TICK_MS, clock.observe, true);
  return {
    now: () => performance.now(),
    wall: () => Date.now(),
    after: (ms, callback) => fireAfterInput(ms, callback),
    repeat: (ms, callback) => repeat(ms, callback),
    readAgeMs: clock.readAgeMs,
    afterPoll: clock.afterPoll,
    every: (ms) => createTicks(repeat, ms),
    sleep: (ms, signal) => sleepWith(fireAfterInput, ms, signal),
  };
}
