/**
 * Ledger of the slot leases that an owner has granted on one engine, and of the keys on which requests may
 * still run although no known lease covers them. Such a key stays protected until a report of the engine
 * shows it idle. While a key is protected, or requests run under a lease on it, the ledger holds its slot in
 * the slot table, which then never chooses the slot to be freed. The slot of an idle lease may be chosen; the
 * lease is recalled first.
 */
import type { SlotTable } from '@celeryyoke/placement';
import { SlotState } from '@celeryyoke/placement';

import type { EndedLease, HeldLease } from '../leases/index.js';
import type { PeerIdentity } from '../peers/index.js';

/** A lease of a daemon on an adapter key. */
export interface LedgerEntry {
  readonly holder: string;
  readonly incarnation: number;
  readonly key: string;
  /** Highest number among the holder's requests that were granted under this lease. */
  ask: number;
  /** Monotonic milliseconds when it expires unless it is renewed. */
  expiresAt: number;
  /** Requests that run under it, as its holder last reported. */
  running: number;
}

export interface LedgerOptions {
  readonly table: SlotTable;
  readonly leaseMs: number;
  /** Bound on the time between a holder's check of its lease and the arrival of the request at the engine. */
  readonly sendBoundMs: number;
}

const NO_DEADLINE = { priority: 0, deadlineAt: Infinity };

function leaseId(holder: string, incarnation: number, key: string): string {
  return `lease ${holder}#${incarnation} ${key}`;
}

function idleReportId(key: string): string {
  return `idle report ${key}`;
}

/** Leases on one engine, and the keys that must be shown idle by a report. */
export class LeaseLedger {
  private readonly entries = new Map<string, LedgerEntry>();

  /**
   * For each key that a report must show idle, the monotonic time which that report's content must be younger
   * than.
   */
  private readonly idleReportAfter = new Map<string, number>();

  /** For each key, when a lease on it last ended; an older report may still show requests of that lease. */
  private readonly lastEndedAt = new Map<string, number>();

  /**
   * Monotonic time until which requests may start under leases of an earlier owner that this one does not
   * know.
   */
  private previousLeasesUntil = -Infinity;

  constructor(private readonly options: LedgerOptions) {}

  /** Leases that have neither ended nor expired, of one key or of all. */
  outstanding(key?: string): LedgerEntry[] {
    const all = [...this.entries.values()];
    return key === undefined ? all : all.filter((entry) => entry.key === key);
  }

  /** Whether it is certain that no request runs or can start on a key. */
  isProvenIdle(key: string): boolean {
    return !this.idleReportAfter.has(key) && this.outstanding(key).length === 0;
  }

  /** Whether a report must still show a key idle. */
  needsIdleReport(key: string): boolean {
    return this.idleReportAfter.has(key);
  }

  /** Number of requests that run under all leases, as their holders last reported. */
  runningRequests(): number {
    let sum = 0;
    for (const entry of this.entries.values()) sum += entry.running;
    return sum;
  }

  /**
   * Grants a daemon a lease on a key whose adapter is ready, or renews it.
   * @param ask - Number of the holder's request.
   * @param running - Number of requests that run under the lease.
   */
  grant(from: PeerIdentity, key: string, ask: number, running: number, now: number): void {
    this.endOlderIncarnations(from, now);
    const id = leaseId(from.name, from.incarnation, key);
    const expiresAt = now + this.options.leaseMs;
    const entry = this.entries.get(id);
    if (entry === undefined) {
      const { name, incarnation } = from;
      this.entries.set(id, { holder: name, incarnation, key, ask, expiresAt, running });
    } else {
      entry.ask = Math.max(entry.ask, ask);
      entry.expiresAt = Math.max(entry.expiresAt, expiresAt);
      entry.running = running;
    }
    this.setSlotHold(id, key, running > 0, now);
  }

  /**
   * Renews a lease as its holder reports it; one that the ledger does not know is added.
   * @returns False when the adapter is not ready here, so that the lease no longer holds.
   */
  renew(from: PeerIdentity, held: HeldLease, now: number): boolean {
    if (this.options.table.state(held.key) !== SlotState.Ready) return false;
    this.grant(from, held.key, held.ask, held.running, now);
    return true;
  }

  /** Ends a lease, unless it was also granted to a request that is later than the message about its end. */
  end(from: PeerIdentity, ended: EndedLease, now: number): void {
    const id = leaseId(from.name, from.incarnation, ended.key);
    const entry = this.entries.get(id);
    if (entry === undefined || entry.ask > ended.ask) return;
    this.remove(id, entry, now);
    if (!ended.settled) this.requireIdleReport(ended.key, now + this.options.sendBoundMs, now);
  }

