/** A timer service driven by hand, for tests and replays. */
import { sleepWith } from './system.js';
import { createTicks } from './ticks.js';
import type { ManualTimerService, TimerHandle } from './types.js';

interface Pending {
  readonly due: number;
  readonly order: number;
  readonly callback: () => void;
  cancelled: boolean;
}

/** Options of the manual timer service. */
export interface ManualTimersOptions {
  /** Monotonic start in milliseconds; 0 when left out. */
  readonly now?: number;
  /** Wall-clock start in milliseconds since the epoch; a fixed date when left out. */
  readonly wall?: number;
}

const DEFAULT_WALL = Date.UTC(2026, 0, 1);

function isEarlier(left: Pending, right: Pending): boolean {
  return left.due < right.due || (left.due === right.due && left.order < right.order);
}

/** A binary heap ordered by due time, then by order of arrival. */
class PendingHeap {
  private readonly items: Pending[] = [];

  peek(): Pending | undefined {
    while (this.items[0]?.cancelled) this.pop();
    return this.items[0];
  }

  push(item: Pending): void {
    const { items } = this;
    let index = items.push(item) - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isEarlier(item, items[parent]!)) break;
      items[index] = items[parent]!;
      index = parent;
    }
    items[index] = item;
  }

  pop(): Pending | undefined {
    const { items } = this;
    const top = items[0];
    const last = items.pop();
    if (top === undefined || last === undefined || items.length === 0) return top;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= items.length) break;
      if (child + 1 < items.length && isEarlier(items[child + 1]!, items[child]!)) child += 1;
      if (!isEarlier(items[child]!, last)) break;
      items[index] = items[child]!;
      index = child;
    }
    items[index] = last;
    return top;
  }
}

/** Gives promise callbacks and socket events that are ready a turn. */
function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** The manual timer service. */
class ManualTimers implements ManualTimerService {
  private readonly heap = new PendingHeap();

  private order = 0;

  private time: number;

  private readonly wallOffset: number;

  /** Length of the pause after which nothing was read yet, in milliseconds. */
  private unreadMs = 0;

  constructor(options: ManualTimersOptions) {
    this.time = options.now ?? 0;
    this.wallOffset = (options.wall ?? DEFAULT_WALL) - this.time;
  }

  readonly now = (): number => this.time;

  readonly wall = (): number => this.time + this.wallOffset;

  readonly after = (ms: number, callback: () => void): TimerHandle => {
    this.order += 1;
    const item: Pending = { due: this.time + Math.max(0, ms), order: this.order, callback, cancelled: false };
    this.heap.push(item);
    return {
      cancel: () => {
        item.cancelled = true;
      },
    };
  };

  readonly readAgeMs = (): number => this.unreadMs;

  readonly afterPoll = (callback: () => void): TimerHandle => this.after(0, callback);

  readonly repeat = (ms: number, callback: (now: number) => void): TimerHandle => {
    let handle: TimerHandle;
    let ended = false;
    const tick = (): void => {
      callback(this.time);
      if (!ended) handle = this.after(ms, tick);
    };
    handle = this.after(ms, tick);
    return {
      cancel: () => {
        ended = true;
        handle.cancel();
      },
    };
  };

  readonly every = (ms: number) => createTicks(this.repeat, ms);

  readonly sleep = (ms: number, signal?: AbortSignal): Promise<void> => sleepWith(this.after, ms, signal);

  readonly nextDue = (): number | undefined => this.heap.peek()?.due;

  readonly pause = (ms: number): void => {
    this.time += ms;
    this.unreadMs += ms;
  };

  readonly advance = async (ms: number): Promise<void> => {
    const end = this.time + ms;
    await settle();
    this.unreadMs = 0;
    while (this.fireNext(end)) await settle();
    this.time = Math.max(this.time, end);
    await settle();
  };

  readonly advanceSync = (ms: number): void => {
    const end = this.time + ms;
    this.unreadMs = 0;
    while (this.fireNext(end));
    this.time = Math.max(this.time, end);
  };

  private fireNext(end: number): boolean {
    const next = this.heap.peek();
    if (next === undefined || next.due > end) return false;
    this.heap.pop();
    this.time = Math.max(this.time, next.due);
    next.callback();
    return true;
  }
}

/**
 * Makes a timer service whose time stands still until it is moved on.
 * @param options - Where the clocks start.
 * @returns The service.
 */
export function createManualTimers(options: ManualTimersOptions = {}): ManualTimerService {
  return new ManualTimers(options);
}
