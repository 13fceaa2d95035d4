/**
 * Requests that wait for a replica, in the order in which they get one: by the configured priority, then by the time
 * until which they can still be served. Requests for the same replicas share a queue.
 *
 * A queue is bounded: a request that can't expect its turn in time does not join it.
 */
import type { TimerService } from '@celeryyoke/core';

/** Largest number of requests in one queue; each holds a connection of its caller. */
const MAX_WAITING = 512;
/** Number of queues from which on empty ones are dropped. */
const MAX_QUEUES = 100;
/** Requests at the head of a queue that may choose at one moment: one that needs a certain replica holds up no others. */
const HEAD_SIZE = 8;
/** Weight of the latest interval between two turns in the moving average. */
const INTERVAL_WEIGHT = 0.2;

/** A request in a queue. */
export interface WaitingRequest {
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
  /** Monotonic time until which it can still be served, in milliseconds. */
  readonly lastCallAt: number;
}

function precedes(one: WaitingRequest, other: WaitingRequest): boolean {
  return one.rank === other.rank ? one.lastCallAt < other.lastCallAt : one.rank < other.rank;
}

/** The requests that wait for the same replicas. */
export class WaitQueue {
  private readonly waiting: WaitingRequest[] = [];

  /** Monotonic time since which no request could get a replica, in milliseconds; undefined if the last one could. */
  private stalledSince: number | undefined;

  /** Monotonic time at which the last waiting request left, in milliseconds. */
  private emptySince = 0;

  /** Monotonic time of the latest turn while others waited, in milliseconds. */
  private lastTurnAt: number | undefined;

  /** Average time between two turns while requests wait, in milliseconds; 0 until it is measured. */
  private intervalMs = 0;

  constructor(private readonly timers: Pick<TimerService, 'now'>) {}

  /** Number of requests that wait. */
  get size(): number {
    return this.waiting.length;
  }

  /** Whether a request may choose a replica now, or others come before it: a new one does not overtake those that wait. */
  mayChoose(request: WaitingRequest): boolean {
    return this.aheadOf(request) < (this.waiting.includes(request) ? HEAD_SIZE : 1);
  }

  /**
   * Returns how long a request is expected to wait for its turn, in milliseconds: what has been stalled for some time is
   * expected to stay so for as long again.
   * @returns Infinity if the queue is full.
   */
  expectedMs(request: WaitingRequest): number {
    const ahead = this.aheadOf(request);
    if (ahead >= MAX_WAITING) return Number.POSITIVE_INFINITY;
    const stalledMs = this.stalledSince === undefined ? 0 : this.timers.now() - this.stalledSince;
    return Math.max(stalledMs, ahead * this.intervalMs);
  }

  /** Whether nobody has waited for longer than the queue was stalled before: it may have gone on since. */
  private get isStallForgotten(): boolean {
    const { stalledSince = 0, emptySince } = this;
    return this.waiting.length === 0 && this.timers.now() - emptySince > emptySince - stalledSince;
  }

  /** Adds a request that could not get a replica. Does nothing if it waits already. */
  join(request: WaitingRequest): void {
    if (this.stalledSince === undefined || this.isStallForgotten) this.stalledSince = this.timers.now();
    if (this.waiting.includes(request)) return;
    this.waiting.splice(this.aheadOf(request), 0, request);
  }

  /** Removes a request, if it waits, as it has got a replica. */
  recordTurn(request: WaitingRequest): void {
    const now = this.timers.now();
    this.stalledSince = undefined;
    if (!this.leave(request)) return;
    if (this.lastTurnAt !== undefined)
      this.intervalMs += INTERVAL_WEIGHT * (now - this.lastTurnAt - this.intervalMs);
    this.lastTurnAt = this.waiting.length > 0 ? now : undefined;
  }

  /**
   * Removes a request that does not wait any longer.
   * @returns Whether it did.
   */
  leave(request: WaitingRequest): boolean {
    const index = this.waiting.indexOf(request);
    if (index < 0) return false;
    this.waiting.splice(index, 1);
    if (this.waiting.length > 0) return true;
    this.lastTurnAt = undefined;
    this.emptySince = this.timers.now();
    return true;
  }

  /** Number of waiting requests that come before another one. */
  private aheadOf(request: WaitingRequest): number {
    const own = this.waiting.indexOf(request);
    if (own >= 0) return own;
    const index = this.waiting.findIndex((other) => precedes(request, other));
    return index < 0 ? this.waiting.length : index;
  }
}

/** Queues by service and software version. */
export class WaitQueues {
  private readonly queues = new Map<string, WaitQueue>();

  constructor(private readonly timers: Pick<TimerService, 'now'>) {}

  /**
   * Returns the queue for the replicas of a service.
   * @param softwareVersion - Version that the replicas must have; undefined for any.
   */
  of(service: string, softwareVersion: string | undefined): WaitQueue {
    const key = `${service}@${softwareVersion ?? ''}`;
    if (this.queues.size > MAX_QUEUES) this.dropEmptyQueues();
    const queue = this.queues.get(key) ?? new WaitQueue(this.timers);
    this.queues.set(key, queue);
    return queue;
  }

  private dropEmptyQueues(): void {
    for (const [key, { size }] of this.queues) if (size === 0) this.queues.delete(key);
  }
}
