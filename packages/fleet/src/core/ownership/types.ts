/**
 * Types of resource ownership, which is computed from the host list and valid only while the list is fresh.
 */
import type { AuditTrail, Log, TimerService } from '@celeryyoke/core';

import type { Membership, ViewAgreement } from '../membership/index.js';
import type { PeerBus } from '../peers/index.js';

/** What this daemon may do about a resource. */
export enum Authority {
  /** Another daemon owns it, or this one is in doubt. */
  None = 'none',
  /** This daemon is the owner, but waits until the previous owner can no longer act. */
  Waiting = 'waiting',
  /** Orders that remove nothing may be sent; another daemon may have authority too. */
  Additive = 'additive',
  /** Every order may be sent; no other daemon has authority or an order in flight. */
  Full = 'full',
}

/** Tells which daemon owns a resource, and what this daemon may do about it. */
export interface Ownership {
  /** The daemon that owns a resource in this daemon's view. */
  ownerOf(resource: string): string | undefined;
  /**
   * What this daemon may do about a resource at this moment; call it in the same step that sends the order.
   */
  authority(resource: string): Authority;
  /**
   * Whether slot leases on resident adapters may be granted at this moment: under full authority, and when
   * the host list is stale for most of the fleet, so that no other daemon can have become the owner.
   */
  mayGrantSlotLeases(resource: string): boolean;
  /** Fencing token for orders about a resource. */
  fencingToken(resource: string): number;
  /** Records the fencing token in a report or response of an engine; call it for each report. */
  observeFencingToken(resource: string, token: number): void;
  /**
   * Whether the engine has not reported this owner's fencing token yet. Any order carries the token to the
   * engine; if there is none to send, use an order that sets the engine's current role.
   */
  needsClaim(resource: string): boolean;
  /**
   * Counts an order in flight; the resource is not handed over before it has ended.
   * @returns A function that marks the order as ended. An order whose outcome is unknown ends at its timeout.
   */
  trackOrder(resource: string): () => void;
  /** Subscribes to changes of authority, gain and loss of ownership included. */
  subscribe(listener: (resource: string, authority: Authority) => void): () => void;
}

/** What keeps two daemons that both consider themselves the owner from sending conflicting orders. */
export enum Arbitration {
  /** The engine refuses orders with an old fencing token. */
  Fenced = 'fenced',
  /** The new owner waits; orders that remove nothing may be sent meanwhile. */
  Unfenced = 'unfenced',
  /** The new owner waits and sends no orders meanwhile, as with load permits. */
  Exclusive = 'exclusive',
}

/** A resource that has an owner. */
export interface OwnedResource {
  readonly name: string;
  readonly arbitration: Arbitration;
}

/** Times from which the bounds of a take-over are derived. */
export interface OwnershipTimes {
  /** Greatest age of the host list view on which an owner acts. */
  readonly leaseMs: number;
  /** Greatest lag of the host list. */
  readonly hostListLagMs: number;
  /** Timeout of an order that removes something, including the time that it may need to arrive. */
  readonly removalTimeoutMs: number;
  /** Interval between reads of an engine's report. */
  readonly reportPollMs: number;
  /** Greatest lag of an engine's report. */
  readonly reportLagMs: number;
  /** Longest time for which a holder may start requests under a slot lease. */
  readonly slotLeaseMs: number;
  /** Bound on the relative drift between two monotonic clocks, from 0 to 1. */
  readonly driftShare: number;
  /** Longest time for which an owner continues without a fresh host list. */
  readonly staleLimitMs: number;
  /** Interval of the checks and of the requests to the previous owner. */
  readonly tickMs: number;
  /** Timeout of one call to a peer. */
  readonly peerTimeoutMs: number;
}

/** Membership with the operations that ownership needs. */
export interface OwnershipMembership extends Membership {
  /** Counts the peers that currently have the same view. */
  viewAgreement(): ViewAgreement;
}

export interface OwnershipOptions {
  readonly bus: PeerBus;
  readonly membership: OwnershipMembership;
  readonly timers: TimerService;
  readonly log: Log;
  readonly audit: AuditTrail;
  /** Resources named in the current configuration; a new array when they change. */
  readonly resources: () => readonly OwnedResource[];
  readonly times?: Partial<OwnershipTimes>;
  /** Whether leases are checked and take-overs wait; only tests of failures disable it. */
  readonly checksLeases?: boolean;
}

/** Ownership with its lifecycle. */
export interface ManagedOwnership extends Ownership {
  /** Starts the periodic checks. */
  start(): void;
  /**
   * Gives up all resources for good and releases them to the next owners, for a graceful shutdown.
   * @param signal - Stops the wait for orders in flight and for the next owners.
   * @returns A promise that settles when each resource has been released or can't be any more.
   */
  handOver(signal: AbortSignal): Promise<void>;
  /** Stops the periodic checks. */
  stop(): Promise<void>;
}
