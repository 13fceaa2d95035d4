/**
 * Claims of buckets that nobody keeps: at the fleet's first start, or when both members of a pair were lost.
 * A claimant needs the promise of every daemon that may hold something; one that can't be asked stops it.
 */
import { CeleryyokeError } from '@celeryyoke/core';

import type { BucketState } from './bucket.js';
import { standingTerm } from './bucket.js';
import type { CustodyContext } from './context.js';
import { hold } from './handover.js';
import { isSameKeeper } from './daemon-tracker.js';
import { outranks, pairOf } from './rendezvous.js';
import type { CustodyTerm, KeeperRef } from './types.js';
import type { CheckMessage, ClaimAnswer, ClaimMessage, ClaimPromise } from './wire.js';
import { CHECK, CLAIM } from './wire.js';

const DEFAULT_CALL_TIMEOUT_MS = 500;

type Answers = ReadonlyMap<string, ClaimAnswer | undefined>;

function describe(bucket: number, { epoch, passedTo, handover }: BucketState): ClaimPromise {
  return { bucket, epoch, passedTo: handover?.next ?? passedTo };
}

/** Makes claims, and answers those of others. */
export class ClaimDesk {
  private nonce = 0;

  constructor(private readonly context: CustodyContext) {}

  /** Serves `custody.claim`. */
  answer({ claimant, nonce, buckets }: ClaimMessage): ClaimAnswer {
    const { keepers } = this.context;
    const promised: ClaimPromise[] = [];
    const held: CustodyTerm[] = [];
    for (const bucket of keepers.isGone(claimant) ? [] : buckets) {
      const state = this.context.state(bucket);
      const term = standingTerm(state);
      if (term !== undefined) held.push(term);
      else if (this.promise(bucket, state, claimant, nonce)) promised.push(describe(bucket, state));
    }
    return { promised, held, knows: [...keepers.possible()] };
  }

  /** Serves `custody.check`. */
  isClaiming({ bucket, nonce }: CheckMessage): boolean {
    const { promise } = this.context.state(bucket);
    return (
      promise !== undefined &&
      promise.nonce === nonce &&
      isSameKeeper(promise.claimant, this.context.keepers.self)
    );
  }

  /** Claims buckets; those that all daemons promise are held from then on. */
  async claim(wanted: readonly number[]): Promise<void> {
    const { keepers } = this.context;
    if (wanted.length === 0 || !keepers.mayAct() || !this.canAskAll()) return;
    this.nonce += 1;
    const { nonce } = this;
    const claimant = keepers.self;
    const buckets = wanted.filter((bucket) => {
      const state = this.context.state(bucket);
      return standingTerm(state) === undefined && this.promise(bucket, state, claimant, nonce);
    });
    const asked = keepers.possible();
    asked.delete(claimant.name);
    const message = { claimant, nonce, buckets };
    const answers: Answers = new Map(
      await Promise.all([...asked].map(async (peer) => [peer, await this.ask(peer, message)] as const)),
    );
    for (const bucket of buckets) {
      const promises = this.collect(bucket, answers);
      if (promises !== undefined && this.isWon(bucket, nonce, promises)) this.found(bucket, promises);
      this.withdraw(bucket, nonce);
    }
  }

  private promise(bucket: number, state: BucketState, claimant: KeeperRef, nonce: number): boolean {
    const { keepers } = this.context;
    const { promise } = state;
    const promising = state;
    if (
      promise !== undefined &&
      !isSameKeeper(promise.claimant, claimant) &&
      !keepers.isGone(promise.claimant)
    ) {
      const isOwn = isSameKeeper(promise.claimant, keepers.self);
      if (!isOwn) void this.check(bucket, state);
      if (!isOwn || !outranks(bucket, claimant.name, keepers.self.name)) return false;
    }
    promising.promise = { claimant, nonce };
    return true;
  }

  /** Drops a promise whose claim has ended. */
  private async check(bucket: number, state: BucketState): Promise<void> {
    const { promise } = state;
    if (promise === undefined) return;
    const { bus } = this.context.options;
    const { claimant, nonce } = promise;
    const timeoutMs = this.context.options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
    try {
      const isGoingOn = await bus.call(claimant.name, CHECK, { bucket, nonce }, { timeoutMs });
      const checked = state;
      if (!isGoingOn && checked.promise === promise) checked.promise = undefined;
    } catch (err) {
      if (!(err instanceof CeleryyokeError)) throw err;
    }
  }

  private async ask(peer: string, message: ClaimMessage): Promise<ClaimAnswer | undefined> {
    const { bus, callTimeoutMs: timeoutMs = DEFAULT_CALL_TIMEOUT_MS } = this.context.options;
    try {
      return await bus.call(peer, CLAIM, message, { timeoutMs });
    } catch {
      return undefined;
    }
  }

  /** Promises of all daemons for a bucket, this one included; undefined when one is missing. */
  private collect(bucket: number, answers: Answers): Map<string, ClaimPromise> | undefined {
    const { keepers } = this.context;
    const promises = new Map([[keepers.self.name, describe(bucket, this.context.state(bucket))]]);
    for (const [peer, answer] of answers) {
      for (const name of answer?.knows ?? []) keepers.learn(name);
      const promise = answer?.promised.find((entry) => entry.bucket === bucket);
      if (promise !== undefined) promises.set(peer, promise);
    }
    const isComplete = [...keepers.possible()].every((name) => promises.has(name));
    return isComplete && promises.size > answers.size ? promises : undefined;
  }

  private isWon(bucket: number, nonce: number, promises: ReadonlyMap<string, ClaimPromise>): boolean {
    const { keepers } = this.context;
    const isFree =
      standingTerm(this.context.state(bucket)) === undefined && this.isClaiming({ bucket, nonce });
    const isEnded = [...promises.values()].every(({ passedTo }) => this.isEnded(passedTo, promises));
    return isFree && isEnded && keepers.mayAct();
  }

  /** Whether each member of a pair that took a bucket over is gone, or has said that it no longer keeps it. */
  private isEnded(term: CustodyTerm | undefined, promises: ReadonlyMap<string, ClaimPromise>): boolean {
    if (term === undefined) return true;
    return [term.home, term.backup].every((ref) => {
      const promise = promises.get(ref.name);
      return this.context.keepers.isGone(ref) || (promise !== undefined && promise.epoch >= term.epoch);
    });
  }

  private found(bucket: number, promises: ReadonlyMap<string, ClaimPromise>): void {
    const { keepers, options } = this.context;
    const state = this.context.state(bucket);
    const pair = pairOf(bucket, keepers.candidates(true));
    if (pair === undefined) return;
    const other = pair.home.name === keepers.self.name ? pair.backup.ref : pair.home.ref;
    const epoch = Math.max(...[...promises.values()].map((promise) => promise.epoch)) + 1;
    const next = { bucket, epoch, home: keepers.self, backup: other, knownSince: options.timers.wall() };
    this.context.cargo().drop(bucket);
    hold(state, next);
    const pending = new Map([[other.name, other]]);
    state.handover = { from: undefined, next, isFenced: true, isDeputy: false, pending };
  }

  private canAskAll(): boolean {
    const { keepers, options } = this.context;
    const isReachable = (name: string): boolean =>
      name === keepers.self.name || options.membership.isReachable(name);
    return [...keepers.possible()].every(isReachable);
  }

  private withdraw(bucket: number, nonce: number): void {
    if (this.isClaiming({ bucket, nonce })) this.context.state(bucket).promise = undefined;
  }
}
