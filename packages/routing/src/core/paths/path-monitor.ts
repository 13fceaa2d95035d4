/**
 * Finds out that this daemon is cut off from all replicas of a service, and that it is not any more.
 *
 * A connection that fails, is slow, or is lost before a response, and a replica that does not respond for a while,
 * make it probe that replica, and some others if it can't be reached either. What it sees itself can't tell a broken
 * path from replicas that are stopped or gone, so it counts as cut off only if a peer reaches or hears them.
 */
import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';
import { ListenerState } from '@celeryyoke/core';

import type { ReplicaHealth } from '../choice/index.js';
import type { ReplicaEntry, ReplicaRegistry } from '../view/index.js';
import { ReplicaState } from '../view/index.js';
import { ConnectionEvidence, SILENT_AFTER_MS } from './connection-evidence.js';
import type { CutOffTable } from './cut-off-table.js';
import type { DeathProof, ExchangeStart, PeerEvidence, RunningExchange } from './types.js';
import { CutCause } from './types.js';

/** Interval at which silent replicas are looked for, in milliseconds. */
const REVIEW_INTERVAL_MS = 100;
/** Time without a byte from a replica with outstanding requests after which it is probed, in milliseconds. */
const PROBE_AFTER_SILENCE_MS = 400;
/**
 * Interval at which one request tries whether replicas that accept connections respond again, in milliseconds. One
 * that can't be repeated is lost if they don't.
 */
const TRIAL_INTERVAL_MS = 1000;
const UNREPEATABLE_TRIAL_INTERVAL_MS = 10_000;
/** Shortest time between two checks of a service, in milliseconds. */
const MIN_CHECK_INTERVAL_MS = 250;
/** Interval of probes, and of questions to peers, while a service can't be reached, in milliseconds. */
const HEAL_PROBE_INTERVAL_MS = 300;
/** Timeout of a probe, in milliseconds; replicas accept connections in some milliseconds. */
const PROBE_TIMEOUT_MS = 150;
/** Time for which a probe's connection must last, in milliseconds. */
const PROBE_HOLD_MS = 50;
/** Probes in a row that must reach a replica before the daemon counts as reaching them again. */
const HEAL_PROBES = 2;
/** Other replicas of the service that are probed before it counts as cut off. */
const MAX_OTHER_PROBES = 5;
/** Silent replicas that are requested to respond at once. */
const MAX_RESPONSE_PROBES = 4;
/** Replicas that are probed for a peer. */
const PROBES_FOR_PEER = 2;
/** Replicas with outstanding requests that must be silent before the service counts as silent. */
const MIN_SILENT_REPLICAS = 2;

/** Causes that mean that this daemon is cut off, while others are not. */
const CUT_OFF: ReadonlySet<CutCause | undefined> = new Set([CutCause.NoConnection, CutCause.Silence]);

/** Causes whose end probes tell. */
const PROBED: ReadonlySet<CutCause | undefined> = new Set([CutCause.NoConnection, CutCause.Unreachable]);

/** What a monitor uses. */
export interface PathMonitorOptions {
  readonly registry: Pick<ReplicaRegistry, 'replica' | 'readyReplicas' | 'onReplica'>;
  readonly health: Pick<ReplicaHealth, 'silenceMs' | 'waitingReplicas'>;
  readonly table: Pick<CutOffTable, 'setOwn'>;
  /** Whether this process was paused so recently that it may not have read what has arrived since. */
  readonly isRecovering: () => boolean;
  /** Connects to a replica once; the connection must last for some time. */
  readonly probe: (replica: ReplicaEntry, timeoutMs: number, holdMs: number) => Promise<ListenerState>;
  /** Asks peers what they hear from replicas of a service, and whether they reach any. */
  readonly askPeers: (
    service: string,
    replicas: readonly string[],
    mustConnect: boolean,
  ) => Promise<PeerEvidence>;
  /** Has an engine respond on a connection that is not in use; resolves to whether it has, when it had time to. */
  readonly requestResponse: (replica: ReplicaEntry) => Promise<boolean>;
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
  /** Monotonic time of the end of the latest check or probe, in milliseconds. */
  checkedAt: number;
  isChecking: boolean;
  /** Monotonic time of the latest question to peers, in milliseconds. */
  askedAt: number;
  /** Probes in a row that have reached a replica since the service can't be reached. */
  reachedProbes: number;
  /** Monotonic time of the latest trial of connections that were silent, in milliseconds. */
  triedAt: number;
}

