/**
 * Finds out that this daemon is cut off from all replicas of a service, and that it is not any more.
 *
 * A connection that fails, is slow, or is lost before a response, and a replica that does not respond for a while,
 * make it probe that replica, and some others if it can't be reached either. A replica alone that is silent or gone
 * cuts nothing off.
 */
import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';
import { ListenerState } from '@celeryyoke/core';

import type { ReplicaHealth } from '../choice/index.js';
import type { ReplicaEntry, ReplicaRegistry } from '../view/index.js';
import { ReplicaState } from '../view/index.js';
import type { CutOffTable } from './cut-off-table.js';
import { CutCause } from './types.js';

/** Interval at which silent replicas are looked for, in milliseconds. */
const REVIEW_INTERVAL_MS = 100;
/** Time without a byte from a replica with outstanding requests after which it is probed, in milliseconds. */
const PROBE_AFTER_SILENCE_MS = 400;
/** Time without a byte from any replica of a service after which its connections count as dead, in milliseconds. */
const DEAD_AFTER_SILENCE_MS = 700;
/**
 * Interval at which one request tries whether replicas that accept connections respond again, in milliseconds. One
 * that can't be repeated is lost if they don't.
 */
const TRIAL_INTERVAL_MS = 1000;
const UNREPEATABLE_TRIAL_INTERVAL_MS = 10_000;
/** Shortest time between two checks of a service, in milliseconds. */
const MIN_CHECK_INTERVAL_MS = 250;
/** Interval of probes while a service is cut off, in milliseconds. */
const HEAL_PROBE_INTERVAL_MS = 300;
/** Timeout of a probe, in milliseconds; replicas accept connections in some milliseconds. */
const PROBE_TIMEOUT_MS = 150;
/** Time for which a probe's connection must last, in milliseconds. */
const PROBE_HOLD_MS = 50;
/** Probes in a row that must reach a replica before the daemon counts as reaching them again. */
const HEAL_PROBES = 2;
/** Other replicas of the service that are probed before it counts as cut off. */
const MAX_OTHER_PROBES = 5;
/** Replicas with outstanding requests that must be silent before their connections count as dead. */
const MIN_SILENT_REPLICAS = 2;

/** What a monitor uses. */
export interface PathMonitorOptions {
  readonly registry: Pick<ReplicaRegistry, 'replica' | 'readyReplicas' | 'onReplica'>;
  readonly health: Pick<ReplicaHealth, 'silenceMs' | 'waitingReplicas'>;
  readonly table: Pick<CutOffTable, 'setOwn'>;
  /** Connects to a replica once; the connection must last for some time. */
  readonly probe: (replica: ReplicaEntry, timeoutMs: number, holdMs: number) => Promise<ListenerState>;
  /** Closes the idle connections to a replica. */
  readonly closeIdle: (replica: string) => void;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Returns a new random number from 0 to 1 on each call. */
  readonly random: () => number;
}

/** What is known of the paths to the replicas of one service. */
interface ServicePaths {
  cause: CutCause | undefined;
  /** Monotonic time since which the cause holds, in milliseconds. */
  since: number;
  /** Monotonic time of the latest bytes from any replica on a connection of this daemon, in milliseconds. */
  heardAt: number;
  /** Monotonic time of the end of the latest check or probe, in milliseconds. */
  checkedAt: number;
  isChecking: boolean;
  /** Probes in a row that have reached a replica since the service is cut off. */
  reachedProbes: number;
  /** Monotonic time of the latest trial of connections that were silent, in milliseconds. */
  triedAt: number;
}

/** Called when this daemon is cut off from the replicas of a service. */
export type CutListener = (service: string) => void;

/** Watches the paths to the replicas of all services. */
export class PathMonitor {
  private readonly services = new Map<string, ServicePaths>();

  private readonly cutListeners = new Set<CutListener>();

  private readonly reviewTimer: TimerHandle;

  private isStopped = false;

