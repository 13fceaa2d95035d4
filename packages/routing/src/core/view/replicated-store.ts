/**
 * This daemon's copy of the platform's records, with the revision up to which it is complete.
 *
 * Every change, from the store or from a peer, is merged by revision, so late and duplicate changes have no
 * effect and no record ever reverts to an older state.
 */
import type { TimerService } from '@celeryyoke/core';

import type { Change, Delta, ReplicaEntry, ViewRecord } from './types.js';
import { RecordKind } from './types.js';

/**
 * Maximum number of changes in the log from which lagging peers get a delta; a peer that lags further gets
 * all records.
 */
const MAX_LOGGED_CHANGES = 600;

interface StoredRecord {
  readonly revision: number;
  readonly record: ViewRecord | undefined;
}

export type ChangeListener = (change: Change) => void;

/**
 * Called before all records are replaced; changes since the last confirmation may be missing in between.
 * @param ageMs - Time since this copy was last known to be up to date, in milliseconds; Infinity if it never was.
 */
export type SnapshotListener = (ageMs: number) => void;

/** The merged records, and a log of recent changes from which deltas for peers are made. */
export class ReplicatedStore {
  /** Revision up to which this copy is complete; 0 before the first full delta. */
  upTo = 0;

  /** Number of changes since the process start that must be published to peers. */
  publishableCount = 0;

  /** Monotonic time at which this copy was last known to be up to date, in milliseconds. */
  confirmedAt = Number.NEGATIVE_INFINITY;

  private readonly stored = new Map<string, StoredRecord>();

  private changeLog: Change[] = [];

  /** Deltas from this revision or a later one can be made from the log. */
  private logStart = 0;

  private readonly listeners: ChangeListener[] = [];

  private readonly snapshotListeners: SnapshotListener[] = [];

  constructor(private readonly timers: TimerService) {}

  /**
   * Time since this copy was last known to be up to date, in milliseconds; Infinity before the first time.
   */
  get ageMs(): number {
    return this.timers.now() - this.confirmedAt;
  }

  /** Subscribes to changes; the listener is called once for each change that was not known. */
  onChange(listener: ChangeListener): void {
    this.listeners.push(listener);
  }

  /** Subscribes to deltas that replace all records. */
  onSnapshot(listener: SnapshotListener): void {
    this.snapshotListeners.push(listener);
  }

  /**
   * Records that a revision was the latest one some time ago; if this copy is complete up to it, it was up to
   * date as well.
   * @param ageMs - How long ago, in milliseconds.
   */
  confirmUpToDate(upTo: number, ageMs: number): void {
    if (upTo > this.upTo || this.upTo === 0) return;
    this.confirmedAt = Math.max(this.confirmedAt, this.timers.now() - ageMs);
  }

  /**
   * Merges a delta from the store or a peer.
   * @returns Whether the delta could be applied; if not, changes before it are missing and a full delta is
   * needed.
   */
  apply(delta: Delta): boolean {
    if (!delta.isWhole && (delta.from > this.upTo || this.upTo === 0)) return false;
    if (delta.isWhole && delta.upTo > this.upTo)
      for (const listener of this.snapshotListeners) listener(this.ageMs);
    for (const change of delta.changes) this.merge(change);
    if (delta.upTo <= this.upTo) return true;
    if (delta.isWhole) this.removeMissing(delta);
    this.upTo = delta.upTo;
    if (delta.isWhole) this.clearLog();
    return true;
  }

  /**
   * Makes a delta for a lagging copy.
   * @param from - Revision up to which that copy is complete.
   * @returns A delta, whole if the copy lags too far.
   */
  deltaSince(from: number): Delta {
    if (from === 0 || from < this.logStart) return this.snapshot();
    const changes = this.changeLog.filter((change) => change.revision > from);
    return { from, upTo: this.upTo, isWhole: false, changes };
  }

  private snapshot(): Delta {
    const changes: Change[] = [];
    for (const [key, { revision, record }] of this.stored)
      if (record !== undefined) changes.push({ key, revision, record });
    return { from: 0, upTo: this.upTo, isWhole: true, changes };
  }

  private merge(change: Change): void {
    const known = this.stored.get(change.key);
    if (known !== undefined && known.revision >= change.revision) return;
    this.stored.set(change.key, { revision: change.revision, record: change.record });
    if (mustPublish(known?.record, change.record)) this.appendToLog(change);
    for (const listener of this.listeners) listener(change);
  }

  /** Removes the records that a full delta does not contain, unless they were changed after its revision. */
  private removeMissing(delta: Delta): void {
    const present = new Set(delta.changes.map(({ key }) => key));
    for (const [key, { revision, record }] of this.stored) {
      if (record === undefined || present.has(key) || revision > delta.upTo) continue;
      this.merge({ key, revision: delta.upTo, record: undefined });
    }
  }

  private appendToLog(change: Change): void {
    this.publishableCount += 1;
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
