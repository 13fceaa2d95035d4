/**
 * Handover of buckets. Only the home of a term decides on the next pair, or its backup once the home is gone.
 * The old pair is fenced before the next pair receives the bucket, so at most one pair can admit a key at any
 * time.
 */
import { v4 as makeId } from 'uuid';

import type { BucketState, Handover } from './bucket.js';
import { isMember, isSameTerm, membersOf } from './bucket.js';
import { isSameDaemon } from './daemon-tracker.js';
import type { CustodyContext } from './context.js';
import { pairOf } from './rendezvous.js';
import type { CustodyTerm, DaemonRef } from './types.js';
import type { CedeMessage, TakeMessage } from './wire.js';
import { CEDE, HAS, TAKE } from './wire.js';

/** Starts a term of which this daemon is a member, and clears what belonged to earlier ones. */
export function startTerm(state: BucketState, term: CustodyTerm): void {
  const target = state;
  target.term = term;
  target.epoch = term.epoch;
  target.passedTo = undefined;
  target.promise = undefined;
  target.incoming = undefined;
}

/** Decides on handovers of this daemon's buckets, carries them out, and serves those of other daemons. */
export class HandoverCoordinator {
  constructor(private readonly context: CustodyContext) {}

  /** Whether a handover of the bucket is in progress here or should start. */
  isDue(state: BucketState): boolean {
    const { handover } = state;
    if (handover !== undefined) return !handover.isStandby || this.isOldHomeGone(handover);
    return state.term !== undefined && this.nextTerm(state.term) !== undefined;
  }

  /** Advances the handover of a bucket: decides on it, fences the old pair, and transfers to the next one. */
  async advance(state: BucketState): Promise<void> {
    if (state.handover === undefined) this.startHandover(state);
    const { handover } = state;
    if (handover === undefined) return;
    if (!handover.isFenced && !(await this.fenceBackup(handover))) return;
    this.adoptNextTerm(state, handover);
    await this.transferToPending(handover);
    if (handover.pending.size === 0) this.finish(state, handover);
  }

  /** Serves `custody.cede`. */
  handleCede({ term, next, isDelivered }: CedeMessage): boolean {
    const state = this.context.state(term.bucket);
    const { handover } = state;
    if (handover !== undefined && isSameTerm(handover.next, next)) {
      if (isDelivered) this.finish(state, handover);
      return true;
    }
    // A member that only makes sure that its partner has the term has not accepted any other decision.
    const isFree = handover === undefined || isSameTerm(handover.next, state.term);
    if (!isFree || !isSameTerm(state.term, term)) return false;
    if (this.context.daemons.isGone(term.home)) return false;
    state.handover = { from: term, next, isFenced: true, isStandby: true, pending: membersOf(next) };
    return true;
  }

  /** Serves `custody.take`. */
  handleTake({ next, transfer, part, parts, cargo }: TakeMessage): boolean {
    const state = this.context.state(next.bucket);
    if (!isMember(next, this.context.daemons.self)) return false;
    if (this.hasTerm(next)) return true;
    if (state.incoming?.transfer !== transfer) {
      // While this daemon holds a term, its records are part of the transfer; older records are not.
      if (state.term === undefined) this.context.cargo().drop(next.bucket);
      state.incoming = { next, transfer, parts: new Set() };
    }
    this.context.cargo().unpack(next.bucket, cargo);
    state.incoming.parts.add(part);
    if (state.incoming.parts.size < parts) return true;
    startTerm(state, next);
    // Any decision that this daemon had accepted has been carried out, or this term could not have arrived.
    // The sender may be lost before the partner has the term, so this daemon makes sure that it gets it.
    state.handover = {
      from: undefined,
      next,
      isFenced: true,
      isStandby: false,
      pending: this.partnerOf(next),
    };
    return true;
  }

  /** Serves `custody.has`. */
  hasTerm(term: CustodyTerm): boolean {
    if (!isMember(term, this.context.daemons.self)) return false;
    const state = this.context.state(term.bucket);
    return (
      isSameTerm(state.term, term) || (term.epoch <= state.epoch && !isSameTerm(state.handover?.next, term))
    );
  }

