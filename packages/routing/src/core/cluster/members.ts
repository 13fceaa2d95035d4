/**
 * The member table: merges what daemons say of each other, so that all come to the same view whatever the order in
 * which they hear it.
 *
 * Records are ordered as in SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
 * Group Membership Protocol", DSN 2002): a later life of a process wins, then a later version, which only the member
 * itself raises, then the graver state.
 */
import type { TimerService } from '@celeryyoke/core';
import { hash32 } from '@celeryyoke/core';

import type { MemberRecord } from './types.js';
import { MemberState } from './types.js';

/** Order of states within one version. */
const GRAVITY: Readonly<Record<MemberState, number>> = {
  [MemberState.Alive]: 0,
  [MemberState.Silent]: 1,
  [MemberState.Leaving]: 2,
  [MemberState.Ended]: 3,
};

const DIGEST_RANGE = 2 ** 32;

interface Known {
  readonly record: MemberRecord;
  /** Monotonic time since which it has not been alive. */
  readonly downSince: number;
  /** Place on the probing ring. */
  readonly ringHash: number;
}

/**
 * Tells whether a record replaces another one of the same member.
 * @param next - What is heard.
 * @param known - What is known.
 * @returns Whether `next` is news.
 */
export function supersedes(next: MemberRecord, known: MemberRecord): boolean {
  if (next.incarnation !== known.incarnation) return next.incarnation > known.incarnation;
  if (next.version !== known.version) return next.version > known.version;
  return GRAVITY[next.state] > GRAVITY[known.state];
}

function digestOf({ address, incarnation, version, state }: MemberRecord): number {
  return hash32(`${address}|${incarnation}|${version}|${state}`);
}

/** Told of each change, with the record before. */
export type MemberListener = (record: MemberRecord, before: MemberRecord | undefined) => void;

/** Members that this daemon knows; itself is one of them. */
export class MemberTable {
  private readonly known = new Map<string, Known>();

  private aliveAddresses: readonly string[] | undefined;

  private ring: readonly Known[] | undefined;

  private knownDigest: number | undefined;

  private own: MemberRecord;

  /**
   * Makes a table with this daemon in it.
   * @param self - This daemon, alive.
   * @param timers - Time.
   * @param onChange - Told of each change, this daemon's own included.
   */
  constructor(
    self: MemberRecord,
    private readonly timers: TimerService,
    private readonly onChange: MemberListener,
  ) {
    this.own = self;
    this.store(self, 0);
  }

  /** This daemon's own record. */
  get self(): MemberRecord {
    return this.own;
  }

  /**
   * Finds a member.
   * @param address - Its name.
   * @returns Its record, or undefined.
   */
  get(address: string): MemberRecord | undefined {
    return this.known.get(address)?.record;
  }

  /** All records. */
  records(): MemberRecord[] {
    return [...this.known.values()].map(({ record }) => record);
  }

  /** A number that two daemons share when they know the same of all members that have not ended. */
  digest(): number {
    this.knownDigest ??= this.records()
      .filter(({ state }) => state !== MemberState.Ended)
      .reduce((sum, record) => (sum + digestOf(record)) % DIGEST_RANGE, 0);
    return this.knownDigest;
  }

  /** Addresses of the living members in a fixed order, this daemon included. */
  alive(): readonly string[] {
    this.aliveAddresses ??= this.records()
      .filter(({ state }) => state === MemberState.Alive)
      .map(({ address }) => address)
      .sort();
    return this.aliveAddresses;
  }

  /** Members that may be running and give orders: alive or silent. */
  possible(): number {
    let count = 0;
    for (const { record } of this.known.values())
      if (record.state === MemberState.Alive || record.state === MemberState.Silent) count += 1;
    return count;
  }

  /**
   * Tells how long a member has not been alive.
   * @param address - Its name.
   * @returns Milliseconds; 0 when it is alive, Infinity when it is not known.
   */
  downForMs(address: string): number {
    const known = this.known.get(address);
    if (known === undefined) return Number.POSITIVE_INFINITY;
    return known.record.state === MemberState.Alive ? 0 : this.timers.now() - known.downSince;
  }

  /**
   * Takes a record that another daemon told. What is said of this daemon itself and is wrong is refuted.
   * @param record - The record.
   * @returns Whether it was news.
   */
  merge(record: MemberRecord): boolean {
    if (record.address === this.own.address) return this.refute(record);
    const known = this.known.get(record.address)?.record;
    // One that has ended and was forgotten here must not go round again.
    if (known === undefined && record.state === MemberState.Ended) return false;
    if (known !== undefined && !supersedes(record, known)) return false;
    this.put(record);
    return true;
  }

  /**
   * Notes what this daemon has found out of a member.
   * @param address - Its name.
   * @param state - Its state.
   * @returns Whether that is news.
   */
  declare(address: string, state: MemberState): boolean {
    const known = this.get(address);
    return known !== undefined && this.merge({ ...known, state });
  }

  /** Says that this daemon is shutting down. */
  leave(): void {
    this.replaceOwn({ ...this.own, version: this.own.version + 1, state: MemberState.Leaving });
  }

  /**
   * Forgets members that ended long ago.
   * @param ageMs - Time since their end, in milliseconds.
   */
  forgetEnded(ageMs: number): void {
    const oldest = this.timers.now() - ageMs;
    for (const [address, { record, downSince }] of this.known) {
      if (record.state !== MemberState.Ended || downSince > oldest) continue;
      this.known.delete(address);
      this.ring = undefined;
    }
  }

  /**
   * Lists the members that follow this daemon on the ring.
   *
   * The ring is ordered by a hash of the address, so that neighbours are in different failure domains. Silent members
   * do not count, so that a daemon takes over the probing of those behind them.
   * @param count - Members wanted that are not silent.
   * @returns Records in the order of the ring, silent ones in between included.
   */
  successors(count: number): MemberRecord[] {
    this.ring ??= [...this.known.values()]
      .filter(({ record: { state } }) => state !== MemberState.Ended)
      .sort((left, right) => left.ringHash - right.ringHash);
    const { ring } = this;
    const start = ring.findIndex(({ record }) => record.address === this.own.address);
    const found: MemberRecord[] = [];
    let answering = 0;
    for (let step = 1; step < ring.length && answering < count; step += 1) {
      const { record } = ring[(start + step) % ring.length]!;
      found.push(record);
      if (record.state !== MemberState.Silent) answering += 1;
    }
    return found;
  }

  /** Raises this daemon's own record above what was said of it. */
  private refute(said: MemberRecord): boolean {
    if (!supersedes(said, this.own)) return false;
    const isLater = said.incarnation > this.own.incarnation;
    this.replaceOwn({
      ...this.own,
      incarnation: isLater ? said.incarnation + 1 : this.own.incarnation,
      version: isLater ? 0 : said.version + 1,
    });
    return true;
  }

  private replaceOwn(record: MemberRecord): void {
    this.own = record;
    this.put(record);
  }

  private put(record: MemberRecord): void {
    const before = this.known.get(record.address);
    const wasAlive = before === undefined || before.record.state === MemberState.Alive;
    this.store(record, wasAlive ? this.timers.now() : before.downSince);
    this.onChange(record, before?.record);
  }

  private store(record: MemberRecord, downSince: number): void {
    this.known.set(record.address, { record, downSince, ringHash: hash32(record.address) });
    this.aliveAddresses = undefined;
    this.ring = undefined;
    this.knownDigest = undefined;
  }
}
