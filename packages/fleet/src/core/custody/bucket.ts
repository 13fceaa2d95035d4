/** What one daemon holds, has handed over or has promised of one bucket. */
import { isSameKeeper } from './daemon-tracker.js';
import type { CustodyTerm, KeeperRef } from './types.js';

/** A hand-over that is decided and can't be taken back. */
export interface Handover {
  /** The term that ends. */
  readonly from: CustodyTerm | undefined;
  readonly next: CustodyTerm;
  /** Whether the other member of the old pair is bound by the decision, or gone. */
  isFenced: boolean;
  /** Whether this daemon only stands in for the old home, should that be gone. */
  readonly isDeputy: boolean;
  /** Members of the next pair that do not have the bucket yet. */
  readonly pending: Map<string, KeeperRef>;
}

/** A promise to a claimant. */
export interface BucketPromise {
  readonly claimant: KeeperRef;
  readonly nonce: number;
}

/** Parts of a hand-over that have come in. */
export interface Incoming {
  readonly next: CustodyTerm;
  readonly transfer: string;
  readonly parts: Set<number>;
}

/** State of one bucket. */
export interface BucketState {
  /** Greatest epoch that this daemon has held or handed over. */
  epoch: number;
  term: CustodyTerm | undefined;
  handover: Handover | undefined;
  /** The term that this daemon handed over to last, while it holds none. */
  passedTo: CustodyTerm | undefined;
  promise: BucketPromise | undefined;
  incoming: Incoming | undefined;
}

/**
 * Makes the state of a bucket of which nothing is known.
 * @returns The state.
 */
export function createBucketState(): BucketState {
  return {
    epoch: 0,
    term: undefined,
    handover: undefined,
    passedTo: undefined,
    promise: undefined,
    incoming: undefined,
  };
}

/**
 * Compares two terms.
 * @param left - One of them.
 * @param right - The other.
 * @returns Whether they are the same stretch of custody by the same pair.
 */
export function isSameTerm(left: CustodyTerm | undefined, right: CustodyTerm | undefined): boolean {
  return (
    left !== undefined &&
    right !== undefined &&
    left.bucket === right.bucket &&
    left.epoch === right.epoch &&
    isSameKeeper(left.home, right.home) &&
    isSameKeeper(left.backup, right.backup)
  );
}

/**
 * Tells whether a daemon belongs to a term's pair.
 * @param term - The term.
 * @param ref - The daemon.
 * @returns Whether it is the home or the backup.
 */
export function isMember(term: CustodyTerm, ref: KeeperRef): boolean {
  return isSameKeeper(term.home, ref) || isSameKeeper(term.backup, ref);
}

/**
 * Lists the members of a term's pair by name.
 * @param term - The term.
 * @returns Home and backup.
 */
export function membersOf(term: CustodyTerm): Map<string, KeeperRef> {
  return new Map([term.home, term.backup].map((ref) => [ref.name, ref]));
}

/**
 * Finds the term that this daemon answers for. A deputy that is bound to a decision answers for none: the old home
 * or the next pair does, and a claimant is told of that pair.
 * @param state - State of the bucket.
 * @returns The term that is held or being handed over, if any.
 */
export function standingTerm({ term, handover }: BucketState): CustodyTerm | undefined {
  if (handover === undefined) return term;
  return handover.isDeputy ? undefined : handover.next;
}
