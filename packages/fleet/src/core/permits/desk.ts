/** An engine owner's access to permits: tells the store's owner what is wanted, or uses its own share. */
import type { TimerHandle } from '@celeryyoke/core';
import type { EngineOffer, LoadWant } from '@celeryyoke/placement';
import { PermitOutcome } from '@celeryyoke/placement';

import type { PeerIdentity } from '../peers/index.js';
import type { PermitGrant, PermitRequestAnswer } from './messages.js';
import { PERMIT_DONE, PERMIT_GRANT, PERMIT_REDIRECT, PERMIT_REQUEST, toWireOffer } from './messages.js';
import { StoreShares } from './shares.js';
import type { GrantedPermit, PermitDesk, PermitOwnersOptions, PermitTimes, PermitUser } from './types.js';
import { storeResource } from './types.js';

/** Clocks of two hosts may run apart by this share. */
const CLOCK_DRIFT = 0.01;

/** What an engine of this daemon wants of its store. */
class DeskEngine {
  offer: EngineOffer | undefined;

  /** The permit that it uses. */
  private using: GrantedPermit | undefined;

  constructor(
    readonly store: string,
    private readonly user: PermitUser,
  ) {}

  get isLoading(): boolean {
    return this.using !== undefined;
  }

  /** Uses a permit, if none is in use and the engine's owner still wants it. */
  use(permit: GrantedPermit): boolean {
    if (this.using !== undefined) return false;
    this.using = permit;
    if (this.user.permit(permit)) return true;
    this.using = undefined;
    return false;
  }

  /** Ends the use of a permit. */
  done(permit: GrantedPermit): void {
    if (this.using === permit) this.using = undefined;
  }

  /** Redirects the requests that wait for a key. */
  redirect(key: string, to: string): void {
    this.user.redirect(key, to);
  }
}

/** One store as this daemon sees it. */
interface DeskStore {
  shares: StoreShares;
  /** Until when the store's owner may use the shares of this daemon's engines. */
  lentUntil: number;
  /** The owner's last time stamp, and who gave it. */
  proof: { readonly owner: string; readonly at: number } | undefined;
  gather: TimerHandle | undefined;
}

/** The desk of one daemon. */
export class Desk implements PermitDesk {
  private readonly engines = new Map<string, DeskEngine>();

  private readonly stores = new Map<string, DeskStore>();

  /** For each store, the last time slot in which this daemon used its own share. */
  private readonly usedSlots = new Map<string, number>();

  private ticker: TimerHandle | undefined;

  private isStopped = false;

  private unsubscribe: (() => void) | undefined;

  private readonly startedAt: number;

  constructor(
    private readonly options: PermitOwnersOptions,
    private readonly times: PermitTimes,
  ) {
    this.startedAt = options.timers.now();
  }

  /** Begins to tell. */
  start(): void {
    const { bus, timers, config } = this.options;
    bus.handle(PERMIT_GRANT, async (input, from) => this.granted(input, from));
    bus.handle(PERMIT_REDIRECT, async ({ engine, key, to }) => {
      this.engines.get(engine)?.redirect(key, to);
      return null;
    });
    this.unsubscribe = config.subscribe(() => {
      for (const [name, entry] of this.stores) entry.shares = this.shares(name);
    });
    this.ticker = timers.repeat(this.times.offerMs, () => {
      for (const store of this.stores.keys()) this.flush(store);
    });
  }

  /** Ends telling. */
  stop(): void {
    this.isStopped = true;
    this.ticker?.cancel();
    this.unsubscribe?.();
    for (const { gather } of this.stores.values()) gather?.cancel();
  }

  serve(engine: string, store: string, user: PermitUser): () => void {
    const entry = new DeskEngine(store, user);
    this.engines.set(engine, entry);
    return () => {
      if (this.engines.get(engine) === entry) this.engines.delete(engine);
    };
  }

  offer(store: string, offer: EngineOffer): void {
    const engine = this.engines.get(offer.engine);
    if (engine === undefined) return;
    const before = engine.offer;
    engine.offer = offer;
    const isNews = offer.wants.length > 0 || before === undefined || before.wants.length > 0;
    if (isNews) this.gather(store);
  }

  done(permit: GrantedPermit, outcome: PermitOutcome): void {
    const { bus, ownership } = this.options;
    for (const engine of this.engines.values()) engine.done(permit);
    const owner = ownership.ownerOf(storeResource(permit.store));
    if (permit.id === undefined || owner === undefined) return;
    const input = { store: permit.store, id: permit.id, outcome };
    // When the message is lost, the next offer tells that the engine loads nothing.
    bus.call(owner, PERMIT_DONE, input, { timeoutMs: this.times.callTimeoutMs }).catch(() => undefined);
  }

