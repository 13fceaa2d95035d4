/** The owner of one weight store: grants loads by value, within the shares of the rate that it has. */
import type { TimerHandle } from '@celeryyoke/core';
import type { StoreConfig } from '@celeryyoke/configuration';
import type { EngineOffer, LoadPermit, LoadQueue } from '@celeryyoke/placement';
import { createLoadQueue, PermitOutcome } from '@celeryyoke/placement';

import { isSufficient } from '../engines/orders.js';
import { Authority } from '../ownership/index.js';
import type { PermitRequest, PermitRequestAnswer, WireOffer } from './messages.js';
import { fromWireOffer, PERMIT_GRANT, PERMIT_REDIRECT } from './messages.js';
import { StoreShares } from './shares.js';
import type { PermitOwnersOptions, PermitTimes } from './types.js';
import { storeResource } from './types.js';

const MS_PER_SECOND = 1000;

/** What is known of an engine that loads from the store. */
interface EngineShare {
  readonly daemon: string;
  /** Until when this owner may use the engine's share, monotonic milliseconds. */
  lentUntil: number;
  /** When its offer came last. */
  heardAt: number;
  loading: boolean;
  offer: EngineOffer;
}

/** A permit that is out. */
interface OutPermit {
  readonly permit: LoadPermit;
  readonly issuedAt: number;
}

/** Options of the owner. */
export interface StoreOwnerOptions extends PermitOwnersOptions {
  readonly store: StoreConfig;
  /** Names of all engines that load from it. */
  readonly engines: readonly string[];
  readonly times: PermitTimes;
}

/** The owner of one store. */
export class StoreOwner {
  private readonly queue: LoadQueue;

  private readonly shares: StoreShares;

  private readonly known = new Map<string, EngineShare>();

  private readonly out = new Map<number, OutPermit>();

  private timer: TimerHandle | undefined;

  private lastSlot = -1;

  private isStopped = false;

  /** When this daemon became able to grant. */
  private since: number | undefined;

  constructor(private readonly options: StoreOwnerOptions) {
    const { store, engines, policy, times } = options;
    const { loadsPerSecond, concurrentLoads } = store;
    this.queue = createLoadQueue({ loadsPerSecond, concurrentLoads, policy, permitMs: times.permitMs });
    this.shares = new StoreShares({ loadsPerSecond, engines, clockErrorMs: times.clockErrorMs });
  }

  /** Takes in what the engines of one daemon want. */
  request(input: PermitRequest, daemon: string): Omit<PermitRequestAnswer, 'owner'> {
    const now = this.options.timers.now();
    if (!this.may()) return { accepted: false, proof: now };
    for (const offer of input.offers) this.take(offer, daemon, input.proof, now);
    this.pump();
    return { accepted: true, proof: now };
  }

  /** Ends a permit. */
  done(id: number, outcome: PermitOutcome): void {
    const out = this.out.get(id);
    if (out === undefined) return;
    this.out.delete(id);
    const share = this.known.get(out.permit.engine);
    if (share !== undefined) share.loading = false;
    const now = this.options.timers.now();
    this.queue.done(id, outcome, now);
    // An engine that could not use a permit gets the next one after its next offer, not at once.
    const isRefused = outcome === PermitOutcome.Unused && share !== undefined;
    if (isRefused) this.queue.offer({ ...share.offer, room: undefined }, now);
    this.pump();
  }

  /** Ends its timer; nothing is granted from now on. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  private may(): boolean {
    const { ownership, store, timers } = this.options;
    const may = isSufficient(ownership.authority(storeResource(store.name)), Authority.Additive);
    if (!may) this.since = undefined;
    else this.since ??= timers.now();
    return may;
  }

  private take(offer: WireOffer, daemon: string, proof: number | null, now: number): void {
    const { times } = this.options;
    const share = this.known.get(offer.engine);
    const isSame = share?.daemon === daemon;
    const lentUntil = proof === null ? -Infinity : proof + times.shareMs;
    const wants = fromWireOffer(offer, now);
    const { loading } = offer;
    const next = isSame ? share : { daemon, lentUntil: -Infinity, heardAt: now, loading, offer: wants };
    next.offer = wants;
    next.lentUntil = Math.max(next.lentUntil, lentUntil);
    next.heardAt = now;
    next.loading = offer.loading;
    this.known.set(offer.engine, next);
    if (!offer.loading && proof !== null) this.endSilent(offer.engine, proof);
    this.queue.offer(wants, now);
  }

  /** Ends permits that an engine no longer uses though the message of their end was lost. */
  private endSilent(engine: string, proof: number): void {
    for (const [id, { permit, issuedAt }] of this.out) {
      const isOver = issuedAt + this.options.times.callTimeoutMs < proof;
      if (permit.engine === engine && isOver) this.done(id, PermitOutcome.Loaded);
    }
  }

