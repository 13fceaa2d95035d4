/** State of a bucket on one daemon: the term it holds, a handover in progress, and promises to claimants. */
import { isSameDaemon } from './daemon-tracker.js';
import type { CustodyTerm, DaemonRef } from './types.js';

/** A handover that has been decided and can't be revoked. */
export interface Handover {
  /** The term that ends; undefined if this daemon only makes sure that its partner has the next one. */
  readonly from: CustodyTerm | undefined;
  readonly next: CustodyTerm;
  /** Whether the other member of the old pair has accepted the decision or is gone. */
  isFenced: boolean;
  /** Whether this daemon is the old backup and completes the handover only if the old home is gone. */
  readonly isStandby: boolean;
  /** Members of the next pair that have not received the bucket yet. */
  readonly pending: Map<string, DaemonRef>;
}

/** A promise to let no other daemon claim the bucket. */
export interface BucketPromise {
  readonly claimant: DaemonRef;
  readonly nonce: number;
}

/** Parts of a transfer received so far. */
export interface Incoming {
  readonly next: CustodyTerm;
  readonly transfer: string;
  readonly parts: Set<number>;
}

export interface BucketState {
  /** Greatest epoch of a term that this daemon has held or handed over. */
  epoch: number;
  term: CustodyTerm | undefined;
  handover: Handover | undefined;
  /** The last term that this daemon handed over to, while it holds none. */
  passedTo: CustodyTerm | undefined;
  promise: BucketPromise | undefined;
  incoming: Incoming | undefined;
}

/** Creates the state of a bucket of which nothing is known. */
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

/** Whether two terms have the same bucket, epoch and pair; false if one is undefined. */
export function isSameTerm(left: CustodyTerm | undefined, right: CustodyTerm | undefined): boolean {
  return (
    left !== undefined &&
    right !== undefined &&
    left.bucket === right.bucket &&
    left.epoch === right.epoch &&
    isSameDaemon(left.home, right.home) &&
    isSameDaemon(left.backup, right.backup)
  );
}

/** Whether a daemon is the home or the backup of a term. */
export function isMember(term: CustodyTerm, ref: DaemonRef): boolean {
  return isSameDaemon(term.home, ref) || isSameDaemon(term.backup, ref);
}

/** Returns the home and the backup of a term by name. */
export function membersOf(term: CustodyTerm): Map<string, DaemonRef> {
  return new Map([term.home, term.backup].map((ref) => [ref.name, ref]));
}

/**
 * Returns the term that this daemon reports against a claim: the one it holds or hands over to. A standby
 * reports none, since the old home or the next pair does; its promise names that pair instead.
 */
export function standingTerm({ term, handover }: BucketState): CustodyTerm | undefined {
  if (handover === undefined) return term;
  return handover.isStandby ? undefined : handover.next;
}
