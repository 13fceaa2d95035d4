/**
 * Keeps this daemon's copy of the records up to date: one daemon watches the source for all, and another one
 * takes over when the copy that it receives becomes too old.
 *
 * With one reader, a batch of changes costs one call instead of one per daemon; calls are billed, and the
 * rate of calls to the source does not grow with the fleet.
 */
import type { TimerHandle, TimerService } from '@celeryyoke/core';

import { isAfter } from './position.js';
import type { Delta, RecordSource } from './types.js';
import type { ReplicatedStore } from './replicated-store.js';

/**
 * Longest wait of one watch: how old a quiet view may get, in milliseconds. A fifth of the least bound on
 * changes (2 s) less the time to notice a silent source.
 */
const WATCH_WAIT_MS = 600;
/** Time beyond the wait after which a watch without a response times out, in milliseconds. */
const WATCH_GRACE_MS = 400;
/** Timeout of reading all records, in milliseconds. */
const LIST_TIMEOUT_MS = 1500;
/** Pause between two watches, in milliseconds; changes made during it come in one call. */
const READ_PAUSE_MS = 120;
/**
 * Minimum share of that pause, and the maximum share that is added at random, for a daemon that has taken
 * over. It stops when it receives a later result than its own, so two readers must not stay synchronized.
 */
const MIN_PAUSE_SHARE = 0.4;
const RANDOM_PAUSE_SHARE = 1.6;
/**
 * Maximum delay before a daemon that is not the first in rank reads all records, in milliseconds: when the store has
 * lost the history, all readers learn that at the same time, and one of them can read for all.
 */
const MAX_LIST_DELAY_MS = 400;
/** Delay after a failed call, in milliseconds. */
const RETRY_DELAY_MS = 150;
/** Age of the copy at which the daemon next in rank takes over, in milliseconds. */
const TAKE_OVER_AGE_MS = 1000;
/**
 * Additional wait of daemons further down in rank, in milliseconds per doubling of the rank: a few take over
 * first, and many that can't read delay the others only a little.
 */
const TAKE_OVER_STEP_MS = 150;
/**
 * Time after its start for which a daemon that knows no other waits until it does, in milliseconds, so that
 * at the first start of the fleet one daemon reads for all.
 */
const ALONE_WAIT_MS = 400;
/**
 * Time for which a restarted daemon waits for the records from a peer, in milliseconds; short, as callers may
 * be waiting.
 */
const RESTART_WAIT_MS = 60;
/** Interval at which a daemon that does not read checks the age of its copy, in milliseconds. */
const CHECK_MS = 100;
/** The same until it has the records, in milliseconds. */
const INITIAL_CHECK_MS = 20;

export interface StoreWatcherOptions {
  readonly view: ReplicatedStore;
  readonly source: RecordSource;
  readonly timers: TimerService;
  /**
   * Rank of this daemon among the live ones, from 0; the first reads for all. Below 0 if it is shutting down.
   */
  readonly rank: () => number;
  /** Whether this daemon knows no other. */
  readonly isAlone: () => boolean;
  /** Whether the whole fleet starts for the first time, before any caller. */
  readonly isFirstStart: boolean;
  /** Random number from 0 to 1. */
  readonly random: () => number;
  /** Publishes what was read to the peers; `hasChanges` says whether there were changes for them. */
  readonly publish: (hasChanges: boolean) => void;
  /** Called when the source becomes unreachable or reachable again. */
  readonly onReachabilityChange: (isReachable: boolean, reason: string) => void;
  /** Called when this daemon has read all records. */
  readonly onList: (listing: Listing) => void;
  /** Called when it has read them for an empty copy, and the copy has them. */
  readonly onFirstList: () => void;
  /** Called when this daemon begins to read in place of those ranked before it. */
  readonly onTakeOver: (takeOver: TakeOver) => void;
}

/** State of a daemon that begins to read although another one is ranked before it. */
export interface TakeOver {
  /** Its rank among the live daemons; below 0 if it is shutting down. */
  readonly rank: number;
  /** Age of its copy, in milliseconds; Infinity if it has none. */
  readonly ageMs: number;
}

/** How all records were read. */
export interface Listing {
  /** Whether the source no longer had the history after the revision of the copy. */
  readonly isHistoryLost: boolean;
  /** Revision of the copy before; 0 if it was empty. */
  readonly from: number;
  /** Revision and sequence of what was read. */
  readonly upTo: number;
  readonly epoch: number;
}

/** Result of one call to the source. */
interface ReadResult {
  readonly delta: Delta;
  /**
   * Monotonic time at which the delta was known to be up to date, in milliseconds; it may be early, never
   * late.
   */
  readonly readAt: number;
}

/** Reads from the source for as long as this daemon is responsible for it. */
export class StoreWatcher {
  private readonly stopping = new AbortController();

  private readonly startedAt: number;

  private checkTimer: TimerHandle | undefined;

  private isReading = false;

  private isReachable = true;

