/** Messages of the dissemination tree: batches and subscriptions, and the wire format of a batch. */
import type { Delta } from '../view/index.js';
import type { Topic } from './types.js';

/** Encoded rows by topic. */
export type EncodedRows = readonly (readonly [topic: Topic, rows: readonly unknown[]])[];

/** Age of the sender's view of the platform's store. */
export interface ViewAge {
  /** Revision up to which the view is complete. */
  readonly upTo: number;
  /** Sequence that the revision belongs to. */
  readonly epoch: number;
  /**
   * Time from the last confirmation of that to {@link ViewAge.clock}, in milliseconds; below 0 when there was
   * none.
   */
  readonly ageMs: number;
  /**
   * Time of sending on the monotonic clock of the parent, whichever daemon sends; undefined when it is not
   * known.
   */
  readonly clock: number | undefined;
}

/** Rows of the shared state and changes of the platform's view that are sent together. */
export interface Batch extends ViewAge {
  readonly rows: EncodedRows;
  readonly delta: Delta | undefined;
  /** Number of the root's batch, which rises by one; undefined when the batch does not come from the root. */
  readonly rootSequence: number | undefined;
  /** Digest of the members that the root knows; only some of its batches carry it. */
  readonly digest: number | undefined;
}

/** Request to be sent all further batches, with the subscriber's state. */
export interface Subscription {
  /** All rows that the subscriber knows. */
  readonly rows: EncodedRows;
  /** Revision up to which the subscriber's view is complete. */
  readonly upTo: number;
  /** Sequence that the revision belongs to; earlier releases send none. */
  readonly epoch?: number;
}

/** Response to a subscription, with the whole state of the parent. */
export interface SubscriptionResponse extends ViewAge {
  readonly rows: EncodedRows;
  readonly delta: Delta | undefined;
  /** Adapters that were resident on engines recently, the most recent one last. */
  readonly recent: readonly (readonly [replica: string, keys: readonly string[]])[];
}

/** Wire format of a batch. Earlier releases send no clock and no epoch, so they are the last elements. */
type BatchFrame = readonly [
  rows: EncodedRows,
  delta: Delta | null,
  upTo: number,
  ageMs: number,
  rootSequence: number | null,
  digest: number | null,
  clock?: number | null,
  epoch?: number,
];

export function encodeBatch(batch: Batch): BatchFrame {
  const { rows, delta, upTo, ageMs, rootSequence, digest, clock, epoch } = batch;
  return [rows, delta ?? null, upTo, ageMs, rootSequence ?? null, digest ?? null, clock ?? null, epoch];
}

export function decodeBatch(frame: unknown): Batch {
  const [rows, delta, upTo, ageMs, rootSequence, digest, clock, epoch = 0] = frame as BatchFrame;
  return {
    rows,
    delta: delta ?? undefined,
    upTo,
    epoch,
    ageMs,
    clock: clock ?? undefined,
    rootSequence: rootSequence ?? undefined,
    digest: digest ?? undefined,
  };
}
