/**
 * Which daemon gives orders to which engine.
 *
 * A claim carries a fencing token that no two daemons can both use: the time of day in its high part, a number of
 * the daemon's own in its low part. The holder keeps its claim while it lives; a new daemon takes nothing from it.
 * An engine without a holder is claimed by the living daemon that comes first for it by rendezvous hashing: at once
 * when the holder's process has ended, after the lease when it is only silent. The higher token wins.
 */
import type { TimerService } from '@celeryyoke/core';
import { hash32 } from '@celeryyoke/core';

import { MemberState } from '../cluster/index.js';

/** Low part of a token: a number of the daemon's own. 2^12 keeps the token a safe integer until the year 2039. */
const TOKEN_FACTOR = 4096;
/** Least time after the start before anything is claimed, in milliseconds: links to the seeds are up by then. */
const SETTLE_MS = 350;
/** Time without a change among the living daemons before the first claim, in milliseconds: links take less. */
const QUIET_MS = 200;
/**
 * The same for a daemon that has met no other, in milliseconds: when all start at once, they are up within half a
 * second of each other, and each that claims alone makes the others' claims void.
 */
const ALONE_SETTLE_MS = 1000;
/** Longest time after the start in which changes among the daemons hold claims back, in milliseconds. */
const MAX_SETTLE_MS = 1500;
/**
 * Time for which a silent holder is waited out where engines refuse older tokens, in milliseconds: its orders can't
 * follow those of the next holder, so the wait only keeps a short silence from moving engines.
 */
const FENCED_PATIENCE_MS = 500;
/** Leases that a minority waits before it takes over from silent daemons: it is more likely cut off itself. */
const MINORITY_LEASES = 3;
/** Leases for which an engine that refused this daemon's token is left alone. */
const REFUSED_LEASES = 2;

/** The right to give orders to one engine. */
export interface Claim {
  readonly replica: string;
  /** The daemon that gives orders. */
  readonly holder: string;
  /** Fencing token of its orders. */
  readonly token: number;
}

/** What claims need to know of the fleet. */
export interface FleetView {
  /** Addresses of the living daemons. */
  alive(): readonly string[];
  /** Number of daemons that may live. */
  possible(): number;
  state(address: string): MemberState;
  downForMs(address: string): number;
}

/** Options of the claims. */
export interface ClaimsOptions {
  readonly self: string;
  readonly fleet: FleetView;
  readonly timers: TimerService;
  /** Longest time for which a holder that is not heard may still give orders, in milliseconds. */
  readonly leaseMs: number;
  /** Whether engines refuse an order with a token that is lower than one they have seen. */
  readonly isFenced: boolean;
  /** Whether this daemon must first renew what it believes. */
  readonly isRecovering: () => boolean;
  /** Whether this daemon has heard of the fleet so recently that no other one can have taken an engine over unheard. */
  readonly isUpToDate: () => boolean;
  /** Called when this daemon gains or loses an engine. */
  readonly onGain: (claim: Claim) => void;
  readonly onLoss: (claim: Claim, reason: string) => void;
}

/** The claims that this daemon knows. */
export class Claims {
  private readonly claims = new Map<string, Claim>();

  /** Engines that refused this daemon's token, and until when it leaves them alone. */
  private readonly refusedUntil = new Map<string, number>();

  private readonly startedAt: number;

  private lastToken = 0;

  /** The living daemons at the last review, and the monotonic time of their last change. */
  private aliveBefore: readonly string[] = [];

  private changedAt = Number.NEGATIVE_INFINITY;

  private smallerSince: number | undefined;

  private isClosed = false;

  private isLeaving = false;

  /**
   * Makes an empty book of claims.
   * @param options - The fleet and what to call.
   */
  constructor(private readonly options: ClaimsOptions) {
    this.startedAt = options.timers.now();
  }

  /**
   * Tells who gives orders to an engine.
   * @param replica - The engine's incarnation.
   * @returns The claim, or undefined when nobody holds it.
   */
  of(replica: string): Claim | undefined {
    return this.claims.get(replica);
  }

  /** All known claims. */
  all(): Claim[] {
    return [...this.claims.values()];
  }

  /** The claims of this daemon. */
  mine(): Claim[] {
    return [...this.claims.values()].filter(({ holder }) => holder === this.options.self);
  }

  /**
   * Asked in the step that sends an order.
   * @param replica - The engine.
   * @returns The token when this daemon may give it an order now, or undefined.
   */
  authority(replica: string): number | undefined {
    const claim = this.claims.get(replica);
    if (this.isClosed || claim?.holder !== this.options.self) return undefined;
    const { isFenced, isUpToDate } = this.options;
    if (!isFenced && !isUpToDate()) return undefined;
    return this.options.isRecovering() || !this.isMajority(MINORITY_LEASES) ? undefined : claim.token;
  }

