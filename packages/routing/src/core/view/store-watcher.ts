/**
 * Keeps the view fresh: one daemon watches the source for all, and each of the others takes over when the view that
 * it hears grows old.
 *
 * One reader costs one call for each batch of changes instead of one for each daemon; a call is priced, and the
 * source's rate does not grow with the fleet.
 */
import type { TimerHandle, TimerService } from '@celeryyoke/core';

import type { Delta, RecordSource } from './types.js';
import type { ReplicatedStore } from './replicated-store.js';

/** Longest wait of one watch: how old a quiet view may get, in milliseconds. A fifth of the least bound on changes (2 s) less the time to notice a silent source. */
const WATCH_WAIT_MS = 600;
/** Time beyond the wait after which a watch without an answer is given up, in milliseconds. */
const SILENCE_MS = 400;
/** Longest time for reading everything, in milliseconds. */
const LIST_TIMEOUT_MS = 1500;
/** Pause between two watches, in milliseconds: changes of that time come in one call. */
const BATCH_MS = 120;
/**
 * Least part of that pause, and what chance adds to it, for a daemon that reads in place of others. It stops when it hears
 * of a later reading than its own, so two that read must not stay in step.
 */
const LEAST_PAUSE_SHARE = 0.4;
const CHANCE_PAUSE_SHARE = 1.6;
/** Pause after a failed call, in milliseconds. */
const RETRY_MS = 150;
/** Age of the view at which the daemon next in rank reads for itself, in milliseconds. */
const TAKE_OVER_AGE_MS = 1000;
/**
 * Time by which those further down in rank wait longer, in milliseconds for each doubling of the rank: so a few take
 * over first, and many that can't read delay the others by little.
 */
const TAKE_OVER_STEP_MS = 250;
/**
 * Time after its start in which a daemon that knows no other waits for word of one, in milliseconds: where the whole
 * fleet starts for the first time, one of them reads for all.
 */
const ALONE_MS = 400;
/** Time in which a daemon that starts again waits for the view of a peer, in milliseconds: callers may be waiting. */
const RESTART_WAIT_MS = 60;
/** How often a daemon that does not read looks at the view's age, in milliseconds. */
const LOOK_MS = 100;
/** The same until it has a view, in milliseconds. */
const FIRST_LOOK_MS = 20;

/** Options of a watcher. */
export interface StoreWatcherOptions {
  readonly view: ReplicatedStore;
  readonly source: RecordSource;
  readonly timers: TimerService;
  /** Place of this daemon among those that live, from 0; the first reads for all. Below 0 when it is leaving. */
  readonly rank: () => number;
  /** Whether this daemon knows no other. */
  readonly isAlone: () => boolean;
  /** Whether the whole fleet starts for the first time, before any caller. */
  readonly isFirstStart: boolean;
  /** A number from 0 to 1, drawn anew with each call. */
  readonly random: () => number;
  /** Gives what was read to the peers; told whether there were changes. */
  readonly publish: (isNews: boolean) => void;
  /** Told when the source is lost or regained. */
  readonly onSource: (isReachable: boolean, reason: string) => void;
  /** Told when this daemon begins to read in place of those before it. */
  readonly onTakeOver: (takeOver: TakeOver) => void;
}

/** Why a daemon reads although another one is to read for all. */
export interface TakeOver {
  /** Its place among those that live; below 0 when it is leaving. */
  readonly rank: number;
  /** Age of its view, in milliseconds; Infinity when it has none. */
  readonly ageMs: number;
}

/** What the source has told. */
interface Reading {
  readonly delta: Delta;
  /** Monotonic time at which the source had no more than that, or a moment before, in milliseconds. */
  readonly readAt: number;
}

/** The task that follows the source. */
export class StoreWatcher {
  private readonly stopping = new AbortController();

  private readonly startedAt: number;

  private looking: TimerHandle | undefined;

  private isReading = false;

  private isReachable = true;

