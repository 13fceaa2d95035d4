/** Finds the replica for a request: chooses one, loads the adapter on it, and limits how long that takes. */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { EnsureAdapter, Urgency } from '../adapters/index.js';
import type { Route } from '../catalog/index.js';
import type { Choice, Chooser, Need } from '../choice/index.js';
import type { ReplicaEntry } from '../view/index.js';
import type { CallerTimeouts } from './caller-timeouts.js';
import type { RequestMetrics } from './metrics.js';
import type { RequestHead } from './types.js';
import type { WaitTimes } from './wait-times.js';
import { WaitCause } from './wait-times.js';

/**
 * Share of the objective that a request waits while its service has no replica; users penalize longer waits.
 */
const NO_REPLICA_WAIT_SHARE = 1 / 8;
/** The same while loads of its adapter fail: a connection to an engine, or its owner, is back soon. */
const LOAD_FAILED_WAIT_SHARE = 1 / 2;
/**
 * Share of the time left for which a late request waits for a slot: its response is worth the same however
 * late it is, and more than none. With 1/8 and with 1/2, days under load were worth 0.01 less.
 */
const LATE_WAIT_SHARE = 1 / 4;
/** Share of its timeout that a stream needs until its end, and that must be left when a load begins. */
const MIN_STREAM_SHARE = 0.6;
/** Pause between two choices while there is no replica, in milliseconds. */
const POLL_INTERVAL_MS = 20;
/** Longest wait for an adapter on one engine before another engine is tried, in milliseconds. */
const LOAD_TIMEOUT_MS = 1500;
/**
 * Longest wait in one engine's queue before the choice is made again, in milliseconds: the interval at which
 * owners publish the state of their slots.
 */
const QUEUE_TIMEOUT_MS = 250;

/** Components of the daemon that a finder uses. */
export interface FinderDependencies {
  readonly chooser: Chooser;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  readonly metrics: RequestMetrics;
  readonly callerTimeouts: CallerTimeouts;
  readonly ensure: EnsureAdapter;
}

/** A request that needs a replica. */
export interface RoutedRequest {
  readonly head: RequestHead;
  readonly route: Route;
  readonly service: string;
  /** Priority of its client account, or else of its route; 0 is the most urgent. */
  readonly rank: number;
  /** Monotonic time of its arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic time of its deadline, in milliseconds. */
  readonly deadlineAt: number;
  readonly hasEnded: () => boolean;
  /** Whether a part of the response was sent to the caller. */
  readonly hasResponseBegun: () => boolean;
  /** Software version at which the request must run, as it goes on with a stream; undefined if it begins one. */
  readonly softwareVersion: () => string | undefined;
  /** Whether a stream begins that its caller may resume at any daemon. */
  readonly beginsResumable: () => boolean;
  /** Ranks replicas while a replica has crashed under the request; undefined otherwise. */
  readonly suspectRanking: () => Need['rankForSuspect'];
}

/** Finds a replica for each attempt of one request. */
export class ReplicaFinder {
  /** Replicas that the request was sent to. */
  readonly tried = new Set<string>();

  /** Total wait for adapters to be loaded, in milliseconds. */
  loadMs = 0;

  /** Monotonic time of the latest choice, in milliseconds. */
  chosenAt = Number.NEGATIVE_INFINITY;

  /** Engines that refused this request because they lack its adapter, whatever was published about them. */
  private readonly adapterMissing = new Set<string>();

  /** Engines on which a load of the adapter failed. */
  private readonly loadFailed = new Set<string>();

  constructor(
    private readonly parts: FinderDependencies,
    private readonly request: RoutedRequest,
    private readonly waits: Pick<WaitTimes, 'measure'>,
  ) {}

  /**
   * Chooses replicas until one has the adapter resident, or the wait has lasted too long.
   * @param among - Replicas that may be chosen; all when it is left out.
   * @returns The choice; undefined when there is none or the request has ended.
   */
  async find(among?: ReadonlySet<string>): Promise<Choice | undefined> {
    const { timers } = this.parts;
    const startedAt = timers.now();
    // Engines that can't begin a load at once; the chooser has received the state of their slots.
    const full = new Set<string>();
    while (!this.request.hasEnded() && this.hasVersion()) {
      const choice = this.chooseInTime(among);
      if (choice !== undefined && (!choice.needsLoad || (await this.loadOrMarkFull(choice.replica, full)))) {
        if (choice.opensInMs === undefined) return choice;
        // Another replica may get a free slot before.
        await timers.sleep(Math.min(POLL_INTERVAL_MS, choice.opensInMs));
        continue;
      }
      const waitedMs = timers.now() - startedAt;
      // No choice is possible before the first replica accepts requests again.
      const minWaitMs = choice === undefined ? this.backoffMs() : 0;
      const hasTimedOut = waitedMs + minWaitMs >= this.maxWaitMs();
      // A request that can still meet its objective keeps waiting for its adapter; a late one does not.
      if (hasTimedOut && (choice === undefined || this.isLate)) return undefined;
      if (choice === undefined) {
        this.loadFailed.clear();
        await this.waits.measure(WaitCause.Replica, timers.sleep(POLL_INTERVAL_MS));
      }
    }
    return undefined;
  }

