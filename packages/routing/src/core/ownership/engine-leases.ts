/**
 * Ownership of engines: which daemon may send orders to which engine.
 *
 * The owner of an engine is the daemon that holds its lease. It keeps the lease for as long as it is alive,
 * so a daemon that joins moves no engines. An engine without an owner goes to the living daemon that
 * rendezvous hashing selects: at once when the owner's process has ended, is shutting down or can't reach the
 * engine, after a timeout when the owner is only silent.
 *
 * Every lease carries a fencing token: the time of day in milliseconds in its high part, and in its low part
 * an id derived from the daemon's address, which keeps the tokens of different daemons apart. Of two leases
 * on one engine, the one with the higher token wins.
 */
import type { TimerService } from '@celeryyoke/core';
import { hash32 } from '@celeryyoke/core';

import { MemberState } from '../cluster/index.js';
import { rendezvousOwner } from './rendezvous.js';

/**
 * Number of daemon ids in the low part of a token. With 2^12, tokens stay safe integers until the year 2039.
 */
const DAEMON_ID_RANGE = 4096;
/**
 * Time after which a silent owner loses its engines where engines refuse older tokens, in milliseconds. Its
 * orders can't take effect after those of the next owner there, so the timeout only prevents moves after a
 * short silence.
 */
const FENCED_SILENCE_TIMEOUT_MS = 500;
/**
 * Number of lease durations that a minority waits before it claims the engines of silent daemons and sends
 * orders again: it is more likely to be cut off than the others are to be gone.
 */
const MINORITY_WAIT_LEASES = 3;
/** Time in which an order that was sent arrives, in milliseconds, or is cut off with its connection. */
const ORDER_TRANSIT_MS = 300;
/** Number of lease durations for which this daemon doesn't claim an engine that refused its token. */
const REFUSED_TOKEN_BACKOFF_LEASES = 2;

/** The right of one daemon to send orders to one engine. */
export interface EngineLease {
  /** Incarnation of the engine. */
  readonly replica: string;
  /** Address of the daemon that holds the lease: the owner of the engine. */
  readonly holder: string;
  /** Fencing token that the owner's orders carry. */
  readonly token: number;
}

/** Fleet membership as the leases see it. */
export interface FleetMembership {
  /** Addresses of the living daemons. */
  aliveAddresses(): readonly string[];
  /** Number of daemons that may be running: alive or silent. */
  aliveOrSilentCount(): number;
  state(address: string): MemberState;
  /** Time since a daemon was last alive, in milliseconds; 0 while it is alive. */
  downForMs(address: string): number;
}

/** Options of {@link EngineLeases}. */
export interface EngineLeasesOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly fleet: FleetMembership;
  readonly timers: TimerService;
  /** Longest time for which a silent owner may still send orders, in milliseconds. */
  readonly leaseMs: number;
  /** Whether engines refuse an order with a lower token than one that they have seen. */
  readonly isFenced: boolean;
  /** Whether this daemon was paused so recently that its state of the fleet may be out of date. */
  readonly isRecovering: () => boolean;
  /**
   * Whether this daemon's state of the fleet is so recent that it can't have missed a claim by another
   * daemon.
   */
  readonly isUpToDate: () => boolean;
  /** Whether a daemon has published that it can't reach an engine. */
  readonly isCutOff: (address: string, replica: string) => boolean;
  /** Whether this daemon knows the other daemons and the leases that they hold. */
  readonly hasSettled: () => boolean;
  /** Called when this daemon has become the owner of an engine. */
  readonly onGain: (lease: EngineLease) => void;
  /** Called when this daemon is no longer the owner of an engine. */
  readonly onLoss: (lease: EngineLease, reason: string) => void;
}

/** Table of all known leases; claims engines without an owner for this daemon. */
export class EngineLeases {
  private readonly leases = new Map<string, EngineLease>();

  /** Engines that refused this daemon's token, with the monotonic time until which they are not claimed. */
  private readonly backoffUntil = new Map<string, number>();

  /** Monotonic times of this daemon's latest orders, by engine, in milliseconds. */
  private readonly orderedAt = new Map<string, number>();

