/**
 * Records which software version began each stream, while several versions may serve its service.
 *
 * The daemon that begins a stream keeps its version, and sends it to the owners of its record before the caller gets
 * the first event. A daemon at which a caller resumes the stream asks them. It needs no acknowledgement: a record
 * that is lost only means that the stream can't be resumed.
 */
import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';

import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { OriginRowFrame, OriginFrame, StreamKeyFrame } from './origin-codec.js';
import {
  decodeKey,
  decodeOrigin,
  decodeRecord,
  encodeKey,
  encodeOrigin,
  encodeRecord,
} from './origin-codec.js';
import { OriginOwners } from './origin-owners.js';
import { combineOrigins, OriginTable } from './origin-table.js';
import type { NamedStreamKey, StreamKey } from './stream-key.js';
import type { BeginBounds, OriginRecord, StreamOrigin, VersionDoubt } from './types.js';
import type { VersionHistory } from './version-history.js';

/** Timeout of a request to an owner, in milliseconds. */
const LOOK_UP_TIMEOUT_MS = 150;
/** Interval at which the doubts of services and the owners of running streams are checked, in milliseconds. */
const REVIEW_MS = 100;
/** Interval at which records and streams that ended early are checked for their deadlines, in milliseconds. */
const EXPIRY_MS = 1000;
/** Shortest time between two reports of all running streams, in milliseconds. */
const MIN_REPORT_INTERVAL_MS = 1000;
/** Time for which a stream can be resumed after it ended early, in milliseconds, where its caller states no deadline. */
const DEFAULT_RESUMABLE_MS = 15_000;
/** Largest number of streams that ended early. */
const MAX_BROKEN = 1024;
/** Largest number of records in one message. */
const MAX_RECORDS = 256;

/** A stream in progress at this daemon. */
export interface RunningStream {
  readonly service: string;
  /** Returns the key of its record. */
  readonly key: () => NamedStreamKey;
  /** Returns the version that began it; undefined while it is not known. */
  readonly softwareVersion: () => string | undefined;
  /** Monotonic time until which its caller may resume it, in milliseconds; undefined if the caller states none. */
  readonly deadlineAt: number | undefined;
}

/** Parts of the daemon that records of streams use. */
export interface StreamOriginsOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'aliveAddresses' | 'handle' | 'member' | 'request' | 'send'>;
  readonly history: Pick<VersionHistory, 'doubtOf' | 'knownForMs' | 'onlyVersion' | 'retentionMs'>;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

/** What a daemon was told of a stream. */
export interface LookUpResult {
  readonly origin: StreamOrigin;
  /** Owners that were asked, and those that answered. */
  readonly askedCount: number;
  readonly answeredCount: number;
}

/** The records of this daemon's streams, and of those that it owns. */
export class StreamOrigins {
  private readonly table: OriginTable;

  private readonly owners: OriginOwners;

  private readonly running = new Set<RunningStream>();

  /** Streams that ended early, with the monotonic time until which they count as running, in milliseconds. */
  private readonly broken = new Map<RunningStream, number>();

  /** Streams whose version was not known when they were to be reported. */
  private readonly unreported = new Set<RunningStream>();

  private readonly doubts = new Map<string, VersionDoubt | undefined>();

  private reportedAlive: readonly string[] = [];

  /** Monotonic time of the last report of all running streams, in milliseconds. */
  private reportedAt = Number.NEGATIVE_INFINITY;

  private readonly timerHandles: readonly TimerHandle[];

  /** Registers the message handlers. */
  constructor(private readonly options: StreamOriginsOptions) {
    const { cluster, timers } = options;
    this.table = new OriginTable(timers);
    this.owners = new OriginOwners(cluster);
    cluster.handle(MessageType.StreamOrigins, (_from, frames: OriginRowFrame[]) => {
      for (const frame of frames) this.table.put(decodeRecord(frame));
    });
    cluster.handle(MessageType.StreamOrigin, (_from, frame: StreamKeyFrame) =>
      encodeOrigin(this.table.get(decodeKey(frame))),
    );
    this.timerHandles = [
      timers.repeat(REVIEW_MS, () => this.review()),
      timers.repeat(EXPIRY_MS, () => this.expire()),
    ];
  }

  /** Cancels the timers. */
  stop(): void {
    for (const timer of this.timerHandles) timer.cancel();
  }

  /** Number of records that this daemon holds. */
  get size(): number {
    return this.table.size;
  }

  /** Number of records that were dropped before their time. */
  get droppedCount(): number {
    return this.table.droppedCount;
  }

  /**
   * Returns the only version that can have begun a stream of a service; undefined if there may be others.
   * @param bounds - See {@link VersionHistory.onlyVersion}.
   */
  onlyVersion(service: string, bounds?: BeginBounds): string | undefined {
    return this.options.history.onlyVersion(service, bounds);
  }

  /**
   * Returns why there may be others.
   * @param bounds - See {@link VersionHistory.onlyVersion}.
   */
  doubtOf(service: string, bounds?: BeginBounds): VersionDoubt | undefined {
    return this.options.history.doubtOf(service, bounds);
  }

  /** Time for which all versions are known, in milliseconds. */
  get knownForMs(): number {
    return this.options.history.knownForMs;
  }

  /** Registers a stream before its caller gets the first event; it is recorded at once, or when that is needed. */
  begin(stream: RunningStream): void {
    this.running.add(stream);
    if (this.doubtOf(stream.service) !== undefined) this.report([stream]);
  }