  /** Monotonic time up to which this daemon's own calls confirm the copy, in milliseconds. */
  private lastReadAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: StoreWatcherOptions) {
    this.startedAt = options.timers.now();
  }

  /** Starts to check whether this daemon must read, until it is stopped. */
  start(): void {
    const { timers } = this.options;
    this.checkTimer = timers.repeat(CHECK_MS, () => this.check());
    void this.checkUntilLoaded();
  }

  private async checkUntilLoaded(): Promise<void> {
    while (this.options.view.upTo === 0 && !this.stopping.signal.aborted) {
      this.check();
      await this.options.timers.sleep(INITIAL_CHECK_MS);
    }
  }

  private check(): void {
    if (!this.isReading && this.isResponsible()) void this.readWhileResponsible();
  }

  /** Stops the watcher and aborts the current call. */
  stop(): void {
    this.checkTimer?.cancel();
    this.stopping.abort();
  }

  /** Reads until another daemon does so in its place. */
  private async readWhileResponsible(): Promise<void> {
    const { rank, view, onTakeOver } = this.options;
    this.isReading = true;
    if (rank() !== 0) onTakeOver({ rank: rank(), ageMs: view.ageMs });
    while (!this.stopping.signal.aborted && (this.isResponsible() || this.isNewestReader()))
      await this.readOnce();
    this.isReading = false;
  }

  /**
   * Whether no later result than this daemon's own is known, so that the copy would become outdated if it
   * stopped.
   */
  private isNewestReader(): boolean {
    const { view, rank } = this.options;
    return rank() >= 0 && view.confirmedAt <= this.lastReadAt;
  }

  /** Whether this daemon must read: by its rank, or because its copy has become too old for its rank. */
  private isResponsible(): boolean {
    const { view, rank, isAlone, isFirstStart, timers } = this.options;
    const sinceStartMs = timers.now() - this.startedAt;
    if (view.upTo === 0 && !isFirstStart) return sinceStartMs >= RESTART_WAIT_MS;
    const position = rank();
    if (position === 0) return !isAlone() || sinceStartMs >= ALONE_WAIT_MS;
    const doublings = position < 0 ? 0 : Math.floor(Math.log2(position + 1));
    return Math.min(view.ageMs, sinceStartMs) > TAKE_OVER_AGE_MS + TAKE_OVER_STEP_MS * doublings;
  }

  private async readOnce(): Promise<void> {
    const { view, timers, publish } = this.options;
    try {
      const { publishableCount, epoch } = view;
      const result = await this.fetch();
      if (result !== undefined) this.applyResult(result);
      this.setReachable(true, '');
      publish(view.publishableCount > publishableCount || view.epoch > epoch);
      await timers.sleep(this.pauseMs());
    } catch (err) {
      this.setReachable(false, String(err));
      await timers.sleep(RETRY_DELAY_MS);
    }
  }

  private applyResult({ delta, readAt }: ReadResult): void {
    const { view, timers, onFirstList } = this.options;
    const { epoch = 0, upTo } = delta;
    if (epoch < view.epoch) return;
    const isFirst = view.upTo === 0;
    view.apply(delta);
    view.confirmUpToDate(upTo, timers.now() - readAt, epoch);
    this.lastReadAt = readAt;
    if (isFirst) onFirstList();
  }

  private pauseMs(): number {
    const { rank, random } = this.options;
    return rank() === 0 ? READ_PAUSE_MS : READ_PAUSE_MS * (MIN_PAUSE_SHARE + random() * RANDOM_PAUSE_SHARE);
  }

  /** Reads what has changed, or all records; undefined if a peer has read them meanwhile. */
  private async fetch(): Promise<ReadResult | undefined> {
    const { view, source, timers, rank, random } = this.options;
    if (view.upTo === 0) return this.list(false);
    const { position } = view;
    const startedAt = timers.now();
    const delta = await this.withTimeout(WATCH_WAIT_MS + WATCH_GRACE_MS, (signal) =>
      source.watch(view.upTo, WATCH_WAIT_MS, signal),
    );
    if (delta === undefined || this.isOutOfSequence(delta)) {
      if (rank() !== 0) await timers.sleep(MAX_LIST_DELAY_MS * random());
      return isAfter(view.position, position) ? undefined : this.list(true);
    }
    // A response that arrives late may have been sent early, unless the source had no changes until the end
    // of its wait; its position also moves with changes that are of no use here.
    const isUnchanged = delta.changes.length === 0 && delta.upTo === view.upTo;
    const hasWaited = isUnchanged && timers.now() - startedAt >= WATCH_WAIT_MS;
    return { delta, readAt: hasWaited ? startedAt + WATCH_WAIT_MS : startedAt };
  }

  /** Whether changes are of a later epoch than the copy, or begin after it, so that earlier ones are missing. */
  private isOutOfSequence({ epoch = 0, from }: Delta): boolean {
    const { view } = this.options;
    return epoch > view.epoch || (epoch === view.epoch && from > view.upTo);
  }

  private async list(isHistoryLost: boolean): Promise<ReadResult> {
    const { view, source, timers, onList } = this.options;
    const readAt = timers.now();
    const from = view.upTo;
    const delta = await this.withTimeout(LIST_TIMEOUT_MS, (signal) => source.list(signal));
    onList({ isHistoryLost, from, upTo: delta.upTo, epoch: delta.epoch ?? 0 });
    return { delta, readAt };
  }

  private async withTimeout<T>(ms: number, call: (signal: AbortSignal) => Promise<T>): Promise<T> {
    const limit = new AbortController();
    const timer = this.options.timers.after(ms, () => limit.abort(new Error(`no response within ${ms} ms`)));
    const stop = (): void => limit.abort(new Error('stopping'));
    this.stopping.signal.addEventListener('abort', stop, { once: true });
    try {
      return await call(limit.signal);
    } finally {
      timer.cancel();
      this.stopping.signal.removeEventListener('abort', stop);
    }
  }

  private setReachable(isReachable: boolean, reason: string): void {
    if (this.isReachable === isReachable) return;
    this.isReachable = isReachable;
    this.options.onReachabilityChange(isReachable, reason);
  }
}
