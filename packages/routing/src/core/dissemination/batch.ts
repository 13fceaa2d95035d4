/** What travels over the tree at once, and its form between daemons. */
import type { Delta } from '../view/index.js';
import type { Topic } from './types.js';

/** Encoded rows by topic. */
export type EncodedRows = readonly (readonly [topic: Topic, rows: readonly unknown[]])[];

/** How fresh the sender's view of the platform is. */
export interface ViewAge {
  /** Revision up to which the view is complete. */
  readonly upTo: number;
  /** How long before {@link ViewAge.clock} that was confirmed, in milliseconds; below 0 when it never was. */
  readonly ageMs: number;
  /** Time of sending on the monotonic clock of whichever of the two daemons is the parent; undefined when it is not known. */
  readonly clock: number | undefined;
}

/** Rows and changes of the platform's view that travel together. */
export interface Batch extends ViewAge {
  readonly rows: EncodedRows;
  readonly delta: Delta | undefined;
  /** Raised by the root with each batch; undefined when the batch is the sender's own sign of life. */
  readonly beat: number | undefined;
  /** Digest of the members that the root knows, now and then. */
  readonly digest: number | undefined;
}

/** Asks to be sent all further batches. */
export interface Subscription {
  readonly rows: EncodedRows;
  /** Revision up to which the subscriber's view is complete. */
  readonly upTo: number;
}

/** Answer to a subscription: the whole state. */
export interface SubscriptionAnswer extends ViewAge {
  readonly rows: EncodedRows;
  readonly delta: Delta | undefined;
  /** Adapters that engines held of late, the latest last. */
  readonly recent: readonly (readonly [replica: string, keys: readonly string[]])[];
}

/** Fields by position. Daemons of earlier releases send no clock, so it is the last one. */
type BatchFrame = readonly [
  rows: EncodedRows,
  delta: Delta | null,
  upTo: number,
  ageMs: number,
  beat: number | null,
  digest: number | null,
  clock?: number | null,
];

/**
 * Encodes a batch.
 * @param batch - The batch.
 * @returns Its compact form.
 */
export function encodeBatch({ rows, delta, upTo, ageMs, clock, beat, digest }: Batch): BatchFrame {
  return [rows, delta ?? null, upTo, ageMs, beat ?? null, digest ?? null, clock ?? null];
}

/**
 * Decodes a batch.
 * @param frame - Its compact form.
 * @returns The batch.
 */
export function decodeBatch(frame: unknown): Batch {
  const [rows, delta, upTo, ageMs, beat, digest, clock] = frame as BatchFrame;
  return {
    rows,
    delta: delta ?? undefined,
    upTo,
    ageMs,
    clock: clock ?? undefined,
    beat: beat ?? undefined,
    digest: digest ?? undefined,
  };
}
