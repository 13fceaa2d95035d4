/** Types of the timer service. */
import type { Stream } from 'most';

/** A pending call that can be taken back. */
export interface TimerHandle {
  /** Takes the pending call back; calling it twice does nothing. */
  cancel(): void;
}

/** The one source of time; parts subscribe to it, and tests drive it by hand. */
export interface TimerService {
  /**
   * Reads the monotonic clock.
   * @returns Milliseconds since an arbitrary start; it never goes back.
   */
  now(): number;
  /**
   * Reads the wall clock.
   * @returns Milliseconds since the Unix epoch; it may jump.
   */
  wall(): number;
  /**
   * Calls back once.
   * @param ms - Delay in milliseconds.
   * @param callback - What to call.
   * @returns A handle that takes the call back.
   */
  after(ms: number, callback: () => void): TimerHandle;
  /**
   * Ticks at a fixed interval, from one interval after the subscription on.
   * @param ms - Interval in milliseconds.
   * @returns A stream of the monotonic time of each tick.
   */
  every(ms: number): Stream<number>;
  /**
   * Calls back at a fixed interval until taken back.
   * @param ms - Interval in milliseconds.
   * @param callback - Called with the monotonic time of the tick.
   * @returns A handle that ends the interval.
   */
  repeat(ms: number, callback: (now: number) => void): TimerHandle;
  /**
   * Returns the longest time for which what is read now can have been waiting to be read: near 0 while the event loop is
   * on time. A connection that is accepted now can have been waiting for longer.
   * @returns Milliseconds.
   */
  readAgeMs(): number;
  /**
   * Calls back once all that had arrived shortly before has been read, so that what is done then rests on it.
   * @returns A handle that takes the call back.
   */
  afterPoll(callback: () => void): TimerHandle;
  /**
   * Waits.
   * @param ms - Delay in milliseconds.
   * @param signal - Ends the wait early; the promise then rejects with the signal's reason.
   * @returns A promise that settles when the delay is over.
   */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** A timer service whose time moves only when a test or a replay says so. */
export interface ManualTimerService extends TimerService {
  /**
   * Moves time on, firing due timers in order and letting promise callbacks run after each.
   * @param ms - Milliseconds to move on.
   * @returns A promise that settles when all due timers have fired.
   */
  advance(ms: number): Promise<void>;
  /**
   * Moves time on without letting promise callbacks run; for replays that are synchronous.
   * @param ms - Milliseconds to move on.
   */
  advanceSync(ms: number): void;
  /**
   * Moves both clocks on without firing timers, as when a process is paused; late timers fire on the next advance.
   * @param ms - Milliseconds of the pause.
   */
  pause(ms: number): void;
  /**
   * Tells when the next timer is due.
   * @returns The monotonic time, or undefined when none is pending.
   */
  nextDue(): number | undefined;
}
