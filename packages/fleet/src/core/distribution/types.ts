/** Types of the distribution of one configuration to every daemon. */
import type { ConfigHolder } from '@celeryyoke/configuration';
import type { AuditTrail, Log, Metrics, TimerService } from '@celeryyoke/core';
import type { ConfigSource } from '@celeryyoke/platform';

import type { Membership } from '../membership/index.js';
import type { PeerBus } from '../peers/index.js';

/** Times and bounds of the distribution; durations in milliseconds. */
export interface DistributionSettings {
  /** Longest wait of one watch. */
  readonly watchMs: number;
  /** Least time between two watches, so that a service which answers at once is not read in a loop. */
  readonly watchGapMs: number;
  /** First wait after a failure; it doubles with each. */
  readonly retryMinMs: number;
  /** Longest wait after a failure. */
  readonly retryMaxMs: number;
  /** Longest time for one call to a peer. */
  readonly peerTimeoutMs: number;
  /** Longest time for one read of the service. */
  readonly sourceTimeoutMs: number;
  /** Peers that a new process asks before it trusts the service. */
  readonly bootstrapPeers: number;
  /** Longest time that a new process waits for its peers' set before it begins to watch the service. */
  readonly bootstrapMs: number;
  /** Interval at which announcements and held sets are looked at again. */
  readonly tickMs: number;
  /** A peer that was not heard for this time counts no more. */
  readonly peerMemoryMs: number;
  /** A peer that failed or answered wrongly is not asked for this time. */
  readonly avoidMs: number;
  /** Parts that are fetched at once. */
  readonly lanes: number;
}

/** Options of the distribution. */
export interface DistributionOptions {
  /** The site whose configuration this daemon follows. */
  readonly site: string;
  readonly holder: ConfigHolder;
  readonly source: ConfigSource;
  readonly bus: PeerBus;
  readonly membership: Membership;
  readonly timers: TimerService;
  readonly audit: AuditTrail;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly settings?: Partial<DistributionSettings>;
  /** Gives a number from 0 to 1 for jitter and the order of peers. */
  readonly random?: () => number;
}

/** Where a set was learnt of. */
export enum Origin {
  Service = 'service',
  Peer = 'peer',
}

/** A root document and where it came from. */
export interface Offer {
  readonly text: string;
  readonly origin: Origin;
  /** The peer, when one offered it. */
  readonly peer?: string | undefined;
}

/** What a daemon tells its peers in the heartbeat. */
export interface Announcement {
  /** Revision in force; 0 for none. */
  readonly revision: number;
  /** Digest of what is in force; empty for none. */
  readonly digest: string;
  /** Wall-clock time in milliseconds since when it is in force. */
  readonly since: number;
  /** Newest schema that this daemon reads. */
  readonly schema: number;
}

/** A set that was refused. */
export interface RefusedSet {
  readonly revision: number | undefined;
  readonly reason: string;
  /** Wall-clock time in ISO 8601. */
  readonly time: string;
}

/** A peer's announcement as an operator sees it. */
export interface PeerConfigStatus {
  readonly peer: string;
  readonly revision: number;
  readonly digest: string;
  /** Wall-clock time in ISO 8601 since when it is in force there. */
  readonly since: string;
}

/** What `celeryyoke config status` shows. */
export interface DistributionStatus {
  readonly revision: number;
  readonly digest: string;
  /** Wall-clock time in ISO 8601 since when it is in force; empty for none. */
  readonly since: string;
  readonly origin: string;
  readonly peers: readonly PeerConfigStatus[];
  readonly refused: readonly RefusedSet[];
}

/** Keeps one daemon at the newest configuration. */
export interface ConfigDistribution {
  /** Asks the peers, then follows peers and service; settles when the peers have been asked. */
  start(): Promise<void>;
  /** Ends every task. */
  stop(): Promise<void>;
  /** What is in force here and at the peers. */
  status(): DistributionStatus;
}