  /**
   * Records that an engine refused the request because it lacks the adapter. The engine may be chosen again:
   * the next load there first checks what the engine has resident.
   */
  recordAdapterMissing(replica: string): void {
    this.tried.delete(replica);
    this.adapterMissing.add(replica);
  }

  /** Whether the service still has replicas of the version at which the request must run. */
  hasVersion(): boolean {
    const version = this.request.softwareVersion();
    return version === undefined || this.parts.chooser.hasVersion(this.request.service, version);
  }

  /** Chooses a replica; none if it opens too late for a stream to end in time. */
  private chooseInTime(among: ReadonlySet<string> | undefined): Choice | undefined {
    const choice = this.choose(among);
    const opensInMs = choice?.opensInMs ?? 0;
    return opensInMs === 0 || opensInMs <= this.lastCallMs() ? choice : undefined;
  }

  private choose(among: ReadonlySet<string> | undefined): Choice | undefined {
    const { head, service, rank, hasResponseBegun, suspectRanking } = this.request;
    this.chosenAt = this.parts.timers.now();
    return this.parts.chooser.choose({
      service,
      model: head.generation?.model,
      adapter: head.generation?.adapter,
      softwareVersion: this.request.softwareVersion(),
      beginsResumable: this.request.beginsResumable(),
      tried: this.tried,
      among,
      cannotLoad: this.loadFailed,
      rank,
      isLate: this.isLate,
      isUnderWay: hasResponseBegun(),
      rankForSuspect: suspectRanking(),
    });
  }

  private remainingMs(): number {
    return this.request.deadlineAt - this.parts.timers.now();
  }

  /** Time after which a stream that begins can no longer be expected to end before the deadline, in milliseconds. */
  private lastCallMs(): number {
    const { arrivedAt, deadlineAt } = this.request;
    return Math.round(this.remainingMs() - MIN_STREAM_SHARE * (deadlineAt - arrivedAt));
  }

  /** Time until the service has a replica that accepts requests at all, in milliseconds. */
  backoffMs(): number {
    return this.parts.chooser.backoffMs(this.request.service);
  }

  /** Longest wait while no replica can take the request, in milliseconds. */
  private maxWaitMs(): number {
    if (this.isLate) return Math.max(0, this.remainingMs()) * LATE_WAIT_SHARE;
    const share = this.loadFailed.size > 0 ? LOAD_FAILED_WAIT_SHARE : NO_REPLICA_WAIT_SHARE;
    return this.request.route.objectiveMs * share;
  }

  /**
   * Whether the response will miss its objective whatever is done: callers that retry have used up part of
   * their time.
   */
  get isLate(): boolean {
    const { route } = this.request;
    return this.parts.callerTimeouts.isLate(route, this.remainingMs());
  }

  /**
   * Loads the adapter if the engine can begin at once. If it can't, its owner reports the state of its slots,
   * and the choice is made again; when the same engine is chosen again, the request waits in its queue for a
   * while.
   */
  private async loadOrMarkFull(replica: ReplicaEntry, full: Set<string>): Promise<boolean> {
    const isKnownFull = full.has(replica.id);
    const isLoaded = await this.load(replica, isKnownFull ? QUEUE_TIMEOUT_MS : 0);
    if (isKnownFull) full.clear();
    else full.add(replica.id);
    return isLoaded;
  }

  private async load(replica: ReplicaEntry, queueTimeoutMs: number): Promise<boolean> {
    const { timers, chooser, ensure, metrics } = this.parts;
    const { model, adapter } = this.request.head.generation!;
    const version = chooser.minVersion(model, adapter!) || undefined;
    const startedAt = timers.now();
    try {
      const isDoubted = this.adapterMissing.delete(replica.id);
      const ref = { model, adapter: adapter!, version, isDoubted };
      return await this.waits.measure(WaitCause.Adapter, ensure(replica, ref, this.urgency(queueTimeoutMs)));
    } catch (err) {
      this.logLoadFailure(replica, timers.now() - startedAt, err);
      this.loadFailed.add(replica.id);
      return false;
    } finally {
      const waitedMs = timers.now() - startedAt;
      this.loadMs += Math.round(waitedMs);
      metrics.recordLoadWait(waitedMs);
    }
  }

  private urgency(queueTimeoutMs: number): Urgency {
    const { rank } = this.request;
    const remainingMs = this.remainingMs();
    return {
      rank,
      waitedMs: this.loadMs,
      lastCallMs: this.lastCallMs(),
      patienceMs: queueTimeoutMs,
      timeoutMs: Math.min(LOAD_TIMEOUT_MS, remainingMs),
    };
  }

  private logLoadFailure(replica: ReplicaEntry, waitedMs: number, err: unknown): void {
    const { id, generation } = this.request.head;
    this.parts.log.decide('request.load', `Failed to load the adapter on ${replica.id}.`, {
      request: id,
      adapter: `${generation!.model}/${generation!.adapter}`,
      replica: replica.id,
      waitedMs: Math.round(waitedMs),
      reason: err instanceof Error ? err.message : String(err),
    });
  }
}