  /** Engines whose lease this daemon has, and to which it sends no orders as it can't reach them. */
  private readonly resigned = new Set<string>();

  private lastToken = 0;

  /** Monotonic time since which this daemon sees less than half of the fleet alive, in milliseconds. */
  private minoritySince: number | undefined;

  private isClosed = false;

  private isLeaving = false;

  constructor(private readonly options: EngineLeasesOptions) {}

  /**
   * Returns the lease of an engine.
   * @param replica - Incarnation of the engine.
   * @returns The lease, or undefined when the engine has no owner.
   */
  leaseOf(replica: string): EngineLease | undefined {
    return this.leases.get(replica);
  }

  /** All known leases. */
  allLeases(): EngineLease[] {
    return [...this.leases.values()];
  }

  /** The leases that this daemon holds. */
  ownLeases(): EngineLease[] {
    return [...this.leases.values()].filter(
      ({ holder, replica }) => holder === this.options.self && !this.resigned.has(replica),
    );
  }

  /**
   * Checks whether this daemon may send an order to an engine now. Call it in the same step that sends the
   * order.
   * @param replica - The engine.
   * @returns The fencing token for the order, or undefined when no order may be sent.
   */
  tokenForOrder(replica: string): number | undefined {
    const lease = this.leases.get(replica);
    if (this.isClosed || lease?.holder !== this.options.self || this.resigned.has(replica)) return undefined;
    const { isFenced, isUpToDate } = this.options;
    if (!isFenced && !isUpToDate()) return undefined;
    return this.options.isRecovering() || !this.hasQuorum(MINORITY_WAIT_LEASES) ? undefined : lease.token;
  }

  /** Records that this daemon sends an order to an engine. */
  recordOrder(replica: string): void {
    this.orderedAt.set(replica, this.options.timers.now());
  }

  /**
   * Merges a lease that another daemon published.
   * @param lease - The lease.
   * @returns Whether it replaced the known lease.
   */
  merge(lease: EngineLease): boolean {
    const known = this.leases.get(lease.replica);
    if (known !== undefined && known.token >= lease.token) return false;
    this.leases.set(lease.replica, lease);
    const wasResigned = this.resigned.delete(lease.replica);
    if (known?.holder === this.options.self && lease.holder !== this.options.self && !wasResigned)
      this.options.onLoss(known, `claimed by ${lease.holder}`);
    return true;
  }

  /**
   * Gives up an engine that refused a token of this daemon, which means that another daemon has sent it
   * orders since.
   * @param replica - The engine.
   * @param token - The refused token.
   */
  handleRefusedToken(replica: string, token: number): void {
    const lease = this.leases.get(replica);
    if (lease?.token !== token) return;
    this.leases.delete(replica);
    this.backoffUntil.set(
      replica,
      this.options.timers.now() + REFUSED_TOKEN_BACKOFF_LEASES * this.options.leaseMs,
    );
    this.options.onLoss(lease, 'its token was refused');
  }

  /**
   * Stops sending orders to the engines that this daemon can't reach. Others may claim them as soon as they know;
   * if none does, this daemon takes them back when it reaches them again.
   */
  resignUnreachable(): void {
    if (this.isClosed || this.isLeaving) return;
    const { self, isCutOff, onLoss } = this.options;
    for (const lease of this.ownLeases()) {
      if (!isCutOff(self, lease.replica)) continue;
      this.resigned.add(lease.replica);
      onLoss(lease, 'the engine can’t be reached from here');
    }
  }

  /**
   * Removes an engine that no longer exists.
   * @param replica - The engine.
   */
  forget(replica: string): void {
    const lease = this.leases.get(replica);
    this.leases.delete(replica);
    this.backoffUntil.delete(replica);
    this.orderedAt.delete(replica);
    const wasResigned = this.resigned.delete(replica);
    if (lease?.holder === this.options.self && !wasResigned)
      this.options.onLoss(lease, 'the engine was removed');
  }

