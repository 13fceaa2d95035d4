/** Who owns a resource: computed from the host list, held only as long as the list is fresh. */
import type { AuditTrail, Log, TimerService } from '@celeryyoke/core';

import type { Membership, ViewAgreement } from '../membership/index.js';
import type { PeerBus } from '../peers/index.js';

/** What this daemon may do about a resource. */
export enum Authority {
  /** Another daemon owns it, or this one is in doubt. */
  None = 'none',
  /** This daemon is the owner, but waits out the lease of the last one. */
  Waiting = 'waiting',
  /** Orders that remove nothing may be sent; another daemon may hold authority too. */
  Additive = 'additive',
  /** Every order may be sent; no other daemon has authority, nor an order of its own under way. */
  Full = 'full',
}

/** Owners of resources. */
export interface Ownership {
  /** The daemon that owns a resource, by this daemon's view. */
  ownerOf(resource: string): string | undefined;
  /** What this daemon may do about a resource at this moment; ask in the same step that sends the order. */
  authority(resource: string): Authority;
  /**
   * Whether slot leases on what the engine has loaded may be granted at this moment: under full authority, and when
   * the host list is stale for most of the fleet, so that no other daemon can have become the owner.
   */
  mayGrant(resource: string): boolean;
  /** Fencing number for orders about a resource. */
  fencing(resource: string): number;
  /** Notes the fencing number that an engine shows in a report or an answer; call it for each report. */
  observeFencing(resource: string, fencing: number): void;
  /**
   * Whether the engine has not shown this owner's fencing number yet. Any order carries it there; if there is none
   * to send, an order for the role that the engine has already does.
   */
  needsClaim(resource: string): boolean;
  /**
   * Notes an order about a resource under way; the resource is not handed over before it has ended.
   * @returns Ends it; an order whose outcome is unknown ends only when its time limit has passed.
   */
  orderBegan(resource: string): () => void;
  /** Subscribes to ownership taken and lost, and to changes of authority. */
  subscribe(listener: (resource: string, authority: Authority) => void): () => void;
}

/** Who decides when two daemons both hold themselves for the owner. */
export enum Arbitration {
  /** The engine: it refuses orders with an old fencing number. */
  Fenced = 'fenced',
  /** Nobody: the new owner waits. Orders that remove nothing may be sent meanwhile. */
  Unfenced = 'unfenced',
  /** Nobody: the new owner waits and does nothing meanwhile, as with load permits. */
  Exclusive = 'exclusive',
}

/** A resource that has an owner. */
export interface OwnedResource {
  readonly name: string;
  readonly arbitration: Arbitration;
}

/** Times that the bounds of a take-over are made from, in milliseconds. */
export interface OwnershipTimes {
  /** Longest age of the view of the host list under which an owner acts. */
  readonly leaseMs: number;
  /** Longest time by which the host list lags. */
  readonly hostListLagMs: number;
  /** Time limit of an order that removes something, with the time that it may need to arrive. */
  readonly removalMs: number;
  /** Interval between reads of an engine's report. */
  readonly reportPollMs: number;
  /** Longest time by which an engine's report lags. */
  readonly reportLagMs: number;
  /** Longest time for which a slot lease lets its holder start requests. */
  readonly slotLeaseMs: number;
  /** Bound on the drift between two monotonic clocks, as a share. */
  readonly driftShare: number;
  /** For how long the owner that was goes on without a fresh host list. */
  readonly staleLimitMs: number;
  /** Interval of the checks, and of the questions to the last owner. */
  readonly tickMs: number;
  /** Time limit of one question. */
  readonly peerTimeoutMs: number;
}

/** What ownership needs of membership. */
export interface OwnershipMembership extends Membership {
  /** Counts the peers that hold the same view now. */
  viewAgreement(): ViewAgreement;
}

/** Options of ownership. */
export interface OwnershipOptions {
  readonly bus: PeerBus;
  readonly membership: OwnershipMembership;
  readonly timers: TimerService;
  readonly log: Log;
  readonly audit: AuditTrail;
  /** Resources that the configuration in force names. */
  readonly resources: () => readonly OwnedResource[];
  readonly times?: Partial<OwnershipTimes>;
  /** Whether leases are checked and waited out; only the failure tests switch it off. */
  readonly checksLeases?: boolean;
}

/** Ownership as the process runs it. */
export interface ManagedOwnership extends Ownership {
  /** Starts the checks. */
  start(): void;
  /**
   * Gives up everything for good and hands it to the next owners, for a graceful shutdown.
   * @param signal - Gives up waiting for orders that are under way.
   * @returns A promise that settles when the next owners were told.
   */
  handOver(signal: AbortSignal): Promise<void>;
  /** Stops the checks. */
  stop(): Promise<void>;
}
