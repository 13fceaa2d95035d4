/**
 * The slot leases that this daemon holds. A lease covers an adapter on an engine, not one request: while it
 * is valid, requests for the adapter start without a message to the owner, and the owner recalls it before it
 * evicts the adapter.
 */
import type { EndedLease, EngineRenewal, LeaseRecallResponse } from './messages.js';

/** This daemon's lease on an adapter of one engine. */
export class LocalLease {
  /** Monotonic milliseconds until which requests may start under it; -Infinity when it is not held. */
  validUntil = -Infinity;

  /** Number of requests for the adapter that run under it. */
  running = 0;

  /** Number of messages to the owner that request this lease and whose response is pending. */
  pendingRequests = 0;

  /** Whether a request under it has ended on this daemon without certainty that it has ended on the engine. */
  hasUnsettled = false;

  /** Whether no more requests may start under it, because the owner recalled it to free the slot. */
  isDraining = false;

  constructor(
    readonly engine: string,
    readonly key: string,
    public lastUsedAt: number,
  ) {}

  /**
   * Records the owner's response to a request for this lease, or that the request failed.
   * @param validUntil - Monotonic milliseconds until which it was granted; undefined when it was not.
   */
  endRequest(validUntil: number | undefined): void {
    this.pendingRequests -= 1;
    if (validUntil === undefined) return;
    this.validUntil = Math.max(this.validUntil, validUntil);
    this.isDraining = false;
  }

  /** Records that a request starts under it. */
  start(now: number): void {
    this.running += 1;
    this.lastUsedAt = now;
  }

  /**
   * Records that a request under it has ended.
   * @param settled - Whether it is certain that it has ended on the engine too.
   */
  finish(settled: boolean, now: number): void {
    this.running -= 1;
    this.lastUsedAt = now;
    if (!settled) this.hasUnsettled = true;
  }

  /** Applies the owner's response to a renewal. */
  applyRenewal(isRefused: boolean, validUntil: number): void {
    if (this.validUntil === -Infinity) return;
    this.validUntil = isRefused ? -Infinity : Math.max(this.validUntil, validUntil);
  }

  /** Whether no request runs under it and no request for it is pending. */
  isIdle(): boolean {
    return this.running === 0 && this.pendingRequests === 0;
  }
}

/**
 * Maximum number of ended leases of an engine that are kept until its owner acknowledges them; beyond it, the
 * oldest are dropped.
 */
const MAX_ENDED_LEASES = 64;

interface EngineLeases {
  readonly leases: Map<string, LocalLease>;
  /** Ended leases that the owner has not acknowledged yet. */
  ended: EndedLease[];
}

/** The leases that this daemon holds or requests, by engine and key. */
export class LocalLeases {
  private readonly engines = new Map<string, EngineLeases>();

  private lastAsk = 0;

  /** Finds the lease on an adapter key of an engine, whether it is valid or not. */
  find(engine: string, key: string): LocalLease | undefined {
    return this.engines.get(engine)?.leases.get(key);
  }

  /** Names of the engines with leases that are held, requested, or ended without an acknowledgement. */
  engineNames(): string[] {
    return [...this.engines.keys()];
  }

  /**
   * Records that a lease is being requested.
   * @returns The lease, which is not valid before it is granted, and the sequence number of the request.
   */
  beginRequest(
    engine: string,
    key: string,
    now: number,
  ): { readonly lease: LocalLease; readonly ask: number } {
    const { leases } = this.entryOf(engine);
    let lease = leases.get(key);
    if (lease === undefined) {
      lease = new LocalLease(engine, key, now);
      leases.set(key, lease);
    }
    lease.pendingRequests += 1;
    this.lastAsk += 1;
    return { lease, ask: this.lastAsk };
  }

  /**
   * Ends a lease that is draining, if it is idle.
   * @returns Whether the lease is idle, so that its owner should be notified soon.
   */
  endIfDraining(lease: LocalLease): boolean {
    if (lease.isDraining) this.tryEnd(lease);
    return lease.isIdle();
  }

  /**
   * Ends the leases on an engine that have been idle for long, and builds the message that renews the others
   * and reports the ended ones.
   * @param idleBefore - Leases that were last used before this time, in monotonic milliseconds, are ended if
   * idle.
   * @returns The message for the engine's owner; undefined when there is nothing to report.
   */
  buildRenewal(engine: string, idleBefore: number): EngineRenewal | undefined {
    const entry = this.engines.get(engine);
    if (entry === undefined) return undefined;
    for (const lease of entry.leases.values()) if (lease.lastUsedAt < idleBefore) this.tryEnd(lease);
    if (entry.leases.size === 0 && entry.ended.length === 0) {
      this.engines.delete(engine);
      return undefined;
    }
    const ask = this.lastAsk;
    const held = [...entry.leases.values()]
      .filter((lease) => lease.running > 0 || lease.validUntil !== -Infinity)
      .map(({ key, running }) => ({ key, ask, running }));
    return { engine, held, ended: [...entry.ended] };
  }

  /**
   * Applies an owner's response to a renewal.
   * @param sent - The renewal that was sent.
   * @param refused - Keys whose leases are no longer valid.
   * @param validUntil - Monotonic milliseconds until which the others are valid.
   */
  applyRenewal(sent: EngineRenewal, refused: readonly string[], validUntil: number): void {
    const entry = this.engines.get(sent.engine);
    if (entry === undefined) return;
    entry.ended = entry.ended.filter((ended) => !sent.ended.includes(ended));
    for (const { key } of sent.held) {
      entry.leases.get(key)?.applyRenewal(refused.includes(key), validUntil);
    }
  }

  /**
   * Ends a lease that its owner recalls, if it is idle. Synchronous, so that no request starts between the
   * check and the end.
   * @param drain - Whether to start no more requests under the lease if it can't end yet.
   * @returns The response for the owner.
   */
  recall(engine: string, key: string, drain: boolean): LeaseRecallResponse {
    const lease = this.find(engine, key);
    const ask = this.lastAsk;
    if (lease === undefined) return { ended: true, ask, settled: true, running: 0 };
    if (drain) lease.isDraining = true;
    const settled = !lease.hasUnsettled;
    if (!this.tryEnd(lease)) return { ended: false, ask, settled, running: lease.running };
    return { ended: true, ask, settled, running: 0 };
  }

  private entryOf(name: string): EngineLeases {
    let entry = this.engines.get(name);
    if (entry === undefined) {
      entry = { leases: new Map(), ended: [] };
      this.engines.set(name, entry);
    }
    return entry;
  }

  /** Ends a lease permanently if it is idle; no request starts under it afterwards. */
  private tryEnd(lease: LocalLease): boolean {
    if (!lease.isIdle()) return false;
    const entry = this.entryOf(lease.engine);
    lease.applyRenewal(true, -Infinity);
    entry.leases.delete(lease.key);
    entry.ended.push({ key: lease.key, ask: this.lastAsk, settled: !lease.hasUnsettled });
    if (entry.ended.length > MAX_ENDED_LEASES) entry.ended.shift();
    return true;
  }
}
