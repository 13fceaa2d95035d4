/** The queue of loads before a weight store: it holds the rate, and binds a load to an engine at the last moment. */
import type { AdapterKey, LoadWant, RoomView } from '../policy/index.js';
import type { EngineOffer, LoadPermit, LoadQueue, LoadQueueOptions } from './types.js';
import { PermitOutcome } from './types.js';

const MS_PER_SECOND = 1000;
const DEFAULT_BACKOFF_MS = 500;
const DEFAULT_BACKOFF_MAX_MS = 30_000;

/** A load that failed, and when and where it may be tried again. */
interface Failure {
  count: number;
  retryAt: number;
  readonly engines: Set<string>;
}

/** Joins what several engines want of one key; the first engine stands for all. */
function joinWants(left: LoadWant, right: LoadWant): LoadWant {
  return {
    ...left,
    waiting: left.waiting + right.waiting,
    oldestAt: Math.min(left.oldestAt, right.oldestAt),
    deadlineAt: Math.min(left.deadlineAt, right.deadlineAt),
    priority: Math.max(left.priority, right.priority),
    eventAt: left.eventAt ?? right.eventAt,
    popularity: Math.max(left.popularity, right.popularity),
  };
}

class StoreLoadQueue implements LoadQueue {
  private readonly offers = new Map<string, EngineOffer>();

  private proposals: readonly LoadWant[] = [];

  private readonly permits = new Map<number, LoadPermit>();

  private readonly failures = new Map<AdapterKey, Failure>();

  private lastId = 0;

  private lastGrantAt = -Infinity;

  private grantBeforeAt = -Infinity;

  constructor(private readonly options: LoadQueueOptions) {}

  offer(offer: EngineOffer): void {
    this.offers.set(offer.engine, offer);
  }

  propose(wants: readonly LoadWant[]): void {
    this.proposals = wants;
  }

  forget(engine: string): void {
    this.offers.delete(engine);
  }

  next(now: number): LoadPermit | undefined {
    this.lapse(now);
    if (this.nextAt(now) > now) return undefined;
    return this.grantBest(this.joined(now), now) ?? this.grantBest(this.openProposals(now), now);
  }

  done(id: number, outcome: PermitOutcome, now: number): void {
    const permit = this.permits.get(id);
    if (permit === undefined) return;
    this.permits.delete(id);
    if (outcome === PermitOutcome.Loaded) this.failures.delete(permit.key);
    if (outcome === PermitOutcome.Failed) this.noteFailure(permit, now);
    if (outcome === PermitOutcome.Unused && id === this.lastId) this.lastGrantAt = this.grantBeforeAt;
  }

  nextAt(now: number): number {
    this.lapse(now);
    const byRate = this.lastGrantAt + MS_PER_SECOND / this.options.loadsPerSecond;
    if (this.permits.size < this.options.concurrentLoads) return Math.max(now, byRate);
    const firstLapse = Math.min(...[...this.permits.values()].map((permit) => permit.expiresAt));
    return Math.max(now, byRate, firstLapse);
  }

  retryAt(now: number): number {
    let first = Infinity;
    for (const { retryAt } of this.failures.values()) if (retryAt > now) first = Math.min(first, retryAt);
    return first;
  }

  private lapse(now: number): void {
    for (const permit of this.permits.values()) {
      if (permit.expiresAt <= now) this.permits.delete(permit.id);
    }
  }

  private noteFailure(permit: LoadPermit, now: number): void {
    const { backoffMs = DEFAULT_BACKOFF_MS, backoffMaxMs = DEFAULT_BACKOFF_MAX_MS } = this.options;
    const failure = this.failures.get(permit.key) ?? { count: 0, retryAt: 0, engines: new Set<string>() };
    failure.retryAt = now + Math.min(backoffMaxMs, backoffMs * 2 ** failure.count);
    failure.count += 1;
    failure.engines.add(permit.engine);
    this.failures.set(permit.key, failure);
  }

  private grantedKeys(): ReadonlySet<AdapterKey> {
    return new Set([...this.permits.values()].map((permit) => permit.key));
  }

  /** Whether a load is neither granted already nor held back after a failure. */
  private isOpen(want: LoadWant, granted: ReadonlySet<AdapterKey>, now: number): boolean {
    return !granted.has(want.key) && (this.failures.get(want.key)?.retryAt ?? 0) <= now;
  }

  private openProposals(now: number): LoadWant[] {
    const granted = this.grantedKeys();
    return this.proposals.filter((want) => this.isOpen(want, granted, now));
  }

  /** Wants of all engines, one for each key; a replica stands for itself. */
  private joined(now: number): LoadWant[] {
    const byKey = new Map<string, LoadWant>();
    const granted = this.grantedKeys();
    for (const offer of this.offers.values()) {
      for (const want of offer.wants) {
        if (!this.isOpen(want, granted, now)) continue;
        const name = want.replica ? `${want.key} ${want.engine}` : want.key;
        const other = byKey.get(name);
        byKey.set(name, other === undefined ? want : joinWants(other, want));
      }
    }
    return [...byKey.values()];
  }

  /** Places a load; an engine where it failed comes into question only when no other will do. */
  private place(want: LoadWant, now: number): RoomView | undefined {
    const { policy } = this.options;
    const rooms: RoomView[] = [];
    for (const { room } of this.offers.values()) {
      if (room?.model === want.model && (room.free > 0 || room.victims.length > 0)) rooms.push(room);
    }
    const failed = this.failures.get(want.key)?.engines;
    if (failed === undefined) return policy.place(want, rooms, now);
    const others = rooms.filter((room) => !failed.has(room.engine));
    return policy.place(want, others, now) ?? policy.place(want, rooms, now);
  }

  private grantBest(wants: LoadWant[], now: number): LoadPermit | undefined {
    const { policy } = this.options;
    let left = wants;
    while (left.length > 0) {
      const want = policy.nextLoad(left, now);
      if (want === undefined) return undefined;
      const room = this.place(want, now);
      if (room !== undefined) return this.grant(want, room, now);
      left = left.filter((other) => other !== want);
    }
    return undefined;
  }

  private grant(want: LoadWant, room: RoomView, now: number): LoadPermit {
    this.lastId += 1;
    this.grantBeforeAt = this.lastGrantAt;
    this.lastGrantAt = now;
    const { key } = want;
    const from = [...this.offers.values()]
      .filter((offer) => offer.wants.some((other) => other.key === key && !other.replica))
      .map((offer) => offer.engine);
    const permit = {
      id: this.lastId,
      engine: room.engine,
      from: want.replica ? [want.engine] : from,
      key,
      expiresAt: now + this.options.permitMs,
    };
    this.permits.set(permit.id, permit);
    this.useRoom(room);
    return permit;
  }

  /** Takes the room that a permit uses off the engine's offer, until its next one. */
  private useRoom(room: RoomView): void {
    const offer = this.offers.get(room.engine);
    if (offer === undefined) return;
    const left =
      room.free > 0 ? { ...room, free: room.free - 1 } : { ...room, victims: room.victims.slice(1) };
    this.offers.set(room.engine, { ...offer, room: left });
  }
}

/**
 * Makes the queue of a store.
 * @param options - The store's limits and the policy.
 * @returns The queue.
 */
export function createLoadQueue(options: LoadQueueOptions): LoadQueue {
  return new StoreLoadQueue(options);
}
