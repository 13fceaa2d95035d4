/**
 * This daemon's copy of the platform's records, with the position up to which it is complete.
 *
 * Every change, from the store or from a peer, is merged by position, so late and duplicate changes have no effect
 * and no record reverts to an older state. A store that comes back from a copy of itself begins a new epoch: its
 * revisions are given out again, and acknowledged changes may be missing until they are written again. Records that
 * are missing then are retained for a while, and versioned records are never replaced by an earlier version.
 */
import type { TimerHandle, TimerService } from '@celeryyoke/core';

import { isVersioned, mergeRecords } from './merge-rules.js';
import type { Position } from './position.js';
import { isAfter } from './position.js';
import type { Change, Delta, ReplicaEntry, ViewRecord } from './types.js';
import { RecordKind } from './types.js';

/**
 * Maximum number of changes in the log from which lagging peers get a delta; a peer that lags further gets
 * all records.
 */
const MAX_LOGGED_CHANGES = 600;
/**
 * Time after the beginning of an epoch for which replicas that are missing from the store are retained, in
 * milliseconds: those that are alive write their entries again within about two seconds.
 */
const RETENTION_MS = 2200;
/** Interval at which it is checked whether that time is over, in milliseconds. */
const RETENTION_CHECK_MS = 100;
/** Age of the copy up to which it shows what is missing from the store, in milliseconds: watches wait shorter. */
const MAX_CONFIRMED_AGE_MS = 900;

interface StoredRecord {
  readonly position: Position;
  readonly record: ViewRecord | undefined;
}

export type ChangeListener = (change: Change) => void;

/**
 * Called before all records are replaced; changes since the last confirmation may be missing in between.
 * @param ageMs - Time since this copy was last known to be up to date, in milliseconds; Infinity if it never was.
 */
export type SnapshotListener = (ageMs: number) => void;

/** A store that has come back from a copy of itself. */
export interface EpochStart {
  readonly before: Position;
  readonly epoch: number;
}

/** Called when a later epoch begins, before its records are merged. */
export type EpochListener = (start: EpochStart) => void;

/** The merged records, and a log of recent changes from which deltas for peers are made. */
export class ReplicatedStore {
  /** Revision up to which this copy is complete; 0 before the first full delta. */
  upTo = 0;

  /** Sequence that the revision belongs to. */
  epoch = 0;

  /** Monotonic time at which the epoch began, in milliseconds; -Infinity if that is long ago. */
  epochSince = Number.NEGATIVE_INFINITY;

  /** Number of changes since the process start that must be published to peers. */
  publishableCount = 0;

  /** Number of times that a record was kept although the store has an earlier one. */
  keptCount = 0;

  /** Monotonic time at which this copy was last known to be up to date, in milliseconds. */
  confirmedAt = Number.NEGATIVE_INFINITY;

  private readonly stored = new Map<string, StoredRecord>();

  /** Keys of versioned records that are later than what the store has, or had when the epoch began. */
  private readonly kept = new Set<string>();

  private changeLog: Change[] = [];

  /** Deltas from this revision or a later one can be made from the log. */
  private logStart = 0;

  private retentionTimer: TimerHandle | undefined;

  private readonly listeners: ChangeListener[] = [];

  private readonly snapshotListeners: SnapshotListener[] = [];

  private readonly epochListeners: EpochListener[] = [];

  constructor(private readonly timers: TimerService) {}

  /**
   * Time since this copy was last known to be up to date, in milliseconds; Infinity before the first time.
   */
  get ageMs(): number {
    return this.timers.now() - this.confirmedAt;
  }

  /** Position up to which this copy is complete. */
  get position(): Position {
    return { epoch: this.epoch, revision: this.upTo };
  }

  /** Subscribes to changes; the listener is called once for each change that was not known. */
  onChange(listener: ChangeListener): void {
    this.listeners.push(listener);
  }

  /** Subscribes to deltas that replace all records. */
  onSnapshot(listener: SnapshotListener): void {
    this.snapshotListeners.push(listener);
  }

