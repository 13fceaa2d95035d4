/**
 * Hand-over of buckets. Only a term's home decides who comes next, or its backup once the home is gone; the old
 * pair is bound before the next one is told. So there is never more than one pair that can admit a key.
 */
import { v4 as makeId } from 'uuid';

import type { BucketState, Handover } from './bucket.js';
import { isMember, isSameTerm, membersOf } from './bucket.js';
import { isSameKeeper } from './daemon-tracker.js';
import type { CustodyContext } from './context.js';
import { pairOf } from './rendezvous.js';
import type { CustodyTerm, KeeperRef } from './types.js';
import type { CedeMessage, TakeMessage } from './wire.js';
import { CEDE, HAS, TAKE } from './wire.js';

/**
 * Begins a term of which this daemon is a member.
 * @param state - The bucket's state.
 * @param term - The term.
 */
export function hold(state: BucketState, term: CustodyTerm): void {
  const held = state;
  held.term = term;
  held.epoch = term.epoch;
  held.passedTo = undefined;
  held.promise = undefined;
  held.incoming = undefined;
}

/** Moves buckets from pair to pair. */
export class HandoverDesk {
  constructor(private readonly context: CustodyContext) {}

  /** Whether there is something to do for a bucket. */
  isDue(state: BucketState): boolean {
    const { handover } = state;
    if (handover !== undefined) return !handover.isDeputy || this.isOldHomeGone(handover);
    return state.term !== undefined && this.findNext(state.term) !== undefined;
  }

  /** Works on one bucket: decides, binds the old pair, and tells the next one. */
  async work(state: BucketState): Promise<void> {
    if (state.handover === undefined) this.decide(state);
    const { handover } = state;
    if (handover === undefined) return;
    if (!handover.isFenced && !(await this.bindBackup(handover))) return;
    this.adopt(state, handover);
    await this.deliver(handover);
    if (handover.pending.size === 0) this.finish(state, handover);
  }

  /** Serves `custody.cede`. */
  cede({ term, next, isDelivered }: CedeMessage): boolean {
    const state = this.context.state(term.bucket);
    const { handover } = state;
    if (handover !== undefined && isSameTerm(handover.next, next)) {
      if (isDelivered) this.finish(state, handover);
      return true;
    }
    // A member that only makes sure that its partner has the term is not bound to any other decision.
    const isFree = handover === undefined || isSameTerm(handover.next, state.term);
    if (!isFree || !isSameTerm(state.term, term)) return false;
    if (this.context.keepers.isGone(term.home)) return false;
    state.handover = { from: term, next, isFenced: true, isDeputy: true, pending: membersOf(next) };
    return true;
  }

  /** Serves `custody.take`. */
  take({ next, transfer, part, parts, cargo }: TakeMessage): boolean {
    const state = this.context.state(next.bucket);
    if (!isMember(next, this.context.keepers.self)) return false;
    if (this.has(next)) return true;
    if (state.incoming?.transfer !== transfer) {
      // Records of a term that this daemon is still in are part of what comes; older ones are not.
      if (state.term === undefined) this.context.cargo().drop(next.bucket);
      state.incoming = { next, transfer, parts: new Set() };
    }
    this.context.cargo().unpack(next.bucket, cargo);
    state.incoming.parts.add(part);
    if (state.incoming.parts.size < parts) return true;
    hold(state, next);
    // Whatever this daemon was bound to before has been carried out, or this term would not have come. The daemon
    // that sent it may be lost before the partner has it, so this one makes sure.
    state.handover = {
      from: undefined,
      next,
      isFenced: true,
      isDeputy: false,
      pending: this.partnerOf(next),
    };
    return true;
  }

  /** Serves `custody.has`. */
  has(term: CustodyTerm): boolean {
    if (!isMember(term, this.context.keepers.self)) return false;
    const state = this.context.state(term.bucket);
    return (
      isSameTerm(state.term, term) || (term.epoch <= state.epoch && !isSameTerm(state.handover?.next, term))
    );
  }

  private decide(state: BucketState): void {
    const { term } = state;
    const next = term === undefined ? undefined : this.findNext(term);
    if (term === undefined || next === undefined) return;
    const held = state;
    const isHome = isSameKeeper(term.home, this.context.keepers.self);
    held.handover = { from: term, next, isFenced: !isHome, isDeputy: false, pending: membersOf(next) };
  }

  private findNext(term: CustodyTerm): CustodyTerm | undefined {
    const { keepers } = this.context;
    if (!keepers.mayAct()) return undefined;
    const isHome = isSameKeeper(term.home, keepers.self);
    if (!isHome && !keepers.isGone(term.home)) return undefined;
    const pair = pairOf(term.bucket, keepers.candidates(!this.context.isLeaving()));
    if (pair === undefined) return undefined;
    const isSamePair = isSameKeeper(pair.home.ref, term.home) && isSameKeeper(pair.backup.ref, term.backup);
    if (isSamePair) return undefined;
    if (isHome && !this.canBind(term)) return undefined;
    const { bucket, knownSince } = term;
    return { bucket, epoch: term.epoch + 1, home: pair.home.ref, backup: pair.backup.ref, knownSince };
  }

  private canBind({ backup }: CustodyTerm): boolean {
    const { keepers, options } = this.context;
    return keepers.isGone(backup) || options.membership.isReachable(backup.name);
  }

  private isOldHomeGone({ from }: Handover): boolean {
    return from !== undefined && this.context.keepers.isGone(from.home);
  }

  private async bindBackup(handover: Handover): Promise<boolean> {
    const { from, next } = handover;
    const bound = handover;
    if (from === undefined || this.context.keepers.isGone(from.backup)) {
      bound.isFenced = true;
      return true;
    }
    const { name } = from.backup;
    bound.isFenced = await this.context.call(name, CEDE, { term: from, next, isDelivered: false });
    return bound.isFenced;
  }

  private adopt(state: BucketState, handover: Handover): void {
    const { self } = this.context.keepers;
    if (!handover.pending.has(self.name) || !isMember(handover.next, self)) return;
    handover.pending.delete(self.name);
    if (handover.next.epoch > state.epoch) hold(state, handover.next);
  }

  private async deliver(handover: Handover): Promise<void> {
    const { keepers } = this.context;
    const tasks = [...handover.pending.values()].map(async (ref) => {
      const isDone = keepers.isGone(ref) || (await this.send(ref.name, handover.next));
      if (isDone) handover.pending.delete(ref.name);
    });
    await Promise.all(tasks);
  }

  private partnerOf(term: CustodyTerm): Map<string, KeeperRef> {
    const members = membersOf(term);
    members.delete(this.context.keepers.self.name);
    return members;
  }

  private async send(peer: string, next: CustodyTerm): Promise<boolean> {
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
    const finished = state;
    if (finished.handover !== handover) return;
    finished.handover = undefined;
    const { from, next, isDeputy } = handover;
    this.tellDeputy(handover);
    if (isMember(next, this.context.keepers.self)) return;
    if (isDeputy && !isSameTerm(finished.term, from)) return;
    finished.term = undefined;
    finished.epoch = Math.max(finished.epoch, next.epoch);
    finished.passedTo = next;
    this.context.cargo().drop(next.bucket);
  }

  private tellDeputy({ from, next, isDeputy }: Handover): void {
    const { keepers } = this.context;
    if (from === undefined || isDeputy || isMember(next, from.backup)) return;
    if (isSameKeeper(from.backup, keepers.self) || keepers.isGone(from.backup)) return;
    void this.context.call(from.backup.name, CEDE, { term: from, next, isDelivered: true });
  }
}
