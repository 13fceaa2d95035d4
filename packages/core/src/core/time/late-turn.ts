/** What must not rest on what was read late. */
import type { TimerHandle, TimerService } from './types.js';

/** Age of what is read from which on a turn of the event loop counts as late, in milliseconds. */
const LATE_MS = 50;

/**
 * Calls back at once, or, in a late turn of the event loop, once what has arrived meanwhile was read: it may say that
 * the call is not wanted any more.
 * @param ageMs - Age of what the call rests on, in milliseconds; that of what is read in this turn when it is left out.
 * @returns A handle that takes the call back; undefined if it was made.
 */
export function afterLateTurn(
  timers: Pick<TimerService, 'afterPoll' | 'readAgeMs'>,
  callback: () => void,
  ageMs = timers.readAgeMs(),
): TimerHandle | undefined {
  if (ageMs >= LATE_MS) return timers.afterPoll(callback);
  callback();
  return undefined;
}