  /** Subscribes to later epochs; the first one of this copy is none. */
  onEpoch(listener: EpochListener): void {
    this.epochListeners.push(listener);
  }

  /** Cancels the timer. */
  stop(): void {
    this.retentionTimer?.cancel();
  }

  /**
   * Records that a revision was the latest one some time ago; if this copy is complete up to it, it was up to
   * date as well.
   * @param ageMs - How long ago, in milliseconds.
   * @param epoch - Sequence that the revision belongs to.
   */
  confirmUpToDate(upTo: number, ageMs: number, epoch = 0): void {
    if (epoch !== this.epoch || upTo > this.upTo || this.upTo === 0) return;
    this.confirmedAt = Math.max(this.confirmedAt, this.timers.now() - ageMs);
  }

  /**
   * Merges a delta from the store or a peer.
   * @returns Whether the delta could be applied; if not, changes before it are missing and a full delta is
   * needed.
   */
  apply(delta: Delta): boolean {
    const { epoch = 0, upTo, isWhole } = delta;
    if (epoch < this.epoch) {
      this.mergeEarlier(delta);
      return true;
    }
    if (!isWhole && (epoch > this.epoch || delta.from > this.upTo || this.upTo === 0)) return false;
    const isLater = isAfter({ epoch, revision: upTo }, this.position);
    if (isWhole && isLater) for (const listener of this.snapshotListeners) listener(this.ageMs);
    if (epoch > this.epoch) this.beginEpoch(delta);
    for (const change of delta.changes) this.merge(change, epoch);
    if (!isLater) return true;
    if (isWhole) this.removeMissing(delta);
    this.upTo = upTo;
    if (isWhole) this.clearLog();
    return true;
  }

  /**
   * Makes a delta for a lagging copy.
   * @param from - Revision up to which that copy is complete.
   * @param epoch - Sequence that the revision belongs to.
   * @returns A delta, whole if the copy lags too far.
   */
  deltaSince(from: number, epoch = this.epoch): Delta {
    if (from === 0 || from < this.logStart || epoch !== this.epoch) return this.snapshot();
    const logged = this.changeLog.filter((change) => change.revision > from);
    const changes = this.isRecovering ? [...logged, ...this.changesOf(this.kept)] : logged;
    return { epoch: this.epoch, from, upTo: this.upTo, isWhole: false, changes };
  }

  /** Whether the epoch began so recently that peers may lack what was kept. */
  private get isRecovering(): boolean {
    return this.timers.now() - this.epochSince < 2 * RETENTION_MS;
  }

  private snapshot(): Delta {
    const changes = this.changesOf(this.stored.keys());
    const epochAgeMs = this.timers.now() - this.epochSince;
    return { epoch: this.epoch, epochAgeMs, from: 0, upTo: this.upTo, isWhole: true, changes };
  }

  private changesOf(keys: Iterable<string>): Change[] {
    const changes: Change[] = [];
    for (const key of keys) {
      const { position, record } = this.stored.get(key)!;
      if (record !== undefined) changes.push(this.changeAt(position, key, record));
    }
    return changes;
  }

  /** Makes a change for a delta of the present epoch. */
  private changeAt({ epoch, revision }: Position, key: string, record: ViewRecord | undefined): Change {
    return { key, revision, record, ...(epoch === this.epoch ? {} : { epoch }) };
  }

  /** Merges the versioned records of an earlier epoch: they were acknowledged, whatever the store has now. */
  private mergeEarlier({ epoch = 0, changes }: Delta): void {
    for (const change of changes) if (isVersioned(change.record)) this.merge(change, epoch);
  }

  private beginEpoch({ epoch = 0, epochAgeMs }: Delta): void {
    const now = this.timers.now();
    const before = this.position;
    if (before.revision > 0) for (const listener of this.epochListeners) listener({ before, epoch });
    // A copy that was empty has nothing from before; its peer tells for how long it has retained what is missing.
    this.epochSince = this.upTo === 0 ? now - (epochAgeMs ?? Number.POSITIVE_INFINITY) : now;
    this.epoch = epoch;
    this.logStart = Number.POSITIVE_INFINITY;
    this.kept.clear();
    for (const [key, { record }] of this.stored) if (isVersioned(record)) this.keep(key);
    this.retentionTimer?.cancel();
    this.scheduleRetentionCheck();
  }

