/** Replicates the platform's view between daemons with the batches of shared state. */
import type { DecisionLog } from '@celeryyoke/core';

import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { Delta, ReplicatedStore } from '../view/index.js';
import type { Batch, ViewAge } from './batch.js';

/** Timeout of a request for missing changes, in milliseconds. */
const FETCH_TIMEOUT_MS = 1000;

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
   * Revision up to which the receivers of this daemon's batches have the view: its parent, or the root's
   * subscribers.
   */
  private sentUpTo = 0;

  /**
   * Revision up to which the view was sent to this daemon's subscribers, whichever daemon read the changes.
   */
  private forwardedUpTo = 0;

  private isFetching = false;

  constructor(private readonly options: ViewFeedOptions) {}

  /**
   * Returns the age of this daemon's view.
   * @param clock - Time of sending; see {@link ViewAge.clock}.
   */
  age(clock: number | undefined): ViewAge {
    const { view } = this.options;
    return { upTo: view.upTo, ageMs: Number.isFinite(view.ageMs) ? Math.ceil(view.ageMs) : -1, clock };
  }

  /**
   * Returns the changes that have not been sent in batches of this daemon, and marks them as sent.
   * @returns The changes, or undefined when there are none.
   */
  takeUnsent(): Delta | undefined {
    const { view } = this.options;
    if (view.upTo <= this.sentUpTo) return undefined;
    const delta = view.deltaSince(this.sentUpTo);
    this.sentUpTo = view.upTo;
    return delta;
  }

  /**
   * Returns the changes that have not been sent to subscribers, and marks them as sent.
   * @returns The changes, or undefined when there are none.
   */
  takeUnforwarded(): Delta | undefined {
    const { view } = this.options;
    if (view.upTo <= this.forwardedUpTo) return undefined;
    const delta = view.deltaSince(this.forwardedUpTo);
    this.forwardedUpTo = view.upTo;
    return delta;
  }

  /**
   * Records that the view was sent to the subscribers.
   * @param upTo - Revision up to which it was sent.
   */
  markForwarded(upTo: number): void {
    this.forwardedUpTo = Math.max(this.forwardedUpTo, upTo);
  }

  /**
   * Records that the receivers of this daemon's batches have the view.
   * @param upTo - Revision up to which they have it.
   */
  markSent(upTo: number): void {
    this.sentUpTo = upTo;
  }

  /**
   * Merges the view in a batch from a subscriber.
   * @param transitMs - Time that the batch was in transit, in milliseconds.
   * @returns Whether this daemon's view has advanced to a later revision.
   */
  mergeFromChild(batch: Batch, transitMs: number): boolean {
    const { upTo } = this.options.view;
    this.merge(batch, transitMs, undefined);
    return this.options.view.upTo > upTo;
  }

  /**
   * Merges the view in a batch from the parent, and requests changes that are missing before it.
   * @param transitMs - Time that the batch was in transit, in milliseconds.
   * @param parent - Address of the parent.
   */
  mergeFromParent(batch: Batch, transitMs: number, parent: string): void {
    this.sentUpTo = Math.max(this.sentUpTo, batch.upTo);
    this.merge(batch, transitMs, parent);
  }

  private merge({ delta, upTo, ageMs }: Batch, transitMs: number, source: string | undefined): void {
    const { view } = this.options;
    const isApplied = delta === undefined || view.apply(delta);
    if (source !== undefined && (!isApplied || upTo > view.upTo)) void this.fetchMissing(source);
    if (ageMs >= 0) view.confirmUpToDate(upTo, ageMs + transitMs);
  }

  private async fetchMissing(source: string): Promise<void> {
    const { cluster, view, log } = this.options;
    if (this.isFetching) return;
    this.isFetching = true;
    try {
      const delta = await cluster.request(source, MessageType.ViewChanges, view.upTo, FETCH_TIMEOUT_MS);
      view.apply(delta as Delta);
    } catch (err) {
      log.debug(`Could not fetch changes of the view from ${source}: ${String(err)}.`);
    } finally {
      this.isFetching = false;
    }
  }
}