  /**
   * Takes a claim that another daemon told.
   * @param claim - The claim.
   * @returns Whether it was news.
   */
  take(claim: Claim): boolean {
    const known = this.claims.get(claim.replica);
    if (known !== undefined && known.token >= claim.token) return false;
    this.claims.set(claim.replica, claim);
    if (known?.holder === this.options.self && claim.holder !== this.options.self)
      this.options.onLoss(known, `claimed by ${claim.holder}`);
    return true;
  }

  /**
   * Notes that an engine refused a token of this daemon: another one has given it orders since.
   * @param replica - The engine.
   * @param token - The refused token.
   */
  refused(replica: string, token: number): void {
    const claim = this.claims.get(replica);
    if (claim?.token !== token) return;
    this.claims.delete(replica);
    this.refusedUntil.set(replica, this.options.timers.now() + REFUSED_LEASES * this.options.leaseMs);
    this.options.onLoss(claim, 'its token was refused');
  }

  /**
   * Forgets an engine that is gone.
   * @param replica - The engine.
   */
  forget(replica: string): void {
    const claim = this.claims.get(replica);
    this.claims.delete(replica);
    this.refusedUntil.delete(replica);
    if (claim?.holder === this.options.self) this.options.onLoss(claim, 'the engine is gone');
  }

  /**
   * Claims the engines that have no holder and fall to this daemon.
   * @param replicas - All engines.
   */
  review(replicas: Iterable<string>): void {
    const { isRecovering, fleet, self } = this.options;
    const alive = fleet.alive();
    if (this.isClosed || this.isLeaving || !this.hasSettled(alive) || isRecovering()) return;
    for (const replica of replicas)
      if (this.isOrphan(replica) && firstFor(replica, alive) === self) this.claim(replica);
  }

  /**
   * Claims nothing more, before a shutdown. What this daemon holds it keeps until another one has claimed it, as in a
   * rolling restart there may for seconds be none that stays.
   */
  leave(): void {
    this.isLeaving = true;
  }

  /** Gives up all claims of this daemon. */
  close(): void {
    this.isClosed = true;
  }

  /** Whether the others had time to tell who they are and what they hold. */
  private hasSettled(alive: readonly string[]): boolean {
    const now = this.options.timers.now();
    if (!isSameList(alive, this.aliveBefore)) {
      this.aliveBefore = alive;
      this.changedAt = now;
    }
    const age = now - this.startedAt;
    const least = alive.length === 1 ? ALONE_SETTLE_MS : SETTLE_MS;
    return age >= MAX_SETTLE_MS || (age >= least && now - this.changedAt >= QUIET_MS);
  }

  private isOrphan(replica: string): boolean {
    const { fleet, leaseMs, isFenced, timers } = this.options;
    if (timers.now() < (this.refusedUntil.get(replica) ?? 0)) return false;
    const claim = this.claims.get(replica);
    if (claim === undefined) return true;
    const state = fleet.state(claim.holder);
    if (state === MemberState.Ended || state === MemberState.Leaving) return true;
    if (state === MemberState.Alive) return false;
    const ordinary = isFenced ? Math.min(FENCED_PATIENCE_MS, leaseMs) : leaseMs;
    const patience = this.isMajority(0) ? ordinary : leaseMs * MINORITY_LEASES;
    return fleet.downForMs(claim.holder) > patience;
  }

  /**
   * Whether this daemon is on the larger side, if the fleet is split.
   * @param leases - Leases after which silent daemons no longer count; 0 when they always do.
   */
  private isMajority(leases: number): boolean {
    const { fleet, leaseMs } = this.options;
    const alive = fleet.alive().length;
    if (alive * 2 >= fleet.possible()) return true;
    if (leases === 0) return false;
    return this.aloneForMs() > leases * leaseMs;
  }

  /** How long this daemon has been on the smaller side. */
  private aloneForMs(): number {
    const { fleet, timers } = this.options;
    const isSmaller = fleet.alive().length * 2 < fleet.possible();
    if (!isSmaller) this.smallerSince = undefined;
    else this.smallerSince ??= timers.now();
    return this.smallerSince === undefined ? 0 : timers.now() - this.smallerSince;
  }

  private claim(replica: string): void {
    const { self, timers } = this.options;
    const own = hash32(self) % TOKEN_FACTOR;
    const highest = Math.max(this.lastToken, this.claims.get(replica)?.token ?? 0);
    const base = Math.max(timers.wall(), Math.floor(highest / TOKEN_FACTOR) + 1);
    const token = Math.floor(base) * TOKEN_FACTOR + own;
    this.lastToken = token;
    const claim: Claim = { replica, holder: self, token };
    this.claims.set(replica, claim);
    this.options.onGain(claim);
  }
}

function isSameList(left: readonly string[], right: readonly string[]): boolean {
  return left === right || (left.length === right.length && left.every((name, at) => name === right[at]));
}

/** The daemon that comes first for an engine by rendezvous hashing. */
function firstFor(replica: string, members: readonly string[]): string | undefined {
  let first: string | undefined;
  let highest = -1;
  for (const member of members) {
    const score = hash32(`${member}|${replica}`);
    if (score > highest) {
      highest = score;
      first = member;
    }
  }
  return first;
}