  constructor(private readonly options: PathMonitorOptions) {
    const { registry, timers } = options;
    // The first replica that appears may be the first that can be reached.
    registry.onReplica((_id, entry, before) => {
      const isNew = entry?.state === ReplicaState.Ready && before === undefined;
      if (isNew && this.causeOf(entry.service) === CutCause.NoConnection)
        void this.probeHealed(entry.service, entry);
    });
    this.reviewTimer = timers.repeat(REVIEW_INTERVAL_MS, () => this.review());
  }

  /** Cancels the timer; checks in progress change nothing any more. */
  stop(): void {
    this.isStopped = true;
    this.reviewTimer.cancel();
  }

  /** Why this daemon can't reach the replicas of a service; undefined when it can. */
  causeOf(service: string): CutCause | undefined {
    return this.services.get(service)?.cause;
  }

  /**
   * Subscribes to services that this daemon is cut off from.
   * @returns A function that ends the subscription.
   */
  onCut(listener: CutListener): () => void {
    this.cutListeners.add(listener);
    return () => this.cutListeners.delete(listener);
  }

  /** Records that a connection to a replica failed, was lost before a response, or takes longer than usual. */
  recordTrouble(replica: string): void {
    const entry = this.options.registry.replica(replica);
    if (entry !== undefined) void this.check(entry);
  }

  /** Records that a replica has responded on a connection of this daemon. */
  recordResponse(replica: string): void {
    const entry = this.options.registry.replica(replica);
    if (entry === undefined) return;
    this.recordBytes(entry.service);
    const paths = this.pathsOf(entry.service);
    if (paths.cause === CutCause.Silence) this.clearCut(entry.service, paths);
  }

  /** Records that a replica of a service has sent bytes on a connection of this daemon. */
  recordBytes(service: string): void {
    this.pathsOf(service).heardAt = this.options.timers.now();
  }

  /**
   * Returns whether a request to a service that is cut off may be sent directly, to find out whether its replicas
   * respond again; true for one request at a time.
   */
  takeTrial(service: string, isRepeatable: boolean): boolean {
    const paths = this.services.get(service);
    if (paths?.cause !== CutCause.Silence) return false;
    const now = this.options.timers.now();
    const intervalMs = isRepeatable ? TRIAL_INTERVAL_MS : UNREPEATABLE_TRIAL_INTERVAL_MS;
    if (now - paths.triedAt < intervalMs) return false;
    paths.triedAt = now;
    return true;
  }

  private review(): void {
    const { health, timers } = this.options;
    for (const replica of health.waitingReplicas())
      if (health.silenceMs(replica) > PROBE_AFTER_SILENCE_MS) this.recordTrouble(replica);
    const now = timers.now();
    for (const [service, { cause, checkedAt }] of this.services)
      if (cause === CutCause.NoConnection && now - checkedAt >= HEAL_PROBE_INTERVAL_MS)
        void this.probeHealed(service);
  }

  /** Checks a replica, and some others of its service if it can't be reached. */
  private async check(replica: ReplicaEntry): Promise<void> {
    const { timers } = this.options;
    const paths = this.pathsOf(replica.service);
    const isTooSoon = timers.now() - paths.checkedAt < MIN_CHECK_INTERVAL_MS;
    if (paths.isChecking || paths.cause !== undefined || isTooSoon) return;
    paths.isChecking = true;
    const cause = await this.findCause(replica);
    if (this.isStopped) return;
    paths.isChecking = false;
    paths.checkedAt = timers.now();
    if (cause !== undefined) this.setCut(replica.service, paths, cause);
  }

  private async findCause(replica: ReplicaEntry): Promise<CutCause | undefined> {
    if (await this.canConnect(replica)) {
      this.retireSilent(replica.id);
      return this.areConnectionsDead(replica.service) ? CutCause.Silence : undefined;
    }
    const others = this.sample(replica);
    const reached = await Promise.all(others.map((other) => this.canConnect(other)));
    return reached.includes(true) ? undefined : CutCause.NoConnection;
  }

