/**
 * The records that this daemon knows, with the revision up to which it knows them.
 *
 * Every copy, from the store or from a peer, is merged by revision, so a late or repeated copy changes nothing and
 * no record ever goes back.
 */
import type { TimerService } from '@celeryyoke/core';

import type { Change, Delta, ReplicaEntry, ViewRecord } from './types.js';
import { RecordKind } from './types.js';

/** Changes kept for peers that lag; one that lags further gets the whole view. */
const KEPT_CHANGES = 600;

interface Known {
  readonly revision: number;
  readonly record: ViewRecord | undefined;
}

/** Told of each change that was new. */
export type ChangeListener = (change: Change) => void;

/** The merged records. */
export class ReplicatedStore {
  /** Revision up to which nothing is missing; 0 before the first whole read. */
  upTo = 0;

  /** Changes since the start that peers must hear of. */
  newsCount = 0;

  /** Monotonic time at which the view was last known to be complete, in milliseconds. */
  confirmedAt = Number.NEGATIVE_INFINITY;

  private readonly known = new Map<string, Known>();

  private log: Change[] = [];

  /** Deltas that begin at this revision or later can be made from the log. */
  private logFrom = 0;

  private readonly listeners: ChangeListener[] = [];

  /**
   * Makes an empty view.
   * @param timers - Time.
   */
  constructor(private readonly timers: TimerService) {}

  /** Age of the last confirmation in milliseconds; Infinity before the first. */
  get ageMs(): number {
    return this.timers.now() - this.confirmedAt;
  }

  /**
   * Subscribes to changes.
   * @param listener - Called once for each new change.
   */
  onChange(listener: ChangeListener): void {
    this.listeners.push(listener);
  }

  /**
   * Notes that a view at a revision was complete some time ago; so was this one if it has as much.
   * @param upTo - The revision.
   * @param ageMs - How long ago, in milliseconds.
   */
  confirm(upTo: number, ageMs: number): void {
    if (upTo > this.upTo || this.upTo === 0) return;
    this.confirmedAt = Math.max(this.confirmedAt, this.timers.now() - ageMs);
  }

  /**
   * Merges a delta.
   * @param delta - From the store or a peer.
   * @returns Whether the view could take it; if not, ask for a whole one.
   */
  apply(delta: Delta): boolean {
    if (!delta.isWhole && (delta.from > this.upTo || this.upTo === 0)) return false;
    for (const change of delta.changes) this.merge(change);
    if (delta.upTo <= this.upTo) return true;
    if (delta.isWhole) this.dropMissing(delta);
    this.upTo = delta.upTo;
    if (delta.isWhole) this.forgetLog();
    return true;
  }

  /**
   * Tells what a lagging copy lacks.
   * @param from - Revision up to which the copy is complete.
   * @returns A delta, whole when the copy lags too far.
   */
  since(from: number): Delta {
    if (from === 0 || from < this.logFrom) return this.whole();
    const changes = this.log.filter((change) => change.revision > from);
    return { from, upTo: this.upTo, isWhole: false, changes };
  }

  private whole(): Delta {
    const changes: Change[] = [];
    for (const [key, { revision, record }] of this.known)
      if (record !== undefined) changes.push({ key, revision, record });
    return { from: 0, upTo: this.upTo, isWhole: true, changes };
  }

  private merge(change: Change): void {
    const known = this.known.get(change.key);
    if (known !== undefined && known.revision >= change.revision) return;
    this.known.set(change.key, { revision: change.revision, record: change.record });
    if (isNews(known?.record, change.record)) this.remember(change);
    for (const listener of this.listeners) listener(change);
  }

  /** What a whole copy leaves out was removed at some revision up to the copy's. */
  private dropMissing(delta: Delta): void {
    const present = new Set(delta.changes.map(({ key }) => key));
    for (const [key, { revision, record }] of this.known) {
      if (record === undefined || present.has(key) || revision > delta.upTo) continue;
      this.merge({ key, revision: delta.upTo, record: undefined });
    }
  }

  private remember(change: Change): void {
    this.newsCount += 1;
    this.log.push(change);
    if (this.log.length <= KEPT_CHANGES) return;
    const dropped = this.log.shift()!;
    this.logFrom = Math.max(this.logFrom, dropped.revision);
  }

  private forgetLog(): void {
    this.log = [];
    this.logFrom = this.upTo;
  }
}

/**
 * Whether peers must hear of a change. A replica writes its entry about once a second; what an engine holds in it is
 * told sooner by the daemon that gives it orders, and stands in whole copies.
 */
function isNews(before: ViewRecord | undefined, after: ViewRecord | undefined): boolean {
  if (before?.kind !== RecordKind.Replica || after?.kind !== RecordKind.Replica) return true;
  return gistOf(before.replica) !== gistOf(after.replica);
}

function gistOf({ models, ...rest }: ReplicaEntry): string {
  return JSON.stringify([rest, models?.map(({ name, version }) => [name, version])]);
}
