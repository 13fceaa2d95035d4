/** Places on engines: how many requests of this daemon run on each, and who comes next when an engine is full. */
import type { EngineConfig } from '@celeryyoke/configuration';
import type { TimerHandle, TimerService } from '@celeryyoke/core';
import { CeleryyokeError } from '@celeryyoke/core';

import type { QueueEntry } from './fair-queue.js';
import { FairQueue } from './fair-queue.js';
import { chooseVictim } from './shedding.js';
import type { Place, WaitingRequest } from './types.js';

/** What the limit of an engine depends on. */
export interface EngineUse {
  /** Requests of this daemon that run on the engine. */
  readonly running: number;
  /** Requests of this daemon that hold a lease and wait for a place. */
  readonly queued: number;
}

/** Says how many requests of this daemon may run on an engine at this moment. */
export type EngineLimit = (engine: EngineConfig, use: EngineUse) => number;

/** Options of the places. */
export interface EnginePlacesOptions {
  readonly timers: TimerService;
  readonly limit: EngineLimit;
  /** Longest wait for a place that is worth beginning, in milliseconds. */
  readonly maxQueueMs: number;
  /** Called for each request that is turned away. */
  readonly onShed: () => void;
}

/** Limits may grow without one of our own requests ending, as when another daemon's end. */
const CHECK_INTERVAL_MS = 50;
const SERVICE_SMOOTHING = 0.1;
const MS_PER_SECOND = 1000;

type Begin = () => void;

/** One engine's places. */
class EngineQueue {
  running = 0;

  readonly queue = new FairQueue<Begin>();

  /** Smoothed time that a request holds a place, in milliseconds. */
  private serviceMs = 0;

  private check: TimerHandle | undefined;

  constructor(
    public engine: EngineConfig,
    private readonly options: EnginePlacesOptions,
  ) {}

  /** Says how many may run; a request that enters holds its lease already, so the site view counts it too. */
  limit(entering = 0): number {
    return this.options.limit(this.engine, { running: this.running, queued: this.queue.size + entering });
  }

  enter(request: WaitingRequest): Promise<Place> {
    if (this.queue.size === 0 && this.running < this.limit(1)) return Promise.resolve(this.begin(0));
    this.shed(request);
    return this.wait(request);
  }

  /** Starts those that wait, as far as there is room. */
  private pump(): void {
    while (this.queue.size > 0 && this.running < this.limit()) this.queue.pop()?.value();
    if (this.queue.size > 0) return;
    this.check?.cancel();
    this.check = undefined;
  }

  private begin(waitMs: number): Place {
    const { timers } = this.options;
    const startedAt = timers.now();
    this.running += 1;
    let isHeld = true;
    return {
      waitMs,
      leave: () => {
        if (!isHeld) return;
        isHeld = false;
        this.running -= 1;
        this.serviceMs += SERVICE_SMOOTHING * (timers.now() - startedAt - this.serviceMs);
        this.pump();
      },
    };
  }

  private wait(request: WaitingRequest): Promise<Place> {
    const { queue } = this;
    const { timers } = this.options;
    const { signal } = request;
    return new Promise((resolve, reject) => {
      const since = timers.now();
      const begin = (): void => {
        signal.removeEventListener('abort', onAbort);
        resolve(this.begin(timers.now() - since));
      };
      const entry: QueueEntry<Begin> = { request, value: begin };
      function onAbort(): void {
        queue.remove(entry);
        reject(signal.reason);
      }
      if (signal.aborted) {
        reject(signal.reason);
        return;
      }
      signal.addEventListener('abort', onAbort, { once: true });
      queue.push(entry);
      this.check ??= timers.repeat(CHECK_INTERVAL_MS, () => this.pump());
    });
  }

  /** Turns a request away when the wait would be too long to be of use; better now than after the wait. */
  private shed(newcomer: WaitingRequest): void {
    const { timers, maxQueueMs, onShed } = this.options;
    const expectedMs = ((this.queue.size + 1) * this.serviceMs) / Math.max(1, this.limit());
    const isTooLate = expectedMs > newcomer.deadlineAt - timers.now();
    if (!isTooLate && expectedMs <= maxQueueMs) return;
    const victim = isTooLate ? newcomer : chooseVictim(this.queue.requests(), newcomer);
    const refusal = new CeleryyokeError('Overloaded', {}, { retryAfter: expectedMs / MS_PER_SECOND });
    onShed();
    if (victim === newcomer) throw refusal;
    victim.abort(refusal);
  }
}

/** The places on all engines. */
export class EnginePlaces {
  private readonly engines = new Map<string, EngineQueue>();

  /**
   * Makes places that nobody holds.
   * @param options - Time and limits.
   */
  constructor(private readonly options: EnginePlacesOptions) {}

  /**
   * Waits for a place on an engine.
   * @param engine - The engine.
   * @param request - Who waits.
   * @returns The place.
   * @throws CeleryyokeError Overloaded when the wait would be too long, or the reason that the request was given up.
   */
  async enter(engine: EngineConfig, request: WaitingRequest): Promise<Place> {
    return this.find(engine).enter(request);
  }

  /**
   * Reads how an engine is used by this daemon.
   * @param engine - Its name.
   * @returns Requests that run and wait.
   */
  use(engine: string): EngineUse {
    const queue = this.engines.get(engine);
    return { running: queue?.running ?? 0, queued: queue?.queue.size ?? 0 };
  }

  private find(engine: EngineConfig): EngineQueue {
    let queue = this.engines.get(engine.name);
    if (queue === undefined) {
      queue = new EngineQueue(engine, this.options);
      this.engines.set(engine.name, queue);
    }
    queue.engine = engine;
    return queue;
  }
}
