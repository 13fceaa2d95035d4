/** Types of membership: the hosts that this daemon knows, and how current its view of them is. */
import type { AuditTrail, Log, TimerService } from '@celeryyoke/core';
import type { HostEntry, HostListSource, HostRole } from '@celeryyoke/platform';

import type { ManagedPeerBus } from '../peers/index.js';

/** The hosts as one daemon sees them. */
export interface Membership {
  /** Returns the hosts of a role, including those that are leaving. */
  hosts(role: HostRole): readonly HostEntry[];
  /** Returns the host with a name; undefined when it is not listed. */
  findHost(name: string): HostEntry | undefined;
  /** Whether the host is live: listed and not leaving. */
  isLive(name: string): boolean;
  /**
   * Whether a peer responds to heartbeats. A live peer to which no link is kept counts as reachable until
   * a connection to it fails.
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
   * list.
   */
  digest(): string;
  /** Version of the list; undefined when the platform provides none. */
  version(): number | undefined;
  /** Counts the daemons that have the same view now. */
  viewAgreement(): ViewAgreement;
  /**
   * Keeps links to further peers, in addition to the chosen neighbours.
   * @param purpose - What the links are for; a later call with the same purpose replaces its peers.
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
  /** Target number of reads from the platform per second by all daemons together; other reads go to peers. */
  readonly fleetReadsPerSecond: number;
  /** A peer without a heartbeat for this time counts as unreachable. */
  readonly suspectMs: number;
  /** Interval of the ticks that detect pauses. */
  readonly tickMs: number;
  /** A tick that is late by more than this, by either clock, counts as a pause. */
  readonly pauseMs: number;
  /** Bound on the drift between two monotonic clocks, as a fraction. */
  readonly driftShare: number;
  /** Maximum number of neighbours to which links are kept; pinned peers are not counted. */
  readonly maxPeers: number;
  /** A list that lacks more than this fraction of the hosts of a role at once is not accepted immediately. */
  readonly panicShare: number;
  /** Time for which every read must return such a list before one is accepted. */
  readonly panicHoldMs: number;
  /**
   * Time for which every read must return an older version than the one in use before one is accepted, as
   * after a restore of the platform.
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
   * Returns random numbers from 0 to 1; they decide whether a read asks the platform or peers, and which
   * peers. `Math.random` by default.
   */
  readonly random?: () => number;
}
