/**
 * Knows which software versions can have begun the streams of a service that are still alive.
 *
 * While that is one version only, nothing has to be recorded of any stream. A daemon may conclude that only if its view is
 * recent, for a stream of a peer also later than its begin, and it knows all versions that have ever served, as nothing
 * bounds how long a caller waits: by its own view, or, if it has started or was cut off since, by what it asks of its peers.
 * A fleet that has started knows what the history of the platform's store proves; that it starts for the first time is no
 * proof, as its settings may outlast its processes. Where that is a part of the history only, the fleet records all streams,
 * and concludes for streams that are not recorded if, by what their callers state, they began in that part and before it.
 */
import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';

import type { Route } from '../catalog/index.js';
import { RouteKind } from '../catalog/index.js';
import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { RecordSource, ReplicaEntry, ReplicaRegistry, ReplicatedStore } from '../view/index.js';
import { CallerDeadlines } from './caller-deadlines.js';
import type { VersionHistoryFrame } from './origin-codec.js';
import { decodeHistory, encodeHistory } from './origin-codec.js';
import type { StoreHistory } from './store-history.js';
import { pastVersions, readStoreHistory, shortestSpanMs } from './store-history.js';
import type { BeginBounds, KnownTime, SharedHistory } from './types.js';
import { VersionDoubt } from './types.js';
import { VersionTable } from './version-table.js';

/** Largest age of a view from which versions are concluded, in milliseconds. */
const MAX_VIEW_AGE_MS = 1500;
/** Shortest time for which the record of a stream is kept, in milliseconds. */
const MIN_RETENTION_MS = 30_000;
/** The same, in longest timeouts of streams: one that is resumed may last as long again. */
const RETENTION_TIMEOUTS = 2;
/** Interval at which a daemon checks whether it has to ask a peer, in milliseconds. */
const REVIEW_MS = 200;
/** Longest pause between two requests while no peer knows enough, in milliseconds. */
const MAX_ASK_INTERVAL_MS = 2000;
const ASK_TIMEOUT_MS = 500;
/** Timeout of reading the store's history, in milliseconds. */
const ASK_STORE_TIMEOUT_MS = 3000;
/** Pause before the store is asked again after a failed call, in milliseconds. */
const ASK_STORE_PAUSE_MS = 1000;
/** Bounds of streams that this daemon has begun itself, at replicas that it knows. */
const OWN_STREAMS: BeginBounds = { after: Number.NEGATIVE_INFINITY, before: Number.NEGATIVE_INFINITY };

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
  /** Where the history of the records is read. */
  readonly source: Pick<RecordSource, 'hasHistory' | 'replicaWrites'>;
  /** Interval at which replicas write their entries, in milliseconds. */
  readonly replicaWriteIntervalMs: number;
}

/** Software versions of each service, present and former. */
export class VersionHistory {
  /** What callers of this daemon and of its peers state. */
  readonly deadlines = new CallerDeadlines();

  private readonly table: VersionTable;

  /** Monotonic time from which on this daemon's own view has missed no version, in milliseconds. */
  private ownSince = Number.POSITIVE_INFINITY;

  /** What a peer has known before this daemon's own view began. */
  private peerTime: KnownTime | undefined;

  /** Monotonic time at which the first daemon of this fleet started, as far as it is known, in milliseconds. */
  private fleetStartedAt: number;

  private askIntervalMs = REVIEW_MS;

  /** Monotonic time of the next request to a peer, in milliseconds. */
  private askAt = 0;

  /** Number of requests so far, which go to one peer after the other. */
  private askCount = 0;

  /** See {@link VersionHistory.retentionMs}. */
  private retention = MIN_RETENTION_MS;

  private isStopped = false;

  private readonly reviewTimer: TimerHandle;

  /** Registers the message handler, and asks peers until this daemon knows enough. */
  constructor(private readonly options: VersionHistoryOptions) {
    const { cluster, registry, view, timers } = options;
    this.table = new VersionTable(timers);
    this.fleetStartedAt = timers.now();
    view.onSnapshot((ageMs) => this.recordSnapshot(ageMs));
    // It is not known for how long the replicas of the first snapshot were listed.
    registry.onReplica((id, entry, before) => this.table.update(id, entry, before, view.upTo === 0));
    registry.onTable(({ document }) => {
      this.retention = retentionOf(document.routes);
      this.deadlines.retain(new Set(document.routes.map(({ name }) => name)));
    });
    cluster.handle(MessageType.VersionHistory, () => encodeHistory(this.shared(), timers.now()));
    this.reviewTimer = timers.repeat(REVIEW_MS, () => this.review());
  }

  /** Cancels the timer. */
  stop(): void {
    this.isStopped = true;
    this.reviewTimer.cancel();
  }

  /** Time for which the record of a stream is kept at least, in milliseconds. */
  get retentionMs(): number {
    return this.retention;
  }

  /**
   * Returns the only version that can have begun a stream of a service; undefined if there may be others.
   * @param bounds - When it began; without them, streams are meant that this daemon has begun itself.
   */
  onlyVersion(service: string, bounds = OWN_STREAMS): string | undefined {
    if (this.doubtOf(service, bounds) !== undefined) return undefined;
    return this.table.versionsOf(service, this.countedSince(bounds)).first;
  }

