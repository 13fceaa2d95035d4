/**
 * Claims of buckets that no daemon holds: at the first start of the fleet, or after both members of a pair
 * were lost. A claimant needs a promise from every daemon that may hold a bucket; one that can't be reached
 * blocks the claim.
 */
import { CeleryyokeError } from '@celeryyoke/core';

import type { BucketState } from './bucket.js';
import { standingTerm } from './bucket.js';
import type { CustodyContext } from './context.js';
import { startTerm } from './handover.js';
import { isSameDaemon } from './daemon-tracker.js';
import { outranks, pairOf } from './rendezvous.js';
import type { CustodyTerm, DaemonRef } from './types.js';
import type { CheckMessage, ClaimResponse, ClaimMessage, ClaimPromise } from './wire.js';
import { CHECK, CLAIM } from './wire.js';

const DEFAULT_CALL_TIMEOUT_MS = 500;

type ClaimResponses = ReadonlyMap<string, ClaimResponse | undefined>;

function describePromise(bucket: number, { epoch, passedTo, handover }: BucketState): ClaimPromise {
  return { bucket, epoch, passedTo: handover?.next ?? passedTo };
}

/** Claims buckets for this daemon and responds to the claims of others. */
export class ClaimCoordinator {
  private nonce = 0;

  constructor(private readonly context: CustodyContext) {}

  /** Serves `custody.claim`. */
  handleClaim({ claimant, nonce, buckets }: ClaimMessage): ClaimResponse {
    const { daemons } = this.context;
    const promised: ClaimPromise[] = [];
    const held: CustodyTerm[] = [];
    for (const bucket of daemons.isGone(claimant) ? [] : buckets) {
      const state = this.context.state(bucket);
      const term = standingTerm(state);
      if (term !== undefined) held.push(term);
      else if (this.tryPromise(bucket, state, claimant, nonce)) promised.push(describePromise(bucket, state));
    }
    return { promised, held, knows: [...daemons.possibleDaemons()] };
  }

  /** Serves `custody.check`. */
  isClaiming({ bucket, nonce }: CheckMessage): boolean {
    const { promise } = this.context.state(bucket);
    return (
      promise !== undefined &&
      promise.nonce === nonce &&
      isSameDaemon(promise.claimant, this.context.daemons.self)
    );
  }

  /** Claims buckets, and starts a term for each that every daemon has promised. */
  async claimBuckets(unheldBuckets: readonly number[]): Promise<void> {
    const { daemons } = this.context;
    if (unheldBuckets.length === 0 || !daemons.mayAct() || !this.areAllReachable()) return;
    this.nonce += 1;
    const { nonce } = this;
    const claimant = daemons.self;
    const buckets = unheldBuckets.filter((bucket) => {
      const state = this.context.state(bucket);
      return standingTerm(state) === undefined && this.tryPromise(bucket, state, claimant, nonce);
    });
    const peers = daemons.possibleDaemons();
    peers.delete(claimant.name);
    const message = { claimant, nonce, buckets };
    const responses: ClaimResponses = new Map(
      await Promise.all(
        [...peers].map(async (peer) => [peer, await this.requestPromises(peer, message)] as const),
      ),
    );
    for (const bucket of buckets) {
      const promises = this.collectPromises(bucket, responses);
      if (promises !== undefined && this.canStartTerm(bucket, nonce, promises))
        this.startTerm(bucket, promises);
      this.withdrawPromise(bucket, nonce);
    }
  }

  private tryPromise(bucket: number, state: BucketState, claimant: DaemonRef, nonce: number): boolean {
    const { daemons } = this.context;
    const { promise } = state;
    const promising = state;
    if (
      promise !== undefined &&
      !isSameDaemon(promise.claimant, claimant) &&
      !daemons.isGone(promise.claimant)
    ) {
      const isOwn = isSameDaemon(promise.claimant, daemons.self);
      if (!isOwn) void this.dropIfClaimEnded(bucket, state);
      if (!isOwn || !outranks(bucket, claimant.name, daemons.self.name)) return false;
    }
    promising.promise = { claimant, nonce };
    return true;
  }

