/**
 * Keeps the view fresh: one daemon watches the source for all, and each of the others takes over when the view that
 * it hears grows old.
 *
 * One reader costs one call for each batch of changes instead of one for each daemon; a call is priced, and the
 * source's rate does not grow with the fleet.
 */
import type { TimerService } from '@celeryyoke/core';

import type { Delta, RecordSource } from './types.js';
import type { SharedView } from './view.js';

/** Longest wait of one watch: how old a quiet view may get, in milliseconds. A fifth of the least bound on changes (2 s) less the time to notice a silent source. */
const WATCH_WAIT_MS = 600;
/** Time beyond the wait after which a watch without an answer is given up, in milliseconds. */
const SILENCE_MS = 400;
/** Longest time for reading everything, in milliseconds. */
const LIST_TIMEOUT_MS = 1500;
/** Pause between two watches, in milliseconds: changes of that time come in one call. */
const BATCH_MS = 120;
/** Pause after a failed call, in milliseconds. */
const RETRY_MS = 150;
/** Age of the view at which the daemon next in rank reads for itself, in milliseconds; later ones wait a step more each. */
const TAKE_OVER_AGE_MS = 1000;
const TAKE_OVER_STEP_MS = 120;
const MAX_STEPS = 5;
/** How often a daemon that does not read looks at the view's age, in milliseconds. */
const LOOK_MS = 60;

/** Options of a follower. */
export interface FollowOptions {
  readonly view: SharedView;
  readonly source: RecordSource;
  readonly timers: TimerService;
  /** Place of this daemon among those that live, from 0; the first reads for all. */
  readonly rank: () => number;
  /** Gives what was read to the peers. */
  readonly publish: () => void;
  /** Told when the source is lost or regained. */
  readonly onSource: (isReachable: boolean, reason: string) => void;
}

/** The task that follows the source. */
export class Follower {
  private readonly stopping = new AbortController();

  private isReachable = true;

  /**
   * Makes a follower that has not started.
   * @param options - View, source, rank.
   */
  constructor(private readonly options: FollowOptions) {}

  /** Runs until it is stopped. */
  async run(): Promise<void> {
    const { timers } = this.options;
    while (!this.stopping.signal.aborted) {
      if (this.isMyTurn()) await this.readOnce();
      else await timers.sleep(LOOK_MS);
    }
  }

  /** Ends the task; a call that waits is given up. */
  stop(): void {
    this.stopping.abort();
  }

  private isMyTurn(): boolean {
    const { view, rank } = this.options;
    if (view.upTo === 0) return true;
    const place = rank();
    if (place === 0) return true;
    return view.ageMs > TAKE_OVER_AGE_MS + TAKE_OVER_STEP_MS * Math.min(place, MAX_STEPS);
  }

  private async readOnce(): Promise<void> {
    const { view, timers, publish } = this.options;
    try {
      const delta = await this.fetch();
      view.apply(delta);
      view.confirm(view.upTo, 0);
      this.note(true, '');
      publish();
      await timers.sleep(BATCH_MS);
    } catch (err) {
      this.note(false, String(err));
      await timers.sleep(RETRY_MS);
    }
  }

  private async fetch(): Promise<Delta> {
    const { view, source } = this.options;
    if (view.upTo === 0) return this.within(LIST_TIMEOUT_MS, (signal) => source.list(signal));
    const delta = await this.within(WATCH_WAIT_MS + SILENCE_MS, (signal) =>
      source.watch(view.upTo, WATCH_WAIT_MS, signal),
    );
    return delta ?? this.within(LIST_TIMEOUT_MS, (signal) => source.list(signal));
  }

  private async within<T>(ms: number, call: (signal: AbortSignal) => Promise<T>): Promise<T> {
    const limit = new AbortController();
    const timer = this.options.timers.after(ms, () => limit.abort(new Error(`no answer within ${ms} ms`)));
    const stop = (): void => limit.abort(new Error('stopping'));
    this.stopping.signal.addEventListener('abort', stop, { once: true });
    try {
      return await call(limit.signal);
    } finally {
      timer.cancel();
      this.stopping.signal.removeEventListener('abort', stop);
    }
  }

  private note(isReachable: boolean, reason: string): void {
    if (this.isReachable === isReachable) return;
    this.isReachable = isReachable;
    this.options.onSource(isReachable, reason);
  }
}
