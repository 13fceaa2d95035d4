/** Replicates the platform's view between daemons with the batches of shared state. */
import type { DecisionLog } from '@celeryyoke/core';

import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { Delta, Position, ReplicatedStore } from '../view/index.js';
import { isAfter, NO_POSITION } from '../view/index.js';
import type { Batch, ViewAge } from './batch.js';

/** Timeout of a request for missing changes, in milliseconds. */
const FETCH_TIMEOUT_MS = 1000;

/** What some daemons were sent of the view. */
interface SentView {
  /** Position up to which they have it. */
  readonly position: Position;
  /** Number of kept records at that time; see {@link ReplicatedStore.keptCount}. */
  readonly keptCount: number;
}

const NOTHING_SENT: SentView = { position: NO_POSITION, keptCount: 0 };

/** Options of {@link ViewFeed}. */
export interface ViewFeedOptions {
  readonly view: ReplicatedStore;
  readonly cluster: Pick<Cluster, 'request'>;
  readonly log: DecisionLog;
}

/**
 * Tracks which changes of the view this daemon has sent to whom, and merges changes and confirmations that it
 * receives. Changes that are missing are requested from the parent.
 */
export class ViewFeed {
  /**
   * What the receivers of this daemon's batches have of the view: its parent, or the root's subscribers.
   */
  private sent: SentView = NOTHING_SENT;

  /**
   * What was sent of the view to this daemon's subscribers, whichever daemon read the changes.
   */
  private forwarded: SentView = NOTHING_SENT;

  private isFetching = false;

  constructor(private readonly options: ViewFeedOptions) {}

  /**
   * Returns the age of this daemon's view.
   * @param clock - Time of sending; see {@link ViewAge.clock}.
   */
  age(clock: number | undefined): ViewAge {
    const { view } = this.options;
    const { upTo, epoch } = view;
    return { upTo, epoch, ageMs: Number.isFinite(view.ageMs) ? Math.ceil(view.ageMs) : -1, clock };
  }

  /**
   * Returns the changes that have not been sent in batches of this daemon, and marks them as sent.
   * @returns The changes, or undefined when there are none.
   */
  takeUnsent(): Delta | undefined {
    const delta = this.deltaAfter(this.sent);
    if (delta !== undefined) this.sent = this.current();
    return delta;
  }

  /**
   * Returns the changes that have not been sent to subscribers, and marks them as sent.
   * @returns The changes, or undefined when there are none.
   */
  takeUnforwarded(): Delta | undefined {
    const delta = this.deltaAfter(this.forwarded);
    if (delta !== undefined) this.forwarded = this.current();
    return delta;
  }

  /** Returns the changes that a daemon lacks whose view is complete up to a position; undefined if there are none. */
  deltaFor(position: Position): Delta | undefined {
    return this.deltaAfter({ position, keptCount: 0 });
  }

  /** Returns the changes since something was sent; undefined if there are none. */
  private deltaAfter({ position, keptCount }: SentView): Delta | undefined {
    const { view } = this.options;
    if (!isAfter(view.position, position) && view.keptCount === keptCount) return undefined;
    return view.deltaSince(position.revision, position.epoch);
  }

  private current(): SentView {
    const { position, keptCount } = this.options.view;
    return { position, keptCount };
  }

  /**
   * Records that the view was sent to the subscribers.
   * @param position - Position up to which it was sent.
   */
  markForwarded(position: Position): void {
    if (isAfter(position, this.forwarded.position)) this.forwarded = { ...this.forwarded, position };
  }

  /**
   * Records that the receivers of this daemon's batches have the view.
   * @param position - Position up to which they have it.
   */
  markSent(position: Position): void {
    this.sent = { position, keptCount: 0 };
  }

  /**
   * Merges the view in a batch from a subscriber.
   * @param transitMs - Time that the batch was in transit, in milliseconds.
   * @returns Whether this daemon's view has advanced to a later position, or has kept more than before.
   */
  mergeFromChild(batch: Batch, transitMs: number): boolean {
    const { view } = this.options;
    const { position, keptCount } = view;
    this.merge(batch, transitMs, undefined);
    return isAfter(view.position, position) || view.keptCount > keptCount;
  }

  /**
   * Merges the view in a batch from the parent, and requests changes that are missing before it.
   * @param transitMs - Time that the batch was in transit, in milliseconds.
   * @param parent - Address of the parent.
   */
  mergeFromParent(batch: Batch, transitMs: number, parent: string): void {
    const position = { epoch: batch.epoch, revision: batch.upTo };
    if (isAfter(position, this.sent.position)) this.sent = { ...this.sent, position };
    this.merge(batch, transitMs, parent);
  }

  private merge(batch: Batch, transitMs: number, source: string | undefined): void {
    const { delta, epoch, upTo, ageMs } = batch;
    const { view } = this.options;
    const isApplied = delta === undefined || view.apply(delta);
    const isBehind = isAfter({ epoch, revision: upTo }, view.position);
    if (source !== undefined && (!isApplied || isBehind)) void this.fetchMissing(source, epoch);
    if (ageMs >= 0) view.confirmUpToDate(upTo, ageMs + transitMs, epoch);
  }

  /** Requests the changes since this daemon's view, or all records if its revision is of another epoch. */
  private async fetchMissing(source: string, epoch: number): Promise<void> {
    const { cluster, view, log } = this.options;
    if (this.isFetching) return;
    this.isFetching = true;
    try {
      const upTo = epoch === view.epoch ? view.upTo : 0;
      const delta = await cluster.request(source, MessageType.ViewChanges, upTo, FETCH_TIMEOUT_MS);
      view.apply(delta as Delta);
    } catch (err) {
      log.debug(`Could not fetch changes of the view from ${source}: ${String(err)}.`);
    } finally {
      this.isFetching = false;
    }
  }
}