/** Called when this daemon is cut off from the replicas of a service. */
export type CutListener = (service: string) => void;

/** Watches the paths to the replicas of all services. */
export class PathMonitor {
  private readonly services = new Map<string, ServicePaths>();

  private readonly evidence: ConnectionEvidence;

  private readonly cutListeners = new Set<CutListener>();

  private readonly reviewListeners = new Set<() => void>();

  private readonly reviewTimer: TimerHandle;

  private isStopped = false;

  constructor(private readonly options: PathMonitorOptions) {
    const { registry, timers } = options;
    this.evidence = new ConnectionEvidence(options);
    // The first replica that appears may be the first that can be reached.
    registry.onReplica((_id, entry, before) => {
      const isNew = entry?.state === ReplicaState.Ready && before === undefined;
      if (isNew && PROBED.has(this.causeOf(entry.service))) void this.probeHealed(entry.service, entry);
    });
    this.reviewTimer = timers.repeat(REVIEW_INTERVAL_MS, () => this.review());
  }

  /** Cancels the timer; checks in progress change nothing any more. */
  stop(): void {
    this.isStopped = true;
    this.reviewTimer.cancel();
  }

  /** Why this daemon can't use its own connections to a service; undefined when it can. */
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

  /**
   * Subscribes to the reviews of the evidence on connections.
   * @returns A function that ends the subscription.
   */
  onReview(listener: () => void): () => void {
    this.reviewListeners.add(listener);
    return () => this.reviewListeners.delete(listener);
  }

  /** Returns what proves that the connection of an exchange is dead; undefined if nothing does. */
  proofOf(exchange: RunningExchange): DeathProof | undefined {
    return this.evidence.proofOf(exchange, this.isCutOff(exchange.replica.service));
  }

  /** Replicas of a service that have just sent something, here or to a peer. */
  respondingReplicas(service: string): ReadonlySet<string> {
    return this.evidence.respondingReplicas(service, this.isCutOff(service));
  }

  /** Time since this daemon has heard from a replica itself, in milliseconds; infinite if it has not. */
  heardAgoMs(replica: string): number {
    return this.evidence.heardAgoMs(replica);
  }

  /** Whether this daemon can establish a connection to a replica of a service now. */
  async canReach(service: string): Promise<boolean> {
    if (this.causeOf(service) !== undefined) return false;
    const replicas = this.sample(service, PROBES_FOR_PEER);
    const reached = await Promise.all(replicas.map((replica) => this.canConnect(replica)));
    return reached.includes(true);
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
    this.evidence.recordHeard(entry);
    this.endSilence(entry.service);
  }

  /** Records that a replica has sent bytes in an exchange on a connection of this daemon. */
  recordBytes(exchange: ExchangeStart): void {
    const { service } = exchange.replica;
    const hasEndedDoubt = this.evidence.recordBytes(exchange);
    if (hasEndedDoubt)
      this.options.log.decide(
        'paths.heard',
        `Replicas of ${service} go on on connections that were silent.`,
        {
          service,
          replica: exchange.replica.id,
        },
      );
    this.endSilence(service);
  }

  /** Records that an exchange in which bytes were recorded has ended. */
  recordEnded(exchange: ExchangeStart): void {
    this.evidence.recordEnded(exchange);
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
    const { health, timers, isRecovering } = this.options;
    if (isRecovering()) return;
    for (const replica of health.waitingReplicas())
      if (health.silenceMs(replica) > PROBE_AFTER_SILENCE_MS) this.recordTrouble(replica);
    const now = timers.now();
    for (const [service, { cause, checkedAt, askedAt }] of this.services) {
      if (PROBED.has(cause) && now - checkedAt >= HEAL_PROBE_INTERVAL_MS) void this.probeHealed(service);
      if (CUT_OFF.has(cause) && now - askedAt >= HEAL_PROBE_INTERVAL_MS) void this.askPeers(service, false);
    }
    for (const listener of [...this.reviewListeners]) listener();
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
    if (cause !== undefined) this.setCause(replica.service, paths, cause);
  }

