/** Limits of callers that hold for the whole fleet. */
import type { CallerConfig } from '@celeryyoke/configuration';
import type { Log, TimerService } from '@celeryyoke/core';

import type { Custody } from '../custody/index.js';
import type { Membership } from '../membership/index.js';
import type { PeerBus } from '../peers/index.js';

/** Leave for one request under a caller's limits. */
export interface LimitPass {
  /** Gives the concurrency back; calling it twice does nothing. */
  leave(): void;
}

/** Limits of callers. */
export interface CallerLimits {
  /**
   * Counts a request against its caller's limits; it may first ask for a greater share, which takes one call
   * to a peer.
   * @param caller - The caller.
   * @param signal - Gives up.
   * @returns Leave for it.
   * @throws CeleryyokeError LimitExceeded with a time to come back.
   */
  enter(caller: CallerConfig, signal?: AbortSignal): Promise<LimitPass>;
  /** Gives all shares back, for a graceful shutdown; requests that run keep theirs. */
  leave(): Promise<void>;
  /** Ends the exchange with peers. */
  stop(): Promise<void>;
}

/** Options of the limits of callers. */
export interface CallerLimitsOptions {
  readonly bus: PeerBus;
  readonly membership: Membership;
  /** Names the one daemon that divides a caller's limits. */
  readonly custody: Custody;
  readonly timers: TimerService;
  readonly log: Log;
  /** Time between exchanges about active callers; 200 ms when left out. */
  readonly exchangeMs?: number;
  /** Time without requests after which a caller's share is given back; 5,000 ms when left out. */
  readonly idleAfterMs?: number;
  /** Longest time for one call to a peer; 300 ms when left out. */
  readonly callTimeoutMs?: number;
}