  private startHandover(state: BucketState): void {
    const { term } = state;
    const next = term === undefined ? undefined : this.nextTerm(term);
    if (term === undefined || next === undefined) return;
    const target = state;
    const isHome = isSameDaemon(term.home, this.context.daemons.self);
    target.handover = { from: term, next, isFenced: !isHome, isStandby: false, pending: membersOf(next) };
  }

  private nextTerm(term: CustodyTerm): CustodyTerm | undefined {
    const { daemons } = this.context;
    if (!daemons.mayAct()) return undefined;
    const isHome = isSameDaemon(term.home, daemons.self);
    if (!isHome && !daemons.isGone(term.home)) return undefined;
    const pair = pairOf(term.bucket, daemons.candidates(!this.context.isShuttingDown()));
    if (pair === undefined) return undefined;
    const isSamePair = isSameDaemon(pair.home.ref, term.home) && isSameDaemon(pair.backup.ref, term.backup);
    if (isSamePair) return undefined;
    if (isHome && !this.canFenceBackup(term)) return undefined;
    const { bucket, knownSince } = term;
    return { bucket, epoch: term.epoch + 1, home: pair.home.ref, backup: pair.backup.ref, knownSince };
  }

  private canFenceBackup({ backup }: CustodyTerm): boolean {
    const { daemons, options } = this.context;
    return daemons.isGone(backup) || options.membership.isReachable(backup.name);
  }

  private isOldHomeGone({ from }: Handover): boolean {
    return from !== undefined && this.context.daemons.isGone(from.home);
  }

  private async fenceBackup(handover: Handover): Promise<boolean> {
    const { from, next } = handover;
    const target = handover;
    if (from === undefined || this.context.daemons.isGone(from.backup)) {
      target.isFenced = true;
      return true;
    }
    const { name } = from.backup;
    target.isFenced = await this.context.call(name, CEDE, { term: from, next, isDelivered: false });
    return target.isFenced;
  }

  private adoptNextTerm(state: BucketState, handover: Handover): void {
    const { self } = this.context.daemons;
    if (!handover.pending.has(self.name) || !isMember(handover.next, self)) return;
    handover.pending.delete(self.name);
    if (handover.next.epoch > state.epoch) startTerm(state, handover.next);
  }

  private async transferToPending(handover: Handover): Promise<void> {
    const { daemons } = this.context;
    const tasks = [...handover.pending.values()].map(async (ref) => {
      const isDone = daemons.isGone(ref) || (await this.transferTo(ref.name, handover.next));
      if (isDone) handover.pending.delete(ref.name);
    });
    await Promise.all(tasks);
  }

  private partnerOf(term: CustodyTerm): Map<string, DaemonRef> {
    const members = membersOf(term);
    members.delete(this.context.daemons.self.name);
    return members;
  }

  private async transferTo(peer: string, next: CustodyTerm): Promise<boolean> {
    if (await this.context.call(peer, HAS, next)) return true;
    const cargoes = this.context.cargo().pack(next.bucket);
    const transfer = makeId();
    for (const [part, cargo] of cargoes.entries()) {
      const message = { next, transfer, part, parts: cargoes.length, cargo };
      if (!(await this.context.call(peer, TAKE, message))) return false;
    }
    return true;
  }

  private finish(state: BucketState, handover: Handover): void {
    const target = state;
    if (target.handover !== handover) return;
    target.handover = undefined;
    const { from, next, isStandby } = handover;
    this.notifyStandby(handover);
    if (isMember(next, this.context.daemons.self)) return;
    if (isStandby && !isSameTerm(target.term, from)) return;
    target.term = undefined;
    target.epoch = Math.max(target.epoch, next.epoch);
    target.passedTo = next;
    this.context.cargo().drop(next.bucket);
  }

  private notifyStandby({ from, next, isStandby }: Handover): void {
    const { daemons } = this.context;
    if (from === undefined || isStandby || isMember(next, from.backup)) return;
    if (isSameDaemon(from.backup, daemons.self) || daemons.isGone(from.backup)) return;
    void this.context.call(from.backup.name, CEDE, { term: from, next, isDelivered: true });
  }
}