  /**
   * Unregisters a stream whose response has ended. What was recorded of it stays for its caller.
   * @param isComplete - Whether the caller got the whole stream, so that it has nothing to resume.
   */
  end(stream: RunningStream, isComplete: boolean): void {
    const wasRunning = this.running.delete(stream);
    const record = wasRunning && !isComplete ? this.recordOf(stream) : undefined;
    this.unreported.delete(stream);
    if (record === undefined) return;
    const { service, deadlineAt } = stream;
    // The request itself is not retained.
    const broken = { service, key: () => record, softwareVersion: () => record.softwareVersion, deadlineAt };
    this.broken.set(broken, deadlineAt ?? this.options.timers.now() + DEFAULT_RESUMABLE_MS);
    if (this.broken.size > MAX_BROKEN) this.removeOldestBroken();
  }

  /** Finds out which version began a stream: all owners are asked, as two of them may differ. */
  async lookUp(key: StreamKey): Promise<LookUpResult> {
    const asked = this.owners.ownersOf(key.request).filter((owner) => owner !== this.options.self);
    const answers = await Promise.all(asked.map((owner) => this.ask(owner, key)));
    const received = answers.filter((answer) => answer !== undefined);
    return {
      origin: [this.table.get(key), ...received].reduce(combineOrigins),
      askedCount: asked.length,
      answeredCount: received.length,
    };
  }

  private async ask(owner: string, key: StreamKey): Promise<StreamOrigin | undefined> {
    const { cluster, log } = this.options;
    try {
      const frame = await cluster.request(
        owner,
        MessageType.StreamOrigin,
        encodeKey(key),
        LOOK_UP_TIMEOUT_MS,
      );
      return decodeOrigin(frame as OriginFrame);
    } catch (err) {
      log.debug(`${owner} did not tell the origin of a stream: ${String(err)}.`);
      return undefined;
    }
  }

  /**
   * Reports running streams that have come to need records, or whose owners are others; and those whose version has
   * become known.
   */
  private review(): void {
    const services = this.activeServices();
    const inDoubt = new Set([...services].filter((service) => this.doubtOf(service) !== undefined));
    const isNew = [...inDoubt].some((service) => this.doubts.get(service) === undefined);
    this.recordDoubts(services);
    if (isNew || this.areOwnersNew(inDoubt)) {
      this.reportedAlive = this.options.cluster.aliveAddresses();
      this.reportedAt = this.options.timers.now();
      this.report([...this.activeStreams()].filter(({ service }) => inDoubt.has(service)));
    } else this.report([...this.unreported].filter(({ softwareVersion }) => softwareVersion() !== undefined));
  }

  private expire(): void {
    this.table.expire();
    const now = this.options.timers.now();
    for (const [stream, until] of this.broken) if (until <= now) this.broken.delete(stream);
  }

  private removeOldestBroken(): void {
    const [oldest] = this.broken.keys();
    this.broken.delete(oldest!);
  }

  private areOwnersNew(inDoubt: ReadonlySet<string>): boolean {
    const { cluster, timers } = this.options;
    if (inDoubt.size === 0 || cluster.aliveAddresses() === this.reportedAlive) return false;
    return timers.now() - this.reportedAt >= MIN_REPORT_INTERVAL_MS;
  }

  /** Streams that run, or whose callers may resume them. */
  private *activeStreams(): Generator<RunningStream, void, undefined> {
    yield* this.running;
    yield* this.broken.keys();
  }

  private activeServices(): Set<string> {
    const services = new Set<string>();
    for (const { service } of this.activeStreams()) services.add(service);
    return services;
  }

  /** Logs services whose streams have come to need records, or need none any more. */
  private recordDoubts(active: ReadonlySet<string>): void {
    const services = new Set([...this.doubts.keys(), ...active]);
    for (const service of services) {
      const doubt = this.doubtOf(service);
      if (doubt === this.doubts.get(service)) continue;
      this.doubts.set(service, doubt);
      this.options.log.decide('stream.versions', 'Which versions can have begun streams has changed.', {
        service,
        doubt: doubt ?? 'none',
        softwareVersion: this.onlyVersion(service),
      });
    }
  }

  private report(streams: readonly RunningStream[]): void {
    const byOwner = new Map<string, OriginRecord[]>();
    for (const stream of streams) {
      const record = this.recordOf(stream);
      if (record === undefined) continue;
      this.table.put(record);
      for (const owner of this.owners.ownersOf(record.request)) {
        const records = byOwner.get(owner) ?? [];
        records.push(record);
        byOwner.set(owner, records);
      }
    }
    byOwner.delete(this.options.self);
    for (const [owner, records] of byOwner) this.send(owner, records);
  }

  /** Returns the record of a stream; undefined if its version is not known yet. */
  private recordOf(stream: RunningStream): OriginRecord | undefined {
    const softwareVersion = stream.softwareVersion();
    if (softwareVersion === undefined) {
      this.unreported.add(stream);
      return undefined;
    }
    this.unreported.delete(stream);
    const { request, attempt } = stream.key();
    const { history, timers } = this.options;
    const untilDeadlineMs = Math.ceil((stream.deadlineAt ?? 0) - timers.now());
    return { request, attempt, softwareVersion, retentionMs: Math.max(history.retentionMs, untilDeadlineMs) };
  }

  private send(owner: string, records: readonly OriginRecord[]): void {
    for (let from = 0; from < records.length; from += MAX_RECORDS) {
      const frames = records.slice(from, from + MAX_RECORDS).map(encodeRecord);
      this.options.cluster.send(owner, MessageType.StreamOrigins, frames);
    }
  }
}