  /** Monotonic time up to which this daemon's own readings confirm the view, in milliseconds. */
  private ownReadAt = Number.NEGATIVE_INFINITY;

  /**
   * Makes a watcher that has not started.
   * @param options - View, source, rank.
   */
  constructor(private readonly options: StoreWatcherOptions) {
    this.startedAt = options.timers.now();
  }

  /** Follows the source until it is stopped. */
  start(): void {
    const { timers } = this.options;
    this.looking = timers.repeat(LOOK_MS, () => this.look());
    void this.lookForFirst();
  }

  private async lookForFirst(): Promise<void> {
    while (this.options.view.upTo === 0 && !this.stopping.signal.aborted) {
      this.look();
      await this.options.timers.sleep(FIRST_LOOK_MS);
    }
  }

  private look(): void {
    if (!this.isReading && this.isMyTurn()) void this.read();
  }

  /** Ends the task; a call that waits is given up. */
  stop(): void {
    this.looking?.cancel();
    this.stopping.abort();
  }

  /** Reads as long as it is this daemon's turn. */
  private async read(): Promise<void> {
    const { rank, view, onTakeOver } = this.options;
    this.isReading = true;
    if (rank() !== 0) onTakeOver({ rank: rank(), ageMs: view.ageMs });
    while (!this.stopping.signal.aborted && (this.isMyTurn() || this.isNewestReader())) await this.readOnce();
    this.isReading = false;
  }

  /** Whether nobody has read later than this daemon, so that the view would grow old if it stopped. */
  private isNewestReader(): boolean {
    const { view, rank } = this.options;
    return rank() >= 0 && view.confirmedAt <= this.ownReadAt;
  }

  private isMyTurn(): boolean {
    const { view, rank, isAlone, isFirstStart, timers } = this.options;
    const sinceStartMs = timers.now() - this.startedAt;
    if (view.upTo === 0 && !isFirstStart) return sinceStartMs >= RESTART_WAIT_MS;
    const place = rank();
    if (place === 0) return !isAlone() || sinceStartMs >= ALONE_MS;
    const doublings = place < 0 ? 0 : Math.floor(Math.log2(place + 1));
    return Math.min(view.ageMs, sinceStartMs) > TAKE_OVER_AGE_MS + TAKE_OVER_STEP_MS * doublings;
  }

  private async readOnce(): Promise<void> {
    const { view, timers, publish } = this.options;
    try {
      const { newsCount } = view;
      const { delta, readAt } = await this.fetch();
      view.apply(delta);
      view.confirm(delta.upTo, timers.now() - readAt);
      this.ownReadAt = readAt;
      this.note(true, '');
      publish(view.newsCount > newsCount);
      await timers.sleep(this.pauseMs());
    } catch (err) {
      this.note(false, String(err));
      await timers.sleep(RETRY_MS);
    }
  }

  private pauseMs(): number {
    const { rank, random } = this.options;
    return rank() === 0 ? BATCH_MS : BATCH_MS * (LEAST_PAUSE_SHARE + random() * CHANCE_PAUSE_SHARE);
  }

  private async fetch(): Promise<Reading> {
    const { view, source, timers } = this.options;
    if (view.upTo === 0) return this.list();
    const startedAt = timers.now();
    const delta = await this.within(WATCH_WAIT_MS + SILENCE_MS, (signal) =>
      source.watch(view.upTo, WATCH_WAIT_MS, signal),
    );
    if (delta === undefined) return this.list();
    // An answer that came late may have been given early, unless the source had nothing to say until its wait was over.
    const hasWaited = delta.changes.length === 0 && timers.now() - startedAt >= WATCH_WAIT_MS;
    return { delta, readAt: hasWaited ? startedAt + WATCH_WAIT_MS : startedAt };
  }

  private async list(): Promise<Reading> {
    const readAt = this.options.timers.now();
    const delta = await this.within(LIST_TIMEOUT_MS, (signal) => this.options.source.list(signal));
    return { delta, readAt };
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
