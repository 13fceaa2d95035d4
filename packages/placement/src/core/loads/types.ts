/** The queue of loads before a weight store. */
import type { AdapterKey, LoadWant, PlacementPolicy, RoomView } from '../policy/index.js';

/** Options of a load queue. */
export interface LoadQueueOptions {
  /** Loads a second that the store allows, or this queue's share of them. */
  readonly loadsPerSecond: number;
  /** Loads that run at full speed together. */
  readonly concurrentLoads: number;
  /** How long a permit holds, in milliseconds; longer than the longest load. */
  readonly permitMs: number;
  /** First wait before a failed load is tried again, in milliseconds; it doubles up to `backoffMaxMs`. */
  readonly backoffMs?: number | undefined;
  /** Longest wait before a failed load is tried again, in milliseconds. */
  readonly backoffMaxMs?: number | undefined;
  readonly policy: PlacementPolicy;
}

/** What one engine wants loaded and the room that it has. */
export interface EngineOffer {
  readonly engine: string;
  readonly wants: readonly LoadWant[];
  /** Undefined while the engine may take no loads. */
  readonly room: RoomView | undefined;
}

/** Leave to load one adapter. */
export interface LoadPermit {
  readonly id: number;
  /** Engine that loads. */
  readonly engine: string;
  /** Engines at which requests wait for the key; those other than `engine` redirect them to it. */
  readonly from: readonly string[];
  readonly key: AdapterKey;
  /** Monotonic milliseconds when the permit lapses if it is not given back. */
  readonly expiresAt: number;
}

/** How a permit ended. */
export enum PermitOutcome {
  Loaded = 'loaded',
  Failed = 'failed',
  /** The load was not begun. */
  Unused = 'unused',
}

/** The queue of one store; it never grants more than the store's rate allows. */
export interface LoadQueue {
  /** Replaces what one engine wants and the room that it has. */
  offer(offer: EngineOffer, now: number): void;
  /** Replaces the loads that are proposed though nothing waits for them; they get idle store time only. */
  propose(wants: readonly LoadWant[], now: number): void;
  /** Forgets an engine that is gone. */
  forget(engine: string): void;
  /** Grants the next permit, if the rate allows one now and a load has room. */
  next(now: number): LoadPermit | undefined;
  /** Ends a permit. */
  done(id: number, outcome: PermitOutcome, now: number): void;
  /** Earliest time when the store allows another permit, monotonic milliseconds. */
  nextAt(now: number): number;
  /**
   * Earliest time when a load that is held back after a failure may be tried again.
   * @returns Monotonic milliseconds; Infinity when none is held back.
   */
  retryAt(now: number): number;
}
