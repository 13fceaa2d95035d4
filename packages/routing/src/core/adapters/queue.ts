/** Queue of the adapter loads that wait for a slot on one engine, with the rule for which load comes next. */
import type { TimerService } from '@celeryyoke/core';

import type { AdapterRef, Urgency } from './types.js';
import { AdapterUnavailable, adapterKey } from './types.js';

/**
 * Shortest wait for a load to start, in milliseconds: the time it can take to free a slot that is evictable
 * when the request arrives.
 */
const MIN_QUEUE_WAIT_MS = 60;

/** A load that requests wait for. */
export interface PendingLoad extends AdapterRef {
  readonly key: string;
  /** Monotonic time since which a request waits for the adapter, on any engine. */
  requestedAt: number;
  /** Rank of the most urgent request waiting for the load. */
  rank: number;
  /**
   * Monotonic time by which the load must end for the next of its requests to be served before its deadline.
   */
  lastCallAt: number;
  /** Monotonic time at which the last waiting request gives up. */
  expiresAt: number;
  /** Whether the load did not start while a request waited for it. */
  hasExpired: boolean;
  /** Settles when the load has started, or never will. */
  readonly started: Promise<void>;
  readonly markStarted: () => void;
  /** Settles when the adapter is resident, or can't be loaded. */
  readonly loaded: Promise<void>;
  readonly resolve: () => void;
  readonly reject: (err: Error) => void;
}

/** Load queue of one engine. */
export class LoadQueue {
  private readonly waiting: PendingLoad[] = [];

  /** Loads that wait or are in progress, so that requests for the same adapter share one load. */
  private readonly loadsByKey = new Map<string, PendingLoad>();

  constructor(private readonly timers: TimerService) {}

  /** Number of loads that have not started. */
  get size(): number {
    return this.waiting.length;
  }

  /**
   * Returns a load that waits or is in progress.
   * @param key - `model/adapter`.
   */
  find(key: string): PendingLoad | undefined {
    return this.loadsByKey.get(key);
  }

  /** Adds a load for an adapter. */
  add(ref: AdapterRef): PendingLoad {
    const load = createPendingLoad(ref, this.timers.now());
    const { key } = load;
    this.loadsByKey.set(key, load);
    this.waiting.push(load);
    const removeLoad = (): void => {
      this.loadsByKey.delete(key);
      load.markStarted();
    };
    load.loaded.then(removeLoad, removeLoad);
    return load;
  }

  /** Adds a request to a load, which becomes at least as urgent as the request. */
  addRequest(load: PendingLoad, { rank, waitedMs, lastCallMs, patienceMs }: Urgency): void {
    const now = this.timers.now();
    const lastCallAt = now + lastCallMs;
    // A request that can't be served any more does not decide for those that can.
    const hasPassed = load.lastCallAt < now;
    Object.assign(load, {
      rank: Math.min(load.rank, rank),
      requestedAt: Math.min(load.requestedAt, now - waitedMs),
      lastCallAt: hasPassed ? Math.max(load.lastCallAt, lastCallAt) : Math.min(load.lastCallAt, lastCallAt),
      expiresAt: Math.max(load.expiresAt, now + Math.max(patienceMs, MIN_QUEUE_WAIT_MS)),
    } satisfies Partial<PendingLoad>);
  }

  /**
   * Waits until a load has started or ended, or no request waits for it any longer.
   * @returns Whether the load has started.
   */
  async waitForStart(load: PendingLoad): Promise<boolean> {
    while (this.isWaiting(load) && this.timers.now() < load.expiresAt) {
      const timerAbort = new AbortController();
      const expired = this.timers
        .sleep(load.expiresAt - this.timers.now(), timerAbort.signal)
        .catch(() => undefined);
      await Promise.race([load.started, expired]);
      timerAbort.abort();
    }
    return !load.hasExpired && !this.isWaiting(load);
  }

  /**
   * Returns the load to start next, leaving it in the queue, and rejects loads that no request waits for any
   * longer.
   * @param isBlocked - Whether the load of an adapter can't start now.
   */
  next(isBlocked: (key: string) => boolean): PendingLoad | undefined {
    const now = this.timers.now();
    this.rejectExpired(now);
    let first: PendingLoad | undefined;
    for (const load of this.waiting) {
      if (isBlocked(load.key)) continue;
      if (first === undefined || precedes(load, first, now)) first = load;
    }
    return first;
  }

  /** Removes a load from the queue as it starts. */
  start(load: PendingLoad): void {
    this.waiting.splice(this.waiting.indexOf(load), 1);
    load.markStarted();
  }

  /**
   * Completes a waiting load whose adapter has become resident through another load.
   * @param key - `model/adapter`.
   * @param version - The resident version.
   */
  complete(key: string, version: number): void {
    const load = this.loadsByKey.get(key);
    if (load === undefined || !this.isWaiting(load) || (load.version ?? 0) > version) return;
    this.start(load);
    load.resolve();
  }

  /** Rejects all loads that have not started. */
  rejectAll(reason: string): void {
    for (const load of this.waiting.splice(0)) load.reject(new AdapterUnavailable(reason));
  }

  private isWaiting(load: PendingLoad): boolean {
    return this.waiting.includes(load);
  }

  private rejectExpired(now: number): void {
    for (let index = this.waiting.length - 1; index >= 0; index -= 1) {
      if (this.waiting[index]!.expiresAt > now) continue;
      const [expired] = this.waiting.splice(index, 1);
      expired!.hasExpired = true;
      expired!.reject(new AdapterUnavailable('The load could not start in time.'));
    }
  }
}

function createPendingLoad(ref: AdapterRef, now: number): PendingLoad {
  let resolve!: () => void;
  let reject!: (err: Error) => void;
  let markStarted!: () => void;
  const loaded = new Promise<void>((onDone, onFailure) => {
    resolve = onDone;
    reject = onFailure;
  });
  const started = new Promise<void>((onStarted) => {
    markStarted = onStarted;
  });
  return {
    ...ref,
    key: adapterKey(ref.model, ref.adapter),
    requestedAt: now,
    rank: Number.MAX_SAFE_INTEGER,
    lastCallAt: Number.NEGATIVE_INFINITY,
    expiresAt: 0,
    hasExpired: false,
    started,
    markStarted,
    loaded,
    resolve,
    reject,
  };
}

/**
 * Returns whether a load comes before another one: by the priority of their requests, then by the time that those have
 * left. Loads whose requests can't be served before their deadlines any more come last.
 */
function precedes(one: PendingLoad, other: PendingLoad, now: number): boolean {
  const hasPassed = one.lastCallAt < now;
  if (hasPassed !== other.lastCallAt < now) return !hasPassed;
  if (one.rank !== other.rank) return one.rank < other.rank;
  if (one.lastCallAt !== other.lastCallAt) return one.lastCallAt < other.lastCallAt;
  return one.requestedAt < other.requestedAt;
}
