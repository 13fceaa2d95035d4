/** Makes the calls of timers that are late, a few milliseconds of them in each turn of the event loop. */
import { performance } from 'node:perf_hooks';

import type { TimerHandle } from './types.js';

/**
 * Time after which no further call is begun in a turn, in milliseconds. Each turn reads sockets and accepts one
 * connection, which would otherwise wait for the work of all timers that are late.
 */
const MIN_TURN_BUDGET_MS = 5;

/** Calls that wait for what has arrived to be read; they are made in the order in which they were added. */
export class LateCallbacks {
  private readonly waiting = new Set<() => void>();

  private isScheduled = false;

  /** Monotonic time at which the budget of this turn is used up, in milliseconds. */
  private endAt = 0;

  /** Whether no call waits. */
  get isEmpty(): boolean {
    return this.waiting.size === 0;
  }

  /**
   * Makes a call after this turn's sockets were read, or in a later turn.
   * @returns A handle that takes the call back.
   */
  add(callback: () => void): TimerHandle {
    const entry = (): void => callback();
    this.waiting.add(entry);
    if (!this.isScheduled) this.scheduleTurn();
    return { cancel: () => this.waiting.delete(entry) };
  }

  private scheduleTurn(): void {
    this.isScheduled = true;
    const scheduledAt = performance.now();
    setImmediate(() => {
      const now = performance.now();
      // Calls get half of a long turn, so that they are not put off by other work again and again.
      this.endAt = now + Math.max(MIN_TURN_BUDGET_MS, now - scheduledAt);
      this.callNext();
    });
  }

  private callNext(): void {
    this.isScheduled = false;
    const [entry] = this.waiting;
    if (entry === undefined) return;
    this.waiting.delete(entry);
    this.isScheduled = true;
    try {
      entry();
    } finally {
      // What the call has resolved or put off to the next tick runs before the next one, and counts as its work.
      queueMicrotask(() => process.nextTick(() => this.continue()));
    }
  }

  private continue(): void {
    if (performance.now() < this.endAt) this.callNext();
    else if (this.isEmpty) this.isScheduled = false;
    else this.scheduleTurn();
  }
}
