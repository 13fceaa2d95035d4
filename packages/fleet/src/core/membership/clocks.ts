/** Measures elapsed time by both clocks, since the monotonic one may stop while a machine is suspended. */
import type { TimerService } from '@celeryyoke/core';

/** A point in time by both clocks, in milliseconds. */
export interface Moment {
  /** Monotonic time. */
  readonly now: number;
  /** Wall-clock time. */
  readonly wall: number;
}

export function readClocks(timers: TimerService): Moment {
  return { now: timers.now(), wall: timers.wall() };
}

/**
 * Measures the time since a moment in milliseconds. The monotonic clock may stop while a machine is
 * suspended, and the wall clock may be set back, so the greater difference is used: the result may be too
 * high, but hardly too low.
 */
export function elapsedSince(moment: Moment, timers: TimerService): number {
  return Math.max(timers.now() - moment.now, timers.wall() - moment.wall);
}
