/** Leave to load adapters from a weight store, given by the store's owner. */
import type { Log, TimerService } from '@celeryyoke/core';
import type { ConfigHolder } from '@celeryyoke/configuration';
import type {
  AdapterKey,
  EngineOffer,
  PermitOutcome,
  PlacementPolicy,
  SiteView,
} from '@celeryyoke/placement';

import type { Ownership } from '../ownership/index.js';
import type { PeerBus } from '../peers/index.js';

/** Leave for an engine's owner to load one adapter. */
export interface GrantedPermit {
  readonly store: string;
  readonly key: AdapterKey;
  /** Number of the permit at the store's owner; undefined when the engine uses its own share of the rate. */
  readonly id: number | undefined;
}

/** What an engine's owner does with permits. */
export interface PermitUser {
  /**
   * Takes a permit and begins to use it.
   * @returns Whether it is used; an unused one is given back at once.
   */
  permit(permit: GrantedPermit): boolean;
  /** Sends the requests that wait for a key to another engine, which loads it. */
  redirect(key: AdapterKey, to: string): void;
}

/** An engine owner's access to permits. */
export interface PermitDesk {
  /**
   * Registers the user of an engine's permits.
   * @returns Ends the registration.
   */
  serve(engine: string, store: string, user: PermitUser): () => void;
  /** Replaces what an engine wants and the room that it has. */
  offer(store: string, offer: EngineOffer): void;
  /** Ends the use of a permit. */
  done(permit: GrantedPermit, outcome: PermitOutcome): void;
}

/** Times on which permits rest, in milliseconds. */
export interface PermitTimes {
  /** Interval at which offers are told again. */
  readonly offerMs: number;
  /** How long changed offers are gathered into one message. */
  readonly gatherMs: number;
  /** How long a store's owner may use the share of an engine whose offer it has. */
  readonly shareMs: number;
  /** How long a permit holds; longer than the longest load. */
  readonly permitMs: number;
  readonly callTimeoutMs: number;
  /** Bound on the error of our own hosts' wall clocks. */
  readonly clockErrorMs: number;
}

/** The times when the settings state no others. */
export const DEFAULT_PERMIT_TIMES: PermitTimes = {
  offerMs: 500,
  gatherMs: 5,
  shareMs: 3000,
  permitMs: 15_000,
  callTimeoutMs: 1000,
  clockErrorMs: 50,
};

/** Options of the owners of weight stores. */
export interface PermitOwnersOptions {
  readonly bus: PeerBus;
  readonly timers: TimerService;
  readonly log: Log;
  readonly config: ConfigHolder;
  readonly ownership: Ownership;
  readonly policy: PlacementPolicy;
  /** What the daemon knows of all engines, for loads that nothing waits for yet. */
  readonly site?: SiteView | undefined;
  readonly times?: Partial<PermitTimes> | undefined;
}

/** The weight stores that this daemon owns, and its own engines' access to all stores. */
export interface PermitOwners {
  /** Access for this daemon's engine owners. */
  readonly desk: PermitDesk;
  /** Begins to serve. */
  start(): void;
  /** Ends all timers. */
  stop(): Promise<void>;
}

/**
 * Names a weight store as a resource that is owned.
 * @param store - The store.
 */
export function storeResource(store: string): string {
  return `store/${store}`;
}