  /** Closes the idle connections to a replica that is silent on those in use, although it accepts new ones. */
  private retireSilent(replica: string): void {
    const { health, closeIdle } = this.options;
    if (health.silenceMs(replica) > DEAD_AFTER_SILENCE_MS) closeIdle(replica);
  }

  /** Whether no replica of a service sends anything any more, and enough of them have requests to respond to. */
  private areConnectionsDead(service: string): boolean {
    const { registry, health, timers } = this.options;
    const replicas = registry.readyReplicas(service);
    const silent = replicas.filter(({ id }) => health.silenceMs(id) > DEAD_AFTER_SILENCE_MS);
    const isEnough = silent.length >= Math.min(MIN_SILENT_REPLICAS, replicas.length);
    const { heardAt } = this.pathsOf(service);
    return isEnough && timers.now() - heardAt > DEAD_AFTER_SILENCE_MS;
  }

  /** Draws other replicas of the same service. */
  private sample(replica: ReplicaEntry): ReplicaEntry[] {
    const { registry, random } = this.options;
    return registry
      .readyReplicas(replica.service)
      .filter(({ id }) => id !== replica.id)
      .map((other) => ({ other, order: random() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, MAX_OTHER_PROBES)
      .map(({ other }) => other);
  }

  private async canConnect(replica: ReplicaEntry): Promise<boolean> {
    const state = await this.options.probe(replica, PROBE_TIMEOUT_MS, PROBE_HOLD_MS);
    return state === ListenerState.Listening;
  }

  /** Probes a replica of a service that is cut off, and ends that if replicas are reached. */
  private async probeHealed(service: string, replica?: ReplicaEntry): Promise<void> {
    const { registry, random, timers } = this.options;
    const paths = this.pathsOf(service);
    const replicas = registry.readyReplicas(service);
    const target = replica ?? replicas[Math.floor(random() * replicas.length)];
    if (paths.isChecking || target === undefined) return;
    paths.isChecking = true;
    const isReached = await this.canConnect(target);
    if (this.isStopped) return;
    paths.isChecking = false;
    paths.checkedAt = timers.now();
    paths.reachedProbes = isReached ? paths.reachedProbes + 1 : 0;
    if (paths.reachedProbes >= HEAL_PROBES) this.clearCut(service, paths);
  }

  private setCut(service: string, paths: ServicePaths, cause: CutCause): void {
    const { table, timers, log, registry, health } = this.options;
    const now = timers.now();
    const replicas = registry.readyReplicas(service);
    Object.assign(paths, { cause, since: now, triedAt: now, reachedProbes: 0 });
    log.decide('paths.cut-off', `This daemon is cut off from the replicas of ${service}: ${cause}.`, {
      service,
      cause,
      replicas: replicas.length,
      silent: replicas.filter(({ id }) => health.silenceMs(id) > DEAD_AFTER_SILENCE_MS).length,
      respondedAgoMs: Math.round(Math.min(timers.now() - paths.heardAt, Number.MAX_SAFE_INTEGER)),
    });
    table.setOwn(service, true);
    for (const listener of [...this.cutListeners]) listener(service);
  }

  private clearCut(service: string, paths: ServicePaths): void {
    const { table, timers, log } = this.options;
    const { cause, since } = paths;
    if (cause === undefined) return;
    Object.assign(paths, { cause: undefined });
    log.decide('paths.restored', `This daemon reaches replicas of ${service} again.`, {
      service,
      cause,
      forMs: Math.round(timers.now() - since),
    });
    table.setOwn(service, false);
  }

  private pathsOf(service: string): ServicePaths {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const created: ServicePaths = {
      cause: undefined,
      since: 0,
      heardAt: Number.NEGATIVE_INFINITY,
      checkedAt: Number.NEGATIVE_INFINITY,
      isChecking: false,
      reachedProbes: 0,
      triedAt: Number.NEGATIVE_INFINITY,
    };
    this.services.set(service, created);
    return created;
  }
}
