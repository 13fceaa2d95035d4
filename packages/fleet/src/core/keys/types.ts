/** Idempotency keys: a non-idempotent request runs at most once in the fleet. */
import type { Log, Metrics, TimerService } from '@celeryyoke/core';

import type { Custody } from '../custody/index.js';
import type { PeerBus } from '../peers/index.js';

/** How the run of a key ended. */
export enum KeyOutcome {
  /** It is proved that nothing ran; the key may be tried again. */
  NotRun = 'not-run',
  /** It ran and its answer came. */
  Done = 'done',
  /** It may have run. */
  Unknown = 'unknown',
}

/** A key that was admitted for one run. */
export interface KeyAdmission {
  /** Reports how the run ended; never rejects, as a report that is lost leaves the key refused. */
  settle(outcome: KeyOutcome): Promise<void>;
}

/** The fleet's ledger of keys. */
export interface KeyLedger {
  /**
   * Admits a key for one run.
   * @param key - The caller's name and its UUIDv7, unique in the fleet, such as `caller/0198…`.
   * @param fingerprint - Hash of the request, so that a key can't be used for another.
   * @param signal - Gives up.
   * @returns The admission.
   * @throws CeleryyokeError KeyUnproved, KeyOutcomeUnknown, KeyAlreadyRan, KeyReused, KeyExpired, KeyRequired,
   * KeyFromFuture or Overloaded.
   */
  admit(key: string, fingerprint: string, signal: AbortSignal): Promise<KeyAdmission>;
  /** Records held here, as home or backup. */
  size(): number;
  /** Ends the ledger's timers. */
  stop(): void;
}

/** Options of the ledger. */
export interface KeyLedgerOptions {
  readonly bus: PeerBus;
  readonly custody: Custody;
  readonly timers: TimerService;
  readonly log: Log;
  readonly metrics?: Metrics;
  /** Age above which a key is refused for good; 900,000 ms when left out. */
  readonly retentionMs?: number;
  /** Greatest difference between a caller's clock and a daemon's; 2,000 ms when left out. */
  readonly clockBoundMs?: number;
  /** Records held here above which new keys are refused as not run; 100,000 when left out. */
  readonly maxRecords?: number;
  /** Longest time for one call to a peer; 500 ms when left out. */
  readonly callTimeoutMs?: number;
}
