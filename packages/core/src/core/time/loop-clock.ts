/**
 * Knows how late the event loop is: for how long what it reads now can have been waiting, and when it has read what
 * has arrived since.
 */
import { performance } from 'node:perf_hooks';
import { MessageChannel } from 'node:worker_threads';

import type { TimerHandle } from './types.js';

/** Interval at which the loop turns at least, unless it is late, in milliseconds. */
export const TICK_MS = 100;
/** Time by which a tick may be late in a loop that is on time, in milliseconds. */
const TICK_SLACK_MS = 20;
/** Idle time from which on the loop counts as having waited for input, in milliseconds; a poll that waits for nothing takes less. */
const MIN_IDLE_MS = 1;
/** Difference of the two clocks from which on the machine counts as having been suspended, in milliseconds. */
const MIN_SUSPENSION_MS = 50;
/** Largest age of what the loop knows when {@link LoopClock.afterPoll} calls back, in milliseconds. */
const FRESH_MS = 50;
/** Polls after which it calls back in any case. */
const MAX_POLLS = 4;

/** Clocks of the process, read at one moment. */
interface Reading {
  /** Monotonic milliseconds. */
  readonly at: number;
  /** Unix milliseconds. */
  readonly wall: number;
  /** Time that the loop has spent waiting for input so far, in milliseconds. */
  readonly idleMs: number;
}

function read(): Reading {
  return { at: performance.now(), wall: Date.now(), idleMs: performance.eventLoopUtilization().idle };
}

/** Calls back in the poll phase of the next turn, among the sockets that became readable about now. */
function inNextPoll(callback: () => void): void {
  const { port1, port2 } = new MessageChannel();
  port1.once('message', () => {
    port1.close();
    callback();
  });
  port2.postMessage(null);
}

/** Observes the turns of the event loop of this process. */
export class LoopClock {
  /** The latest turn after whose poll the clocks were read. */
  private last = read();

  /** Monotonic time of the observed turn before, in milliseconds: everything that arrived earlier has been read. */
  private readUntil = this.last.at;

  private isObserving = false;

  /** Callbacks that wait for the poll that was asked for, and those that came since. */
  private polling: Set<() => void> | undefined;

  private waiting = new Set<() => void>();

  /** Reads the clocks when this turn of the loop has read its sockets. */
  readonly observe = (): void => {
    if (this.isObserving) return;
    this.isObserving = true;
    setImmediate(() => {
      this.isObserving = false;
      this.readUntil = this.last.at;
      this.last = read();
    });
  };

  /**
   * Returns the longest time for which what is read in this turn can have been waiting.
   * @returns Milliseconds.
   */
  readonly readAgeMs = (): number => {
    this.observe();
    const { at, wall, idleMs } = read();
    const sinceMs = at - this.last.at;
    const suspendedMs = wall - this.last.wall - sinceMs;
    return this.waitedMs(at, sinceMs, idleMs) + (suspendedMs < MIN_SUSPENSION_MS ? 0 : suspendedMs);
  };

  private waitedMs(at: number, sinceMs: number, idleMs: number): number {
    // A process that is stopped while it waits for input takes that time for idle, but has missed a tick.
    if (sinceMs > TICK_MS + TICK_SLACK_MS) return sinceMs;
    const idleSinceMs = idleMs - this.last.idleMs;
    return idleSinceMs >= MIN_IDLE_MS ? sinceMs - idleSinceMs : at - this.readUntil;
  }

  /**
   * Calls back once all that had arrived shortly before has been read.
   * @returns A handle that takes the call back.
   */
  readonly afterPoll = (callback: () => void): TimerHandle => {
    const entry = (): void => callback();
    this.waiting.add(entry);
    if (this.polling === undefined) this.poll();
    return {
      cancel: () => {
        this.waiting.delete(entry);
        this.polling?.delete(entry);
      },
    };
  };

  private poll(): void {
    this.polling = this.waiting;
    this.waiting = new Set();
    this.awaitPoll(1);
  }

  /** Waits for a poll after which, or in which, the loop gets to the callbacks at once. */
  private awaitPoll(count: number): void {
    const askedAt = performance.now();
    inNextPoll(() => {
      const polledAt = performance.now();
      // After a turn whose time was spent behind the poll, the poll itself is the moment at which most is known.
      if (count > 1 && polledAt - askedAt < FRESH_MS) this.release();
      else
        setImmediate(() => {
          const isFresh = performance.now() - polledAt < FRESH_MS;
          if (isFresh || count >= MAX_POLLS) this.release();
          else this.awaitPoll(count + 1);
        });
    });
  }

  private release(): void {
    const entries = this.polling ?? [];
    this.polling = undefined;
    if (this.waiting.size > 0) this.poll();
    for (const entry of entries) entry();
  }
}
