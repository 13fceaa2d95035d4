/** Carries the platform's view along with the batches of shared state. */
import type { DecisionLog } from '@celeryyoke/core';

import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { Delta, ReplicatedStore } from '../view/index.js';
import type { Batch, ViewAge } from './batch.js';

/** Longest wait for changes that a peer is asked for, in milliseconds. */
const ASK_TIMEOUT_MS = 1000;

/** What the feed uses of the daemon. */
export interface ViewFeedOptions {
  readonly view: ReplicatedStore;
  readonly cluster: Pick<Cluster, 'request'>;
  readonly log: DecisionLog;
}

/** The platform's view on its way between daemons. */
export class ViewFeed {
  /** Revision up to which those that this daemon sends to have the view: its parent, or those below a root. */
  private sentUpTo = 0;

  /** Revision up to which those below this daemon were sent the view, whoever found the changes. */
  private passedUpTo = 0;

  private isAsking = false;

  /**
   * Makes a feed that has sent nothing.
   * @param options - The view and the peers.
   */
  constructor(private readonly options: ViewFeedOptions) {}

  /**
   * Tells how fresh this daemon's view is.
   * @param clock - Time of telling it; see {@link ViewAge.clock}.
   */
  age(clock: number | undefined): ViewAge {
    const { view } = this.options;
    return { upTo: view.upTo, ageMs: Number.isFinite(view.ageMs) ? Math.ceil(view.ageMs) : -1, clock };
  }

  /**
   * Takes the changes out that have not been sent.
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
   * Takes the changes out that have not been sent to those below.
   * @returns The changes, or undefined when there are none.
   */
  takeUnpassed(): Delta | undefined {
    const { view } = this.options;
    if (view.upTo <= this.passedUpTo) return undefined;
    const delta = view.deltaSince(this.passedUpTo);
    this.passedUpTo = view.upTo;
    return delta;
  }

  /**
   * Notes that those below were sent the view.
   * @param upTo - Up to this revision.
   */
  notePassed(upTo: number): void {
    this.passedUpTo = Math.max(this.passedUpTo, upTo);
  }

  /**
   * Notes that those that this daemon sends to have the view.
   * @param upTo - Up to this revision.
   */
  noteSent(upTo: number): void {
    this.sentUpTo = upTo;
  }

  /**
   * Takes what came with a batch from below.
   * @param batch - The batch.
   * @param onWayMs - How long it was on its way, in milliseconds.
   * @returns Whether the view is newer for it.
   */
  takeFromBelow(batch: Batch, onWayMs: number): boolean {
    const { upTo } = this.options.view;
    this.take(batch, onWayMs, undefined);
    return this.options.view.upTo > upTo;
  }

  /**
   * Takes what came with a batch from the parent, and asks it for what is missing before.
   * @param batch - The batch.
   * @param onWayMs - How long it was on its way, in milliseconds.
   * @param parent - Who sent it.
   */
  takeFromAbove(batch: Batch, onWayMs: number, parent: string): void {
    this.sentUpTo = Math.max(this.sentUpTo, batch.upTo);
    this.take(batch, onWayMs, parent);
  }

  private take({ delta, upTo, ageMs }: Batch, onWayMs: number, source: string | undefined): void {
    const { view } = this.options;
    const isTaken = delta === undefined || view.apply(delta);
    if (source !== undefined && (!isTaken || upTo > view.upTo)) void this.ask(source);
    if (ageMs >= 0) view.confirmUpToDate(upTo, ageMs + onWayMs);
  }

  private async ask(source: string): Promise<void> {
    const { cluster, view, log } = this.options;
    if (this.isAsking) return;
    this.isAsking = true;
    try {
      const delta = await cluster.request(source, MessageType.ViewChanges, view.upTo, ASK_TIMEOUT_MS);
      view.apply(delta as Delta);
    } catch (err) {
      log.debug(`No changes of the view from ${source}: ${String(err)}.`);
    } finally {
      this.isAsking = false;
    }
  }
}