  /** Asks the claimant whether its claim is still in progress, and drops the promise if it is not. */
  private async dropIfClaimEnded(bucket: number, state: BucketState): Promise<void> {
    const { promise } = state;
    if (promise === undefined) return;
    const { bus } = this.context.options;
    const { claimant, nonce } = promise;
    const timeoutMs = this.context.options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
    try {
      const isInProgress = await bus.call(claimant.name, CHECK, { bucket, nonce }, { timeoutMs });
      const checked = state;
      if (!isInProgress && checked.promise === promise) checked.promise = undefined;
    } catch (err) {
      if (!(err instanceof CeleryyokeError)) throw err;
    }
  }

  private async requestPromises(peer: string, message: ClaimMessage): Promise<ClaimResponse | undefined> {
    const { bus, callTimeoutMs: timeoutMs = DEFAULT_CALL_TIMEOUT_MS } = this.context.options;
    try {
      return await bus.call(peer, CLAIM, message, { timeoutMs });
    } catch {
      return undefined;
    }
  }

  /** Returns the promises of all daemons for a bucket, this one included; undefined if one is missing. */
  private collectPromises(bucket: number, responses: ClaimResponses): Map<string, ClaimPromise> | undefined {
    const { daemons } = this.context;
    const promises = new Map([[daemons.self.name, describePromise(bucket, this.context.state(bucket))]]);
    for (const [peer, response] of responses) {
      for (const name of response?.knows ?? []) daemons.addDaemon(name);
      const promise = response?.promised.find((entry) => entry.bucket === bucket);
      if (promise !== undefined) promises.set(peer, promise);
    }
    const isComplete = [...daemons.possibleDaemons()].every((name) => promises.has(name));
    return isComplete && promises.size > responses.size ? promises : undefined;
  }

  private canStartTerm(bucket: number, nonce: number, promises: ReadonlyMap<string, ClaimPromise>): boolean {
    const { daemons } = this.context;
    const isFree =
      standingTerm(this.context.state(bucket)) === undefined && this.isClaiming({ bucket, nonce });
    const areTermsEnded = [...promises.values()].every(({ passedTo }) =>
      this.hasTermEnded(passedTo, promises),
    );
    return isFree && areTermsEnded && daemons.mayAct();
  }

  /** Whether each member of a term is gone, or its promise shows that it no longer holds the bucket. */
  private hasTermEnded(term: CustodyTerm | undefined, promises: ReadonlyMap<string, ClaimPromise>): boolean {
    if (term === undefined) return true;
    return [term.home, term.backup].every((ref) => {
      const promise = promises.get(ref.name);
      return this.context.daemons.isGone(ref) || (promise !== undefined && promise.epoch >= term.epoch);
    });
  }

  private startTerm(bucket: number, promises: ReadonlyMap<string, ClaimPromise>): void {
    const { daemons, options } = this.context;
    const state = this.context.state(bucket);
    const pair = pairOf(bucket, daemons.candidates(true));
    if (pair === undefined) return;
    const other = pair.home.name === daemons.self.name ? pair.backup.ref : pair.home.ref;
    const epoch = Math.max(...[...promises.values()].map((promise) => promise.epoch)) + 1;
    const next = { bucket, epoch, home: daemons.self, backup: other, knownSince: options.timers.wall() };
    this.context.cargo().drop(bucket);
    startTerm(state, next);
    const pending = new Map([[other.name, other]]);
    state.handover = { from: undefined, next, isFenced: true, isStandby: false, pending };
  }

  private areAllReachable(): boolean {
    const { daemons, options } = this.context;
    const isReachable = (name: string): boolean =>
      name === daemons.self.name || options.membership.isReachable(name);
    return [...daemons.possibleDaemons()].every(isReachable);
  }

  private withdrawPromise(bucket: number, nonce: number): void {
    if (this.isClaiming({ bucket, nonce })) this.context.state(bucket).promise = undefined;
  }
}
