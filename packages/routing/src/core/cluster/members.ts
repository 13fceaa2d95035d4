/**
 * The member table: merges records that daemons publish of each other, so that all daemons reach the same
 * table in whatever order the records arrive.
 *
 * Records are ordered as in SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
 * Process Group Membership Protocol", DSN 2002): a later incarnation wins, then a higher version, which only
 * the member itself raises, then the state with the higher precedence.
 */
import type { TimerService } from '@celeryyoke/core';
import { hash32 } from '@celeryyoke/core';

import type { MemberRecord } from './types.js';
import { MemberState } from './types.js';

/** Precedence of states within one version; the higher number wins. */
const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  [MemberState.Alive]: 0,
  [MemberState.Silent]: 1,
  [MemberState.Leaving]: 2,
  [MemberState.Ended]: 3,
};

const DIGEST_RANGE = 2 ** 32;

/** A member's record with what is derived from it locally. */
interface MemberEntry {
  readonly record: MemberRecord;
  /**
   * Monotonic time since which the member has not been alive, in milliseconds; meaningless while it is alive.
   */
  readonly downSince: number;
  /** Position on the probing ring. */
  readonly ringHash: number;
}

/** Whether a record replaces the known record of the same member. */
export function supersedes(next: MemberRecord, known: MemberRecord): boolean {
  if (next.incarnation !== known.incarnation) return next.incarnation > known.incarnation;
  if (next.version !== known.version) return next.version > known.version;
  return STATE_PRECEDENCE[next.state] > STATE_PRECEDENCE[known.state];
}

function digestOf({ address, incarnation, version, state }: MemberRecord): number {
  return hash32(`${address}|${incarnation}|${version}|${state}`);
}

/** Called with the new record of a member and the one before it, which is undefined for a new member. */
export type MemberListener = (record: MemberRecord, before: MemberRecord | undefined) => void;

/** Table of the members that this daemon knows, including itself. */
export class MemberTable {
  private readonly entries = new Map<string, MemberEntry>();

  private cachedAlive: readonly string[] | undefined;

  private cachedRing: readonly MemberEntry[] | undefined;

  private cachedDigest: number | undefined;

  private ownRecord: MemberRecord;

  /**
   * Creates a table that contains only this daemon.
   * @param self - Record of this daemon, alive.
   * @param timers - Time.
   * @param onChange - Called with each change of a record, also of this daemon's own.
   */
  constructor(
    self: MemberRecord,
    private readonly timers: TimerService,
    private readonly onChange: MemberListener,
  ) {
    this.ownRecord = self;
    this.store(self, 0);
  }

  /** Record of this daemon. */
  get self(): MemberRecord {
    return this.ownRecord;
  }

  /** Record of a member, if it is known. */
  get(address: string): MemberRecord | undefined {
    return this.entries.get(address)?.record;
  }

  /** Records of all members, ended ones included. */
  records(): MemberRecord[] {
    return [...this.entries.values()].map(({ record }) => record);
  }

  /** Digest of the records of all members that have not ended; equal on daemons with the same records. */
  digest(): number {
    this.cachedDigest ??= this.records()
      .filter(({ state }) => state !== MemberState.Ended)
      .reduce((sum, record) => (sum + digestOf(record)) % DIGEST_RANGE, 0);
    return this.cachedDigest;
  }

  /** Sorted addresses of the living members, this daemon included; the same array until a record changes. */
  alive(): readonly string[] {
    this.cachedAlive ??= this.records()
      .filter(({ state }) => state === MemberState.Alive)
      .map(({ address }) => address)
      .sort();
    return this.cachedAlive;
  }

  /** Number of members that may be running and sending orders: those that are alive or silent. */
  aliveOrSilentCount(): number {
    let count = 0;
    for (const { record } of this.entries.values())
      if (record.state === MemberState.Alive || record.state === MemberState.Silent) count += 1;
    return count;
  }