  private async findCause(replica: ReplicaEntry): Promise<CutCause | undefined> {
    const { id, service } = replica;
    if (await this.canConnect(replica)) {
      this.retireSilent(id);
      return (await this.isCutBySilence(replica)) ? CutCause.Silence : undefined;
    }
    const others = this.sample(service, MAX_OTHER_PROBES, id);
    const reached = await Promise.all(others.map((other) => this.canConnect(other)));
    if (reached.includes(true)) return undefined;
    const { isReached } = await this.askPeers(service, true);
    return isReached ? CutCause.NoConnection : CutCause.Unreachable;
  }

  /** Whether replicas that accept connections are silent here only. */
  private async isCutBySilence(replica: ReplicaEntry): Promise<boolean> {
    const { service } = replica;
    const isSilent = this.isSilent(service);
    if (isSilent && this.evidence.beginDoubt(service)) this.retireIdle(service);
    const probes = this.probeResponses(service, isSilent);
    if (isSilent) await this.askPeers(service, false);
    await probes;
    if (!isSilent || !this.isSilent(service)) return false;
    const { health, timers } = this.options;
    const heard = this.silentReplicas(service).filter(({ id }) =>
      this.evidence.isHeardByPeerSince(id, timers.now() - health.silenceMs(id)),
    );
    return heard.length > 0;
  }

  /**
   * Requests responses of silent replicas on connections that are not in use.
   * @param mustRespond - Whether they must respond again that have done so since they are silent.
   */
  private async probeResponses(service: string, mustRespond: boolean): Promise<void> {
    const silent = this.silentReplicas(service);
    const probed = silent.filter((replica) => mustRespond || !this.evidence.hasProbed(replica));
    await Promise.all(
      probed.slice(0, MAX_RESPONSE_PROBES).map(async (one) => {
        if (await this.options.requestResponse(one)) this.evidence.recordProbe(one);
      }),
    );
  }

  private async askPeers(service: string, mustConnect: boolean): Promise<PeerEvidence> {
    const { timers, registry, askPeers } = this.options;
    this.pathsOf(service).askedAt = timers.now();
    const silent = this.silentReplicas(service).map(({ id }) => id);
    const others = registry.readyReplicas(service).map(({ id }) => id);
    const evidence = await askPeers(service, [...new Set([...silent, ...others])], mustConnect);
    this.evidence.recordPeers(evidence.heardAt);
    return evidence;
  }

  /** Closes the idle connections to a replica that is silent on those in use, although it accepts new ones. */
  private retireSilent(replica: string): void {
    const { health, closeIdle } = this.options;
    if (health.silenceMs(replica) > SILENT_AFTER_MS) closeIdle(replica);
  }

  /** Closes all idle connections to a silent service, so that later requests show whether new ones work. */
  private retireIdle(service: string): void {
    const { registry, closeIdle, log } = this.options;
    const replicas = registry.readyReplicas(service);
    for (const { id } of replicas) closeIdle(id);
    log.decide('paths.silent', `No replica of ${service} sends anything on connections in use.`, {
      service,
      replicas: replicas.length,
      silent: this.silentReplicas(service).length,
      respondedAgoMs: this.respondedAgoMs(service),
    });
  }

  private silentReplicas(service: string): ReplicaEntry[] {
    const { registry, health } = this.options;
    return registry.readyReplicas(service).filter(({ id }) => health.silenceMs(id) > SILENT_AFTER_MS);
  }