  /**
   * Claims the engines that have no owner and that rendezvous hashing assigns to this daemon.
   * @param replicas - All engines.
   */
  claimUnowned(replicas: Iterable<string>): void {
    const { hasSettled, isRecovering } = this.options;
    if (this.isClosed || this.isLeaving || !hasSettled() || isRecovering()) return;
    for (const replica of replicas)
      if (this.isClaimable(replica) && this.isAssigned(replica)) this.claim(replica);
  }

  /** Whether an engine without an owner falls to this daemon: to nobody else if it has resigned it itself. */
  private isAssigned(replica: string): boolean {
    const { fleet, self, isCutOff } = this.options;
    if (isCutOff(self, replica)) return false;
    if (this.resigned.has(replica)) return true;
    const reaching = fleet.aliveAddresses().filter((address) => !isCutOff(address, replica));
    return rendezvousOwner(replica, reaching) === self;
  }

  /**
   * Stops claiming engines before a shutdown. This daemon keeps the leases that it holds until another daemon
   * claims them: in a rolling restart there may be no daemon for seconds that could.
   */
  stopClaiming(): void {
    this.isLeaving = true;
  }

  /** Ends all claims and withdraws this daemon's right to send orders. */
  close(): void {
    this.isClosed = true;
  }

  private isClaimable(replica: string): boolean {
    const { fleet, leaseMs, isFenced, timers, isCutOff } = this.options;
    if (timers.now() < (this.backoffUntil.get(replica) ?? 0) || this.mayHaveOverlap(replica)) return false;
    const lease = this.leases.get(replica);
    if (lease === undefined || this.resigned.has(replica)) return true;
    const state = fleet.state(lease.holder);
    if (state === MemberState.Ended || state === MemberState.Leaving) return true;
    if (state === MemberState.Alive) return isCutOff(lease.holder, replica);
    const majorityTimeoutMs = isFenced ? Math.min(FENCED_SILENCE_TIMEOUT_MS, leaseMs) : leaseMs;
    const timeoutMs = this.hasQuorum(0) ? majorityTimeoutMs : leaseMs * MINORITY_WAIT_LEASES;
    return fleet.downForMs(lease.holder) > timeoutMs;
  }

  /**
   * Whether the lease of this daemon's latest order may still run at an engine that it has lost or resigned since:
   * another owner may have ordered meanwhile, and two owners must not take turns within a lease.
   */
  private mayHaveOverlap(replica: string): boolean {
    const { leaseMs, timers } = this.options;
    const orderedAt = this.orderedAt.get(replica);
    return orderedAt !== undefined && timers.now() - orderedAt < leaseMs + ORDER_TRANSIT_MS;
  }

  /**
   * Whether this daemon sees at least half of the fleet alive, or has been in a minority for long enough to
   * act alone.
   * @param waitLeases - Lease durations after which a minority may act; 0 for never.
   */
  private hasQuorum(waitLeases: number): boolean {
    const { fleet, leaseMs } = this.options;
    const alive = fleet.aliveAddresses().length;
    if (alive * 2 >= fleet.aliveOrSilentCount()) return true;
    if (waitLeases === 0) return false;
    return this.minorityForMs() > waitLeases * leaseMs;
  }

  /** How long this daemon has seen less than half of the fleet alive. */
  private minorityForMs(): number {
    const { fleet, timers } = this.options;
    const isMinority = fleet.aliveAddresses().length * 2 < fleet.aliveOrSilentCount();
    if (!isMinority) this.minoritySince = undefined;
    else this.minoritySince ??= timers.now();
    return this.minoritySince === undefined ? 0 : timers.now() - this.minoritySince;
  }

  private claim(replica: string): void {
    const { self, timers } = this.options;
    const daemonId = hash32(self) % DAEMON_ID_RANGE;
    const highest = Math.max(this.lastToken, this.leases.get(replica)?.token ?? 0);
    // A wall clock that was set back must not produce a lower token.
    const base = Math.max(timers.wall(), Math.floor(highest / DAEMON_ID_RANGE) + 1);
    const token = Math.floor(base) * DAEMON_ID_RANGE + daemonId;
    this.lastToken = token;
    this.resigned.delete(replica);
    const lease: EngineLease = { replica, holder: self, token };
    this.leases.set(replica, lease);
    this.options.onGain(lease);
  }
}