  /**
   * Returns the time since a member was last alive.
   * @returns Milliseconds; 0 when it is alive, Infinity when it is not known.
   */
  downForMs(address: string): number {
    const known = this.entries.get(address);
    if (known === undefined) return Number.POSITIVE_INFINITY;
    return known.record.state === MemberState.Alive ? 0 : this.timers.now() - known.downSince;
  }

  /**
   * Merges a record that another daemon published. A wrong record of this daemon itself is refuted.
   * @returns Whether it changed the table.
   */
  merge(record: MemberRecord): boolean {
    if (record.address === this.ownRecord.address) return this.refute(record);
    const known = this.entries.get(record.address)?.record;
    // An ended member that was removed here must not come back and spread again.
    if (known === undefined && record.state === MemberState.Ended) return false;
    if (known !== undefined && !supersedes(record, known)) return false;
    this.put(record);
    return true;
  }

  /**
   * Records a state of a member that this daemon has detected.
   * @returns Whether it changed the table; it doesn't when a state of the same or a higher precedence is
   *   known.
   */
  setState(address: string, state: MemberState): boolean {
    const known = this.get(address);
    return known !== undefined && this.merge({ ...known, state });
  }

  /** Marks this daemon as shutting down. */
  leave(): void {
    this.replaceOwn({ ...this.ownRecord, version: this.ownRecord.version + 1, state: MemberState.Leaving });
  }

  /**
   * Removes members that have ended.
   * @param ageMs - Least time since a removed member was alive, in milliseconds.
   */
  removeEnded(ageMs: number): void {
    const oldest = this.timers.now() - ageMs;
    for (const [address, { record, downSince }] of this.entries) {
      if (record.state !== MemberState.Ended || downSince > oldest) continue;
      this.entries.delete(address);
      this.cachedRing = undefined;
    }
  }

  /**
   * Returns the members that follow this daemon on the ring.
   *
   * The ring is ordered by a hash of the address, which spreads neighbours over failure domains. Silent
   * members are not counted, so that the members behind them are still probed.
   * @param count - Number of members to return that are not silent.
   * @returns Records in the order of the ring, with the silent ones in between.
   */
  successors(count: number): MemberRecord[] {
    this.cachedRing ??= [...this.entries.values()]
      .filter(({ record: { state } }) => state !== MemberState.Ended)
      .sort((left, right) => left.ringHash - right.ringHash);
    const { cachedRing: ring } = this;
    const start = ring.findIndex(({ record }) => record.address === this.ownRecord.address);
    const found: MemberRecord[] = [];
    let notSilentCount = 0;
    for (let step = 1; step < ring.length && notSilentCount < count; step += 1) {
      const { record } = ring[(start + step) % ring.length]!;
      found.push(record);
      if (record.state !== MemberState.Silent) notSilentCount += 1;
    }
    return found;
  }

  /** Raises this daemon's own record above a record that another daemon published of it. */
  private refute(claimed: MemberRecord): boolean {
    if (!supersedes(claimed, this.ownRecord)) return false;
    const isLater = claimed.incarnation > this.ownRecord.incarnation;
    this.replaceOwn({
      ...this.ownRecord,
      incarnation: isLater ? claimed.incarnation + 1 : this.ownRecord.incarnation,
      version: isLater ? 0 : claimed.version + 1,
    });
    return true;
  }

  private replaceOwn(record: MemberRecord): void {
    this.ownRecord = record;
    this.put(record);
  }

  private put(record: MemberRecord): void {
    const before = this.entries.get(record.address);
    const wasAlive = before === undefined || before.record.state === MemberState.Alive;
    this.store(record, wasAlive ? this.timers.now() : before.downSince);
    this.onChange(record, before?.record);
  }

  private store(record: MemberRecord, downSince: number): void {
    this.entries.set(record.address, { record, downSince, ringHash: hash32(record.address) });
    this.cachedAlive = undefined;
    this.cachedRing = undefined;
    this.cachedDigest = undefined;
  }
}
