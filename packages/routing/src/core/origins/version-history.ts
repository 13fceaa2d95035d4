/**
 * Knows which software versions can have begun the streams of a service that are still alive.
 *
 * While that is one version only, nothing has to be recorded of any stream. A daemon may conclude that only if its
 * view is recent, for a stream of a peer also later than its begin, and it has known all versions for as long as a stream can last: by its own view, or, if it has
 * started or was cut off since, by what it asks of its peers. A fleet that has started knows what the history of the
 * platform's store proves; that it starts for the first time is no proof, as its settings may outlast its processes.
 */
import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';

import type { Route } from '../catalog/index.js';
import { RouteKind } from '../catalog/index.js';
import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { RecordSource, ReplicaEntry, ReplicaRegistry, ReplicatedStore } from '../view/index.js';
import type { VersionHistoryFrame } from './origin-codec.js';
import { decodeHistory, encodeHistory } from './origin-codec.js';
import type { KnownTime, SharedHistory } from './types.js';
import { VersionDoubt } from './types.js';
import { UNKNOWN_VERSION, VersionTable } from './version-table.js';

/** Largest age of a view from which versions are concluded, in milliseconds. */
const MAX_VIEW_AGE_MS = 1500;
/** Shortest time for which a version counts after its last replica was removed, in milliseconds. */
const MIN_RETENTION_MS = 30_000;
/** Longest streams for which a version counts: one that is resumed may last as long again. */
const RETENTION_TIMEOUTS = 2;
/** Rounding of times that peers tell each other, in milliseconds. */
const TOLERANCE_MS = 100;
/** Interval at which a daemon checks whether it has to ask a peer, in milliseconds. */
const REVIEW_MS = 200;
/** Longest pause between two requests while no peer knows enough, in milliseconds. */
const MAX_ASK_INTERVAL_MS = 2000;
const ASK_TIMEOUT_MS = 500;
const ASK_STORE_TIMEOUT_MS = 1500;

/** Parts of the daemon that a history uses. */
export interface VersionHistoryOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'aliveAddresses' | 'handle' | 'request'>;
  readonly registry: Pick<ReplicaRegistry, 'onReplica' | 'onTable'>;
  readonly view: Pick<ReplicatedStore, 'onSnapshot' | 'ageMs' | 'confirmedAt' | 'upTo'>;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Monotonic time at which the last pause of this process ended, in milliseconds. */
  readonly resumedAt: () => number;
  /** Whether this daemon knows its peers and has received their state. */
  readonly hasSettled: () => boolean;
  /** Reads all entries that replicas have ever had; undefined if a part of them is lost. */
  readonly readHistory: RecordSource['replicaHistory'];
}

/** Software versions of each service, present and former. */
export class VersionHistory {
  private readonly table: VersionTable;

  /** Monotonic time from which on this daemon's own view has missed no version, in milliseconds. */
  private ownSince = Number.POSITIVE_INFINITY;

  /** What a peer has known before this daemon's own view began. */
  private peerTime: KnownTime | undefined;

  private askIntervalMs = REVIEW_MS;

  /** Monotonic time of the next request to a peer, in milliseconds. */
  private askAt = 0;

  /** Number of requests so far, which go to one peer after the other. */
  private askCount = 0;

  /** See {@link VersionHistory.retentionMs}. */
  private retention = MIN_RETENTION_MS;

  private readonly reviewTimer: TimerHandle;

  /** Registers the message handler, and asks peers until this daemon knows enough. */
  constructor(private readonly options: VersionHistoryOptions) {
    const { cluster, registry, view, timers } = options;
    this.table = new VersionTable(timers, () => this.retention);
    view.onSnapshot((ageMs) => this.recordSnapshot(ageMs));
    // It is not known for how long the replicas of the first snapshot were listed.
    registry.onReplica((id, entry, before) => this.table.update(id, entry, before, view.upTo === 0));
    registry.onTable(({ document }) => {
      this.retention = retentionOf(document.routes);
    });
    cluster.handle(MessageType.VersionHistory, () => encodeHistory(this.shared(), timers.now()));
    this.reviewTimer = timers.repeat(REVIEW_MS, () => this.review());
  }

  /** Cancels the timer. */
  stop(): void {
    this.reviewTimer.cancel();
  }

  /** Time for which a version counts after its last replica, and a stream is remembered, in milliseconds. */
  get retentionMs(): number {
    return this.retention;
  }

  /**
   * Returns the only version that can have begun a stream of a service; undefined if there may be others.
   * @param before - Monotonic time by which the stream had begun, in milliseconds; without it, streams are meant that
   *   this daemon has begun itself, at a replica that it knows.
   */
  onlyVersion(service: string, before?: number): string | undefined {
    return this.doubtOf(service, before) === undefined ? this.table.versionsOf(service).first : undefined;
  }

  /**
   * Returns why streams of a service may have begun at several versions; undefined if there is only one.
   * @param before - See {@link VersionHistory.onlyVersion}.
   */
  doubtOf(service: string, before = Number.NEGATIVE_INFINITY): VersionDoubt | undefined {
    if (!this.isViewRecent()) return VersionDoubt.StaleView;
    if (!this.options.hasSettled()) return VersionDoubt.Starting;
    if (!this.knowsHistory()) return VersionDoubt.NoHistory;
    const { count, hasUnknown, newestMs } = this.table.versionsOf(service);
    if (count > 1) return newestMs < MAX_VIEW_AGE_MS ? VersionDoubt.NewVersion : VersionDoubt.Several;
    if (count === 0 || hasUnknown) return VersionDoubt.UnknownVersion;
    return this.options.view.confirmedAt < before ? VersionDoubt.EarlierView : undefined;
  }