  private scheduleRetentionCheck(): void {
    this.retentionTimer = this.timers.after(RETENTION_CHECK_MS, () => this.endRetention());
  }

  /** Removes the replicas that are still missing from the store when the time is over, once that is known. */
  private endRetention(): void {
    const isOver = this.timers.now() - this.epochSince >= RETENTION_MS;
    if (!isOver || this.ageMs > MAX_CONFIRMED_AGE_MS) {
      this.scheduleRetentionCheck();
      return;
    }
    const position = { epoch: this.epoch, revision: 0 };
    for (const [key, known] of this.stored) {
      if (known.record?.kind !== RecordKind.Replica || known.position.epoch === this.epoch) continue;
      this.stored.set(key, { position, record: undefined });
      for (const listener of this.listeners) listener({ key, revision: 0, record: undefined });
    }
  }

  /** Merges a change that was written in an epoch, unless it states an earlier one. */
  private merge(change: Change, epoch: number): void {
    const { key } = change;
    const next = {
      position: { epoch: change.epoch ?? epoch, revision: change.revision },
      record: change.record,
    };
    const known = this.stored.get(key);
    const isLater = known === undefined || isAfter(next.position, known.position);
    const record = mergeRecords(known?.record, next.record, isLater);
    if (!isLater && record === known.record) return;
    const isAdopted = record === next.record;
    this.stored.set(key, { position: isLater ? next.position : known.position, record });
    // Where the store has an earlier version, peers may have it as well.
    if (isLater === isAdopted) this.kept.delete(key);
    else this.keep(key);
    if (!isAdopted) return;
    // Peers retain a record of an earlier epoch only until they learn that it was written again.
    const isWrittenAgain = isLater && known?.position.epoch !== next.position.epoch;
    const adopted = this.changeAt(next.position, key, record);
    if (isWrittenAgain || mustPublish(known?.record, record)) this.appendToLog(adopted);
    for (const listener of this.listeners) listener(adopted);
  }

  private keep(key: string): void {
    this.kept.add(key);
    this.keptCount += 1;
  }

  /**
   * Removes the records that a full delta does not contain, unless they were changed after its revision or belong to
   * an earlier epoch.
   */
  private removeMissing({ epoch = 0, upTo, changes }: Delta): void {
    const present = new Set(changes.map(({ key }) => key));
    for (const [key, { position, record }] of this.stored) {
      const isMissing = position.epoch === epoch && position.revision <= upTo && !present.has(key);
      if (record !== undefined && isMissing) this.merge({ key, revision: upTo, record: undefined }, epoch);
    }
  }

  private appendToLog(change: Change): void {
    this.publishableCount += 1;
    // What is of an earlier epoch is sent as long as it is kept.
    if (change.epoch !== undefined) return;
    this.changeLog.push(change);
    if (this.changeLog.length <= MAX_LOGGED_CHANGES) return;
    const dropped = this.changeLog.shift()!;
    this.logStart = Math.max(this.logStart, dropped.revision);
  }

  private clearLog(): void {
    this.changeLog = [];
    this.logStart = this.upTo;
  }
}

/**
 * Whether a change must be published to peers. A replica writes its entry about once a second; the adapters
 * in it need not be published, as the owner of the engine publishes them sooner, and full deltas contain
 * them.
 */
function mustPublish(before: ViewRecord | undefined, after: ViewRecord | undefined): boolean {
  if (before?.kind !== RecordKind.Replica || after?.kind !== RecordKind.Replica) return true;
  return publishedFields(before.replica) !== publishedFields(after.replica);
}

function publishedFields({ models, ...rest }: ReplicaEntry): string {
  return JSON.stringify([rest, models?.map(({ name, version }) => [name, version])]);
}
