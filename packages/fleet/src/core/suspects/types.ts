/** Requests that crash the upstreams that run them. */
import type { AuditTrail, Log, Suspicion, TimerService } from '@celeryyoke/core';

import type { Membership } from '../membership/index.js';
import type { PeerBus } from '../peers/index.js';

/** Leave for a suspect to run on an upstream where no other suspect runs. */
export interface IsolationPass {
  /** Gives the upstream back; calling it twice does nothing. */
  leave(): void;
}

/** A fingerprint that is refused. */
export interface Quarantine {
  readonly fingerprint: string;
  /** Upstreams that it crashed. */
  readonly upstreams: readonly string[];
  /** Time left in milliseconds. */
  readonly remainingMs: number;
}

/** Suspects of the fleet. */
export interface SuspectRegistry {
  /** Looks a request up. */
  lookUp(fingerprint: string): Suspicion;
  /** Upstreams where another suspect runs, to which a suspect may not go. */
  upstreamsWithSuspects(): ReadonlySet<string>;
  /**
   * Claims an upstream for a suspect, at the one daemon that arbitrates it.
   * @param fingerprint - The suspect.
   * @param upstream - Where it would run.
   * @returns Leave, or undefined when another suspect runs there or the arbiter can't be asked.
   */
  isolate(fingerprint: string, upstream: string): Promise<IsolationPass | undefined>;
  /** Notes that a request started on an upstream. */
  started(fingerprint: string, upstream: string): void;
  /** Notes that a request ended on an upstream without a crash; a suspect that ended well is cleared. */
  ended(fingerprint: string, upstream: string, ok: boolean): void;
  /**
   * Notes that an upstream crashed; every request in flight there becomes a suspect.
   * @param upstream - The upstream.
   * @returns A promise that settles when the peers that can be reached know; await it before the callers are
   * answered, so that a resend finds every daemon warned.
   */
  crashed(upstream: string): Promise<void>;
  /** Lists the quarantines in force. */
  quarantines(): readonly Quarantine[];
  /** Ends the registry's timers. */
  stop(): void;
}

/** Options of the registry. */
export interface SuspectRegistryOptions {
  readonly bus: PeerBus;
  readonly membership: Membership;
  readonly timers: TimerService;
  readonly log: Log;
  readonly audit: AuditTrail;
  /** Time for which a crashing request is refused; 600,000 ms when left out. */
  readonly quarantineMs?: number;
  /** Time after which a suspect that was not seen again is forgotten; 600,000 ms when left out. */
  readonly suspectMs?: number;
  /** Crashes that put a request in quarantine; 2 when left out. */
  readonly maxCrashes?: number;
  /** Reports about one upstream within this time are of one crash; 3,000 ms when left out. */
  readonly sameCrashMs?: number;
  /** Most fingerprints that are kept; 4,096 when left out. */
  readonly capacity?: number;
  /** Longest time to tell a peer; 300 ms when left out. */
  readonly callTimeoutMs?: number;
}