  /** Grants what the rate and the shares allow now, and comes back when they allow more. */
  private pump(): void {
    this.timer?.cancel();
    if (this.isStopped || !this.may()) return;
    const { timers, times, policy, site } = this.options;
    const now = timers.now();
    this.forgetSilent(now);
    if (site !== undefined) this.queue.propose(policy.prefetch(site, now), now);
    while (this.isOpen(now)) {
      const permit = this.queue.next(now);
      if (permit === undefined) break;
      this.lastSlot = this.shares.open(timers.wall())?.slot ?? this.lastSlot;
      this.grant(permit, now);
    }
    const wait = this.hasAllShares(now)
      ? Math.max(1, this.queue.nextAt(now) - now)
      : this.shares.untilNext(timers.wall());
    this.timer = timers.after(Math.min(wait, times.offerMs), () => this.pump());
  }

  /** Whether a load may begin now as far as shares and loads of earlier owners are concerned. */
  private isOpen(now: number): boolean {
    const { store, timers } = this.options;
    // The owner before may have granted a load just now; its permits show in the engines' offers.
    if (this.since === undefined || now < this.since + MS_PER_SECOND / store.loadsPerSecond) return false;
    const own = new Set([...this.out.values()].map(({ permit }) => permit.engine));
    const others = [...this.known].filter(([engine, share]) => share.loading && !own.has(engine)).length;
    if (this.out.size + others >= store.concurrentLoads) return false;
    if (this.hasAllShares(now)) return true;
    const slot = this.shares.open(timers.wall());
    return slot !== undefined && slot.slot !== this.lastSlot && this.isLent(slot.engine, now);
  }

  private isLent(engine: string, now: number): boolean {
    return (this.known.get(engine)?.lentUntil ?? -Infinity) > now;
  }

  private hasAllShares(now: number): boolean {
    return this.options.engines.every((engine) => this.isLent(engine, now));
  }

  /** Forgets the offers of engines whose owners are no longer heard. */
  private forgetSilent(now: number): void {
    for (const [engine, share] of this.known) {
      if (now - share.heardAt <= this.options.times.shareMs) continue;
      this.known.delete(engine);
      this.queue.forget(engine);
    }
    for (const [id, { permit }] of this.out) if (permit.expiresAt <= now) this.out.delete(id);
  }

  private grant(permit: LoadPermit, now: number): void {
    this.out.set(permit.id, { permit, issuedAt: now });
    void this.send(permit, now);
    for (const engine of permit.from) if (engine !== permit.engine) this.redirect(engine, permit);
  }

  private async send(permit: LoadPermit, issuedAt: number): Promise<void> {
    const { bus, store, times, log } = this.options;
    const { id, engine, key } = permit;
    const daemon = this.known.get(engine)?.daemon;
    if (daemon === undefined) {
      this.done(id, PermitOutcome.Unused);
      return;
    }
    try {
      const input = { store: store.name, engine, key, id, issuedAt };
      const isUsed = await bus.call(daemon, PERMIT_GRANT, input, { timeoutMs: times.callTimeoutMs });
      if (!isUsed) this.done(id, PermitOutcome.Unused);
    } catch (err) {
      // It may be in use: the engine's next offers tell, or it lapses.
      log.warn(`Permit ${id} for ${engine} was not answered: ${String(err)}.`);
    }
  }

  private redirect(engine: string, permit: LoadPermit): void {
    const { bus, times } = this.options;
    const daemon = this.known.get(engine)?.daemon;
    if (daemon === undefined) return;
    const input = { engine, key: permit.key, to: permit.engine };
    bus.call(daemon, PERMIT_REDIRECT, input, { timeoutMs: times.callTimeoutMs }).catch(() => undefined);
  }
}