  /** Records that a lease is in use, or that its holder could not be reached. */
  noteInUse(entry: LedgerEntry, running: number, now: number): void {
    const id = leaseId(entry.holder, entry.incarnation, entry.key);
    const current = this.entries.get(id);
    if (current !== entry) return;
    current.running = running;
    this.setSlotHold(id, entry.key, true, now);
  }

  /** Ends the expired leases; requests that were started under them may still run. */
  expire(now: number): void {
    for (const [id, entry] of this.entries) {
      if (entry.expiresAt > now) continue;
      this.remove(id, entry, now);
      this.requireIdleReport(entry.key, entry.expiresAt + this.options.sendBoundMs, now);
    }
  }

  /** Ends the leases of earlier incarnations of a daemon; requests that they sent may still run. */
  endOlderIncarnations(from: PeerIdentity, now: number): void {
    for (const [id, entry] of this.entries) {
      if (entry.holder !== from.name || entry.incarnation >= from.incarnation) continue;
      this.remove(id, entry, now);
      this.requireIdleReport(entry.key, now + this.options.sendBoundMs, now);
    }
  }

  /**
   * Protects a key until a report shows it idle at a later time than the given one.
   * @param startsUntil - Monotonic milliseconds after which no unknown request can start on the key.
   */
  requireIdleReport(key: string, startsUntil: number, now: number): void {
    this.idleReportAfter.set(key, Math.max(startsUntil, this.idleReportAfter.get(key) ?? -Infinity));
    this.setSlotHold(idleReportId(key), key, true, now);
  }

  /**
   * Applies a report: releases the keys that it shows idle, and protects those that it shows running without
   * a lease.
   * @param running - Number of running requests for each key.
   * @param observedAt - Monotonic milliseconds; the report shows the engine as it was at this time or later.
   */
  applyReport(running: ReadonlyMap<string, number>, observedAt: number, now: number): void {
    for (const [key, startsUntil] of this.idleReportAfter) {
      if (observedAt <= startsUntil || (running.get(key) ?? 0) > 0) continue;
      this.idleReportAfter.delete(key);
      this.options.table.release(idleReportId(key), now);
    }
    for (const [key, count] of running) {
      const isUnaccounted =
        this.outstanding(key).length === 0 && observedAt > (this.lastEndedAt.get(key) ?? -Infinity);
      if (count > 0 && isUnaccounted) this.requireIdleReport(key, observedAt, now);
    }
  }

  /**
   * Records that leases of an earlier owner may still be valid.
   * @param until - Monotonic milliseconds after which no request can start under them.
   */
  expectPreviousLeases(until: number): void {
    this.previousLeasesUntil = until;
  }

  /**
   * Holds the slot of an adapter that has become ready again, for its leases and for a report that must show
   * it idle.
   */
  restoreHolds(key: string, now: number): void {
    for (const entry of this.outstanding(key)) {
      this.setSlotHold(leaseId(entry.holder, entry.incarnation, key), key, entry.running > 0, now);
    }
    if (this.previousLeasesUntil > now) this.requireIdleReport(key, this.previousLeasesUntil, now);
    else if (this.idleReportAfter.has(key)) this.setSlotHold(idleReportId(key), key, true, now);
  }

  /** Discards what is known about a key that was unloaded. */
  forgetKey(key: string): void {
    this.lastEndedAt.delete(key);
  }

  /** Drops the protection of keys without a lease: the engine restarted, so its requests have ended. */
  handleEngineRestart(now: number): void {
    for (const key of this.idleReportAfter.keys()) this.options.table.release(idleReportId(key), now);
    this.idleReportAfter.clear();
    this.lastEndedAt.clear();
    for (const entry of this.entries.values()) entry.running = 0;
  }

  private remove(id: string, entry: LedgerEntry, now: number): void {
    this.entries.delete(id);
    this.lastEndedAt.set(entry.key, now);
    this.options.table.release(leaseId(entry.holder, entry.incarnation, entry.key), now);
  }

  /** Holds the slot of a ready key in the slot table under an id, or releases it. */
  private setSlotHold(id: string, key: string, isHeld: boolean, now: number): void {
    const { table } = this.options;
    if (!isHeld) {
      table.release(id, now);
      return;
    }
    if (table.state(key) === SlotState.Ready) table.restore({ id, holder: id, key, ...NO_DEADLINE }, now);
  }
}