  /**
   * Returns the replicas at which streams should begin: their version is known, and every daemon whose view is recent
   * knows of it by now.
   */
  establishedReplicas(service: string, replicas: readonly ReplicaEntry[]): readonly ReplicaEntry[] {
    const { count, hasUnknown } = this.table.versionsOf(service);
    if (count === 1 && !hasUnknown) return replicas;
    return replicas.filter((replica) => this.establishedInMs(replica) === 0);
  }

  /**
   * Returns the time until every daemon whose view is recent knows of a replica's version.
   * @returns Milliseconds; Infinity if the version is not known.
   */
  establishedInMs({ service, softwareVersion }: ReplicaEntry): number {
    if (softwareVersion === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(0, MAX_VIEW_AGE_MS - this.table.knownForMs(service, softwareVersion));
  }

  private isViewRecent(): boolean {
    const { view, resumedAt } = this.options;
    return view.ageMs <= MAX_VIEW_AGE_MS && view.confirmedAt >= resumedAt();
  }

  /** Whether all versions are known that have served for as long as a stream can last. */
  private knowsHistory(): boolean {
    const { timers } = this.options;
    return timers.now() - this.knownSince() >= this.retentionMs - TOLERANCE_MS;
  }

  /** Monotonic time from which on all versions are known, in milliseconds. */
  private knownSince(): number {
    const { ownSince, peerTime } = this;
    return this.isJoined(peerTime) ? Math.min(ownSince, peerTime.since) : ownSince;
  }

  /** Whether a peer knew all versions until this daemon's own view began. */
  private isJoined(time: KnownTime | undefined): time is KnownTime {
    return time !== undefined && time.until >= this.ownSince - MAX_VIEW_AGE_MS;
  }

  /** Versions may have come and gone unseen since the view was last known to be up to date. */
  private recordSnapshot(ageMs: number): void {
    const { view, timers, resumedAt } = this.options;
    if (view.upTo === 0 || ageMs > MAX_VIEW_AGE_MS || view.confirmedAt < resumedAt())
      this.ownSince = timers.now();
  }

  /**
   * Asks the store which versions have ever served; called when this daemon has read all of the store's records, so that
   * one daemon asks for all.
   */
  async askStore(): Promise<void> {
    const { timers, log, readHistory } = this.options;
    const gapAt = this.ownSince;
    let entries: readonly ReplicaEntry[] | undefined;
    try {
      entries = await readHistory(AbortSignal.timeout(ASK_STORE_TIMEOUT_MS));
    } catch (err) {
      log.warn(`The store did not tell which versions have served: ${String(err)}.`);
      return;
    }
    const isProof = entries !== undefined && this.ownSince === gapAt;
    log.decide('stream.history', 'Asked the store which software versions have ever served.', {
      entries: entries?.length,
      isProof,
    });
    if (!isProof) return;
    // When the last replica of a version was removed is not known.
    for (const { service, softwareVersion = UNKNOWN_VERSION } of entries!)
      this.table.mergeFormer({ service, softwareVersion, removedAt: timers.now() });
    this.ownSince = Number.NEGATIVE_INFINITY;
  }

  private peers(): string[] {
    const { self, cluster } = this.options;
    return cluster.aliveAddresses().filter((address) => address !== self);
  }

  private review(): void {
    if (this.knowsHistory()) {
      this.askIntervalMs = REVIEW_MS;
      return;
    }
    const now = this.options.timers.now();
    const peers = this.peers();
    if (now < this.askAt || peers.length === 0) return;
    this.askAt = now + this.askIntervalMs;
    this.askIntervalMs = Math.min(MAX_ASK_INTERVAL_MS, this.askIntervalMs * 2);
    this.askCount += 1;
    void this.ask(peers[this.askCount % peers.length]!);
  }

  private async ask(peer: string): Promise<void> {
    const { cluster, timers, log } = this.options;
    try {
      const frame = await cluster.request(peer, MessageType.VersionHistory, null, ASK_TIMEOUT_MS);
      this.merge(decodeHistory(frame as VersionHistoryFrame, timers.now()));
    } catch (err) {
      log.debug(`${peer} did not tell which versions have served: ${String(err)}.`);
    }
  }

  private merge({ former, time }: SharedHistory): void {
    for (const version of former) this.table.mergeFormer(version);
    if (time === undefined) return;
    const isBetter = this.isJoined(time) && time.since < this.knownSince();
    if (isBetter || !this.isJoined(this.peerTime)) this.peerTime = time;
  }

  private shared(): SharedHistory {
    const { view, resumedAt } = this.options;
    const until = view.confirmedAt;
    const since = Math.max(this.knownSince(), until - this.retentionMs);
    const isKnown = until >= resumedAt() && since <= until;
    return { former: [...this.table.formerVersions()], time: isKnown ? { since, until } : undefined };
  }
}

function retentionOf(routes: readonly Route[]): number {
  const longestMs = routes.reduce(
    (longest, { kind, timeoutMs }) => (kind === RouteKind.Streaming ? Math.max(longest, timeoutMs) : longest),
    0,
  );
  return Math.max(MIN_RETENTION_MS, RETENTION_TIMEOUTS * longestMs);
}
