/** Finds the replica for a request: chooses one, loads the adapter on it, and limits how long that takes. */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { EnsureAdapter, Urgency } from '../adapters/index.js';
import type { Route } from '../catalog/index.js';
import { RouteKind } from '../catalog/index.js';
import type { Choice, Chooser, Need } from '../choice/index.js';
import type { ReplicaEntry } from '../view/index.js';
import type { RequestMetrics } from './metrics.js';
import type { RequestHead } from './types.js';
import { callerGapMs } from './types.js';
import type { WaitTimes } from './wait-times.js';
import { WaitCause } from './wait-times.js';
import type { WaitQueue, WaitQueues, WaitingRequest } from './wait-queue.js';
import type { WorkTimes } from './work-times.js';

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
  readonly workTimes: Pick<WorkTimes, 'shortest'>;
  readonly waitQueues: Pick<WaitQueues, 'of'>;
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

  /** Replicas that have accepted no connection for the request once, and those that have repeatedly. */
  private readonly missed = new Set<string>();

  private readonly unreached = new Set<string>();

  /** Total wait for adapters to be loaded, in milliseconds. */
  loadMs = 0;

  /** Monotonic time of the latest choice, in milliseconds. */
  chosenAt = Number.NEGATIVE_INFINITY;

  /** Expected time until a replica can take the request, as of the last choice, in milliseconds. */
  expectedMs = 0;

  /** Monotonic time at which the current search began, in milliseconds. */
  private searchedSince = 0;

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
   * Chooses replicas until one has the adapter resident, or none can be expected to serve the request in time.
   * @param among - Replicas that may be chosen; all when it is left out.
   * @returns The choice; undefined when there is none or the request has ended.
   */
  async find(among?: ReadonlySet<string>): Promise<Choice | undefined> {
    const { timers, waitQueues } = this.parts;
    this.searchedSince = timers.now();
    const queue = waitQueues.of(this.request.service, this.request.softwareVersion());
    const waiting = { rank: this.request.rank, lastCallAt: timers.now() + this.lastCallMs() };
    try {
      return await this.findInTurn(queue, waiting, among);
    } finally {
      queue.leave(waiting);
    }
  }

  private async findInTurn(
    queue: WaitQueue,
    waiting: WaitingRequest,
    among: ReadonlySet<string> | undefined,
  ): Promise<Choice | undefined> {
    const { timers } = this.parts;
    // Engines that can't begin a load at once; the chooser has received the state of their slots.
    const full = new Set<string>();
    while (!this.request.hasEnded() && this.hasVersion()) {
      const isTurn = among !== undefined || queue.mayChoose(waiting);
      const choice = isTurn ? this.choose(among) : undefined;
      if (choice !== undefined) queue.recordTurn(waiting);
      else if (among === undefined) queue.join(waiting);
      const opensInMs = choice?.opensInMs ?? 0;
      if (choice !== undefined && (!choice.needsLoad || (await this.loadOrMarkFull(choice.replica, full)))) {
        if (choice.opensInMs === undefined) return choice;
        // Another replica may get a free slot before.
        if (opensInMs <= this.lastCallMs()) {
          await timers.sleep(Math.min(POLL_INTERVAL_MS, opensInMs));
          continue;
        }
      }
      const turnMs = among === undefined ? queue.expectedMs(waiting) : 0;
      this.expectedMs = choice === undefined ? this.expectedWaitMs(turnMs) : opensInMs;
      if (this.expectedMs >= this.lastCallMs()) return undefined;
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

  /** Records that a replica accepted no connection for the request: it is asked once more, as this host may be at fault. */
  recordUnreached(replica: string): void {
    if (this.missed.has(replica)) this.unreached.add(replica);
    this.missed.add(replica);
  }

  /** Whether the service still has replicas of the version at which the request must run. */
  hasVersion(): boolean {
    const version = this.request.softwareVersion();
    return version === undefined || this.parts.chooser.hasVersion(this.request.service, version);
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
      unreached: this.unreached,
      among,
      cannotLoad: this.loadFailed,
      rank,
      isUnderWay: hasResponseBegun(),
      rankForSuspect: suspectRanking(),
    });
  }

  private remainingMs(): number {
    return this.request.deadlineAt - this.parts.timers.now();
  }

  /**
   * Returns the time until which a request that gets a replica can still be served, in milliseconds from now: before its
   * deadline, and for a stream before its caller leaves for want of an event.
   */
  lastCallMs(): number {
    const { head, route, arrivedAt, hasResponseBegun } = this.request;
    const { firstByteMs, totalMs } = this.parts.workTimes.shortest(route.name);
    const hasPart = hasResponseBegun() || head.lastEventId !== undefined;
    const untilDeadlineMs = this.remainingMs() - (hasPart ? firstByteMs : totalMs);
    if (route.kind !== RouteKind.Streaming) return untilDeadlineMs;
    const gapSince = hasResponseBegun() ? this.searchedSince : arrivedAt;
    const gapEndsInMs = gapSince + callerGapMs(route) - this.parts.timers.now();
    return Math.min(untilDeadlineMs, gapEndsInMs - firstByteMs);
  }

  /**
   * Returns the expected time until a replica can take the request, in milliseconds: the end of a backoff is known; a
   * service without a replica is expected to have none for as long again.
   * @param turnMs - Expected time until it is the request's turn, in milliseconds.
   */
  private expectedWaitMs(turnMs: number): number {
    const backoffMs = this.backoffMs();
    return backoffMs > 0 ? backoffMs : Math.max(turnMs, this.parts.chooser.absentMs(this.request.service));
  }

  /** Time until the first replica of the service ends its backoff, in milliseconds; 0 if not all are in one. */
  backoffMs(): number {
    return this.parts.chooser.backoffMs(this.request.service);
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
      lastCallMs: Math.round(this.lastCallMs()),
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
