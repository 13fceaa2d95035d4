/** Types of membership: the hosts that this daemon knows, and how current its view of them is. */
import type { AuditTrail, Log, TimerService } from '@celeryyoke/core';
import type { HostEntry, HostListSource, HostRole } from '@celeryyoke/platform';

import type { ManagedPeerBus } from '../peers/index.js';

/** The hosts as one daemon sees them. */
export interface Membership {
  /** Returns the hosts of a role, including those that are leaving. */
  hosts(role: HostRole): readonly HostEntry[];
  /** Returns the host of a name; undefined when it is not listed. */
  findHost(name: string): HostEntry | undefined;
  /** Whether the host is live: listed and not leaving. */
  isLive(name: string): boolean;
  /**
   * Whether a peer responds to heartbeats. A live peer without a permanent link counts as reachable until a
   * connection to it fails.
   */
  isReachable(peer: string): boolean;
  /** Last known incarnation of a peer; undefined when it was never connected. */
  incarnationOf(peer: string): number | undefined;
  /** Current age in milliseconds of the host list in use; `Infinity` before the first one. */
  ageMs(): number;
  /**
   * Whether this process was paused and has not confirmed its view since; it must not act on the view until
   * then.
   */
  needsConfirmation(): boolean;
  /**
   * Subscribes to changes of the hosts or of a peer's incarnation, and to each accepted read of the host
   * list.
   */
  subscribe(listener: () => void): () => void;
}

/** How many daemons have the same view as this one. */
export interface ViewAgreement {
  /** Linked live peers that respond to heartbeats and list the same live entry hosts, plus this daemon. */
  readonly agreeing: number;
  /** All live peers to which a link is kept, plus this daemon. */
  readonly known: number;
}

/** Membership with its life cycle, for the process that runs it. */
export interface ManagedMembership extends Membership {
  /**
   * Digest of the hosts in the view; equal on all daemons that have the same list. Empty before the first
   * one.
   */
  digest(): string;
  /** Version of the list; undefined when the platform provides none. */
  version(): number | undefined;
  /** Counts the daemons that have the same view now. */
  viewAgreement(): ViewAgreement;
  /**
   * Keeps links to further peers, in addition to the chosen neighbours.
   * @param purpose - Identifies the request; a later one of the same purpose replaces it.
   */
  pinLinks(purpose: string, peers: readonly string[]): void;
  /** Starts to read the host list regularly. */
  start(): void;
  /** Stops reading the list and detecting pauses. */
  stop(): Promise<void>;
}

/** Limits and intervals of membership. */
export interface MembershipSettings {
  /** Interval between reads of the host list. */
  readonly pollMs: number;
  /** Timeout of one read of the host list. */
  readonly readTimeoutMs: number;
  /** Timeout of one request to a peer. */
  readonly peerTimeoutMs: number;
  /** Target of reads from the platform per second by all daemons together; the other reads ask peers. */
  readonly fleetReadsPerSecond: number;
  /** A peer without a heartbeat for this time counts as unreachable. */
  readonly suspectMs: number;
  /** Interval of the ticks that detect pauses. */
  readonly tickMs: number;
  /** A tick that is late by more than this, by either clock, counts as a pause. */
  readonly pauseMs: number;
  /** Bound on the drift between two monotonic clocks, as a fraction. */
  readonly driftShare: number;
  /** Most neighbours to which links are kept; pinned peers come on top. */
  readonly maxPeers: number;
  /** A list that lacks more than this share of the hosts of a role at once is held back. */
  readonly panicShare: number;
  /** Time for which such a list is held back while every read returns one. */
  readonly panicHoldMs: number;
  /**
   * Time in which only older versions must be read until one is accepted, as after a restore of the platform.
   */
  readonly versionResetMs: number;
}

/** Options of membership. */
export interface MembershipOptions {
  readonly source: HostListSource;
  readonly bus: ManagedPeerBus;
  readonly timers: TimerService;
  readonly log: Log;
  readonly audit: AuditTrail;
  readonly settings?: Partial<MembershipSettings>;
  /**
   * Random numbers from 0 to 1 that choose between platform and peers, and which peers; `Math.random` by
   * default.
   */
  readonly random?: () => number;
}
