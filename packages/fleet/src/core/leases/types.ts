/**
 * Types of slot leases. A slot lease lets a daemon run requests on an engine's adapter; the engine's owner
 * grants it.
 */
import type { EngineConfig, ResolvedAdapter } from '@celeryyoke/configuration';

/** A request that needs an engine. */
export interface DispatchRequest {
  readonly requestId: string;
  readonly adapter: ResolvedAdapter;
  /** Higher goes first. */
  readonly priority: number;
  /** Monotonic milliseconds; Infinity for none. */
  readonly deadlineAt: number;
  /**
   * Engines that the request must not use, because they failed it or because suspected requests occupy them.
   */
  readonly excluded: ReadonlySet<string>;
}

/** One request's use of a slot lease. */
export interface DispatchGrant {
  readonly engine: EngineConfig;
  /** Milliseconds that the request waited for an adapter to be loaded. */
  readonly loadWaitMs: number;
  /** Why this engine was chosen, for `celeryyoke explain`. */
  readonly reasons: readonly string[];
  /** Whether the lease is still valid; check it in the same synchronous step that sends the request. */
  isValid(): boolean;
  /**
   * Ends the request's use of the lease; further calls have no effect.
   * @param settled - Whether it is certain that the request no longer runs on the engine: it was not sent, it
   * was refused, or its response is complete. Defaults to false; the slot is then reused only after a report
   * of the engine shows it idle.
   */
  release(settled?: boolean): void;
}

/** Finds an engine for a request and obtains a lease on its slot. */
export interface Dispatcher {
  /**
   * Waits for a slot lease.
   * @param request - The request.
   * @param signal - Cancels the wait.
   * @throws CeleryyokeError with a not-run code when no engine grants a lease.
   */
  acquire(request: DispatchRequest, signal: AbortSignal): Promise<DispatchGrant>;
}

/** Durations, bounds and intervals of leases; in milliseconds, except for `clockDrift`. */
export interface LeaseTimes {
  /** Validity of a lease after it was requested or last renewed. */
  readonly leaseMs: number;
  /** Interval of renewals. */
  readonly renewMs: number;
  /** How long a holder keeps a lease that no request uses. */
  readonly lingerMs: number;
  /** Bound on the time between the check of a lease and the arrival of the request at the engine. */
  readonly sendBoundMs: number;
  /** Bound on the drift between two monotonic clocks, as a share. */
  readonly clockDrift: number;
  /** Timeout of a call between daemons that does not wait for a load. */
  readonly callTimeoutMs: number;
  /** Interval at which an owner polls its engines' reports. */
  readonly reportMs: number;
  /** Bound on the age of a report's content that the engine itself does not know of. */
  readonly reportLagMs: number;
  /** Timeout of a load order. */
  readonly loadTimeoutMs: number;
  /** Timeout of an unload order. */
  readonly unloadTimeoutMs: number;
  /** Longest wait of a request for a lease, also when its caller states no deadline. */
  readonly maxWaitMs: number;
}

/** Used for the times that the options leave out. */
export const DEFAULT_LEASE_TIMES: LeaseTimes = {
  leaseMs: 3000,
  renewMs: 500,
  lingerMs: 1500,
  sendBoundMs: 1000,
  clockDrift: 0.01,
  callTimeoutMs: 1000,
  reportMs: 200,
  reportLagMs: 300,
  loadTimeoutMs: 10_000,
  unloadTimeoutMs: 2000,
  maxWaitMs: 60_000,
};