  private granted(input: PermitGrant, from: PeerIdentity): boolean {
    const { store, key, id, issuedAt } = input;
    const engine = this.engines.get(input.engine);
    const proof = this.stores.get(store)?.proof;
    if (engine === undefined || proof === undefined || proof.owner !== Desk.nameOf(from)) return false;
    // The owner may have given up on a grant that comes late and granted another.
    if (issuedAt + this.times.callTimeoutMs < proof.at) return false;
    return engine.use({ store, key, id });
  }

  private static nameOf(owner: PeerIdentity): string {
    return `${owner.name}#${owner.incarnation}`;
  }

  /** Sends soon, so that changes that come together go in one message. */
  private gather(store: string): void {
    this.flushAfter(store, this.times.gatherMs);
  }

  private flushAfter(name: string, ms: number): void {
    const entry = this.store(name);
    entry.gather ??= this.options.timers.after(ms, () => {
      entry.gather = undefined;
      this.flush(name);
    });
  }

  private store(name: string): DeskStore {
    let entry = this.stores.get(name);
    if (entry === undefined) {
      // A process that ran here before may have lent its shares just before it ended.
      const lentUntil = this.startedAt + this.times.shareMs * (1 + CLOCK_DRIFT);
      const shares = this.shares(name);
      entry = { shares, lentUntil, proof: undefined, gather: undefined };
      this.stores.set(name, entry);
    }
    return entry;
  }

  private shares(name: string): StoreShares {
    const { stores = [], engines = [] } = this.options.config.current()?.config ?? {};
    const loadsPerSecond = stores.find((store) => store.name === name)?.loadsPerSecond ?? 1;
    const users = engines.filter((engine) => engine.store === name).map((engine) => engine.name);
    return new StoreShares({ loadsPerSecond, engines: users, clockErrorMs: this.times.clockErrorMs });
  }

  /** Tells the store's owner what this daemon's engines want; uses their own shares when it can't be told. */
  private flush(name: string): void {
    if (this.isStopped) return;
    const { bus, ownership, timers } = this.options;
    const offers = [...this.engines.values()].filter(
      (engine) => engine.store === name && engine.offer !== undefined,
    );
    if (offers.length === 0) return;
    const entry = this.store(name);
    const now = timers.now();
    const owner = ownership.ownerOf(storeResource(name));
    if (owner !== undefined) {
      const proof = entry.proof?.owner.startsWith(`${owner}#`) ? entry.proof.at : null;
      if (proof !== null)
        entry.lentUntil = Math.max(entry.lentUntil, now + this.times.shareMs * (1 + CLOCK_DRIFT));
      const wire = offers.map((engine) => toWireOffer(engine.offer!, engine.isLoading, now));
      const call = bus.call(
        owner,
        PERMIT_REQUEST,
        { store: name, offers: wire, proof },
        { timeoutMs: this.times.callTimeoutMs },
      );
      call.then(
        (answer) => this.answered(name, answer),
        () => this.unanswered(name),
      );
    }
    this.useOwnShare(name, entry);
  }

  private answered(name: string, answer: PermitRequestAnswer): void {
    if (!answer.accepted) {
      this.unanswered(name);
      return;
    }
    const entry = this.stores.get(name);
    if (entry === undefined) return;
    const isFirst = entry.proof?.owner !== answer.owner;
    if (isFirst || entry.proof!.at < answer.proof) entry.proof = { owner: answer.owner, at: answer.proof };
    if (isFirst) this.flush(name);
  }

  /** Lends no more shares until the store's owner answers again. */
  private unanswered(name: string): void {
    const entry = this.stores.get(name);
    if (entry !== undefined) entry.proof = undefined;
  }

  /** Begins a load in a time slot of one of this daemon's engines, once nobody else may use the slot. */
  private useOwnShare(name: string, entry: DeskStore): void {
    const { timers, policy } = this.options;
    const now = timers.now();
    if (now <= entry.lentUntil) return;
    const open = entry.shares.open(timers.wall());
    const engine = open && this.engines.get(open.engine);
    if (open !== undefined && engine !== undefined && this.usedSlots.get(name) !== open.slot) {
      const wants = engine.offer?.room === undefined ? [] : engine.offer.wants;
      const want: LoadWant | undefined = policy.nextLoad(wants, now);
      const isUsed = want !== undefined && engine.use({ store: name, key: want.key, id: undefined });
      if (isUsed) this.usedSlots.set(name, open.slot);
    }
    this.flushAfter(name, entry.shares.untilNext(timers.wall()));
  }
}