  /** Whether no replica of a service sends anything any more, and enough of them have requests to respond to. */
  private isSilent(service: string): boolean {
    const count = this.options.registry.readyReplicas(service).length;
    const isEnough = this.silentReplicas(service).length >= Math.min(MIN_SILENT_REPLICAS, count);
    return isEnough && this.evidence.serviceHeardAgoMs(service) > SILENT_AFTER_MS;
  }

  /** Draws replicas of a service other than one. */
  private sample(service: string, count: number, except?: string): ReplicaEntry[] {
    const { registry, random } = this.options;
    return registry
      .readyReplicas(service)
      .filter(({ id }) => id !== except)
      .map((other) => ({ other, order: random() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, count)
      .map(({ other }) => other);
  }

  private async canConnect(replica: ReplicaEntry): Promise<boolean> {
    const state = await this.options.probe(replica, PROBE_TIMEOUT_MS, PROBE_HOLD_MS);
    return state === ListenerState.Listening;
  }

  private isCutOff(service: string): boolean {
    return CUT_OFF.has(this.causeOf(service));
  }

  /** Probes a replica of a service that can't be reached, and ends that if replicas are reached. */
  private async probeHealed(service: string, replica?: ReplicaEntry): Promise<void> {
    const { registry, random, timers } = this.options;
    const paths = this.pathsOf(service);
    const replicas = registry.readyReplicas(service);
    const target = replica ?? replicas[Math.floor(random() * replicas.length)];
    if (paths.isChecking || target === undefined) return;
    paths.isChecking = true;
    const isReached = await this.canConnect(target);
    const isUnproved = !isReached && paths.cause === CutCause.Unreachable;
    const isCutOff = isUnproved && (await this.askPeers(service, true)).isReached;
    if (this.isStopped) return;
    paths.isChecking = false;
    paths.checkedAt = timers.now();
    paths.reachedProbes = isReached ? paths.reachedProbes + 1 : 0;
    if (paths.reachedProbes >= HEAL_PROBES) this.clearCause(service, paths);
    else if (isCutOff) this.setCause(service, paths, CutCause.NoConnection);
  }

  private endSilence(service: string): void {
    const paths = this.services.get(service);
    if (paths?.cause === CutCause.Silence) this.clearCause(service, paths);
  }

  private setCause(service: string, paths: ServicePaths, cause: CutCause): void {
    const { table, timers, log, registry } = this.options;
    const now = timers.now();
    Object.assign(paths, { cause, since: now, triedAt: now, reachedProbes: 0 });
    const isCutOff = CUT_OFF.has(cause);
    const kind = isCutOff ? 'paths.cut-off' : 'paths.unreachable';
    const text = isCutOff ? 'This daemon is cut off from' : 'Neither this daemon nor its peers reach';
    log.decide(kind, `${text} the replicas of ${service}: ${cause}.`, {
      service,
      cause,
      replicas: registry.readyReplicas(service).length,
      silent: this.silentReplicas(service).length,
      respondedAgoMs: this.respondedAgoMs(service),
    });
    if (!isCutOff) return;
    table.setOwn(service, true);
    for (const listener of [...this.cutListeners]) listener(service);
  }

  private clearCause(service: string, paths: ServicePaths): void {
    const { table, timers, log } = this.options;
    const { cause, since } = paths;
    if (cause === undefined) return;
    Object.assign(paths, { cause: undefined });
    log.decide('paths.restored', `This daemon reaches replicas of ${service} again.`, {
      service,
      cause,
      forMs: Math.round(timers.now() - since),
    });
    if (CUT_OFF.has(cause)) table.setOwn(service, false);
  }

  private respondedAgoMs(service: string): number {
    return Math.round(Math.min(this.evidence.serviceHeardAgoMs(service), Number.MAX_SAFE_INTEGER));
  }

  private pathsOf(service: string): ServicePaths {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const created: ServicePaths = {
      cause: undefined,
      since: 0,
      checkedAt: Number.NEGATIVE_INFINITY,
      isChecking: false,
      askedAt: Number.NEGATIVE_INFINITY,
      reachedProbes: 0,
      triedAt: Number.NEGATIVE_INFINITY,
    };
    this.services.set(service, created);
    return created;
  }
}