  /**
   * Returns why streams of a service may have begun at several versions; undefined if there is only one.
   * @param bounds - See {@link VersionHistory.onlyVersion}.
   */
  doubtOf(service: string, bounds = OWN_STREAMS): VersionDoubt | undefined {
    if (!this.isViewRecent()) return VersionDoubt.StaleView;
    if (!this.options.hasSettled()) return VersionDoubt.Starting;
    if (!this.knowsHistory()) {
      if (this.knownSince() > listedSince(bounds)) return VersionDoubt.NoHistory;
      if (bounds.after > this.fleetStartedAt) return VersionDoubt.Unrecorded;
    }
    const { count, hasUnknown, newestMs } = this.table.versionsOf(service, this.countedSince(bounds));
    if (count > 1) return newestMs < MAX_VIEW_AGE_MS ? VersionDoubt.NewVersion : VersionDoubt.Several;
    if (count === 0 || hasUnknown) return VersionDoubt.UnknownVersion;
    return this.options.view.confirmedAt < bounds.before ? VersionDoubt.EarlierView : undefined;
  }

  /** Monotonic time since which former versions count; all do where they are known. */
  private countedSince(bounds: BeginBounds): number {
    return this.knowsHistory() ? Number.NEGATIVE_INFINITY : listedSince(bounds);
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

  /** Whether all versions are known that have ever served. */
  private knowsHistory(): boolean {
    return this.knownSince() === Number.NEGATIVE_INFINITY;
  }

  /** Time for which all versions are known, in milliseconds. */
  get knownForMs(): number {
    return this.options.timers.now() - this.knownSince();
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
   * Asks the store which versions have served; called when this daemon has read all of the store's records, so that one
   * daemon asks for all. Repeats a failed call.
   */
  async askStore(): Promise<void> {
    const { timers, log } = this.options;
    while (!this.isStopped && !this.knowsHistory()) {
      const gapAt = this.ownSince;
      try {
        await this.readStore(gapAt);
        if (this.ownSince <= gapAt) return;
      } catch (err) {
        log.warn(`The store did not tell which versions have served: ${String(err)}.`);
        await timers.sleep(ASK_STORE_PAUSE_MS);
      }
    }
  }

  /**
   * @param gapAt - Monotonic time of the last gap in this daemon's view; a later one invalidates what is read.
   */
  private async readStore(gapAt: number): Promise<void> {
    const { source, view, log } = this.options;
    const history = await readStoreHistory(source, view.upTo, AbortSignal.timeout(ASK_STORE_TIMEOUT_MS));
    const isProof = history !== undefined && this.ownSince === gapAt;
    if (isProof) this.mergeStoreHistory(history);
    log.decide('stream.history', 'Asked the store which software versions have served.', {
      writes: history?.writes.length,
      from: history?.from,
      upTo: view.upTo,
      isProof,
      knownForMs: Math.round(this.knownForMs),
    });
  }

  private mergeStoreHistory(history: StoreHistory): void {
    const { timers, replicaWriteIntervalMs: intervalMs } = this.options;
    const now = timers.now();
    for (const version of pastVersions(history, { intervalMs, wall: timers.wall() }))
      this.table.merge({ ...version, removedAt: now - version.removedAgoMs });
    const since = now - shortestSpanMs(history.writes, intervalMs);
    this.ownSince = Math.min(this.ownSince, history.from === 0 ? Number.NEGATIVE_INFINITY : since);
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

  private merge({ versions, time, fleetStartedAt, deadlines }: SharedHistory): void {
    this.fleetStartedAt = Math.min(this.fleetStartedAt, fleetStartedAt);
    for (const deadline of deadlines) this.deadlines.record(deadline);
    for (const version of versions) this.table.merge(version);
    if (time === undefined) return;
    const isBetter = this.isJoined(time) && time.since < this.knownSince();
    if (isBetter || !this.isJoined(this.peerTime)) this.peerTime = time;
  }

  private shared(): SharedHistory {
    const { view, resumedAt } = this.options;
    const until = view.confirmedAt;
    const since = this.knownSince();
    const isKnown = until >= resumedAt() && since <= until;
    return {
      versions: [...this.table.servedVersions()],
      time: isKnown ? { since, until } : undefined,
      fleetStartedAt: this.fleetStartedAt,
      deadlines: [...this.deadlines.all()],
    };
  }
}

/** Monotonic time since which a version must have been listed to have begun a stream: views may be that old. */
function listedSince({ after }: BeginBounds): number {
  return after - MAX_VIEW_AGE_MS;
}

function retentionOf(routes: readonly Route[]): number {
  const longestMs = routes.reduce(
    (longest, { kind, timeoutMs }) => (kind === RouteKind.Streaming ? Math.max(longest, timeoutMs) : longest),
    0,
  );
  return Math.max(MIN_RETENTION_MS, RETENTION_TIMEOUTS * longestMs);
}
