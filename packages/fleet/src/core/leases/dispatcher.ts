/**
 * Dispatches requests to engines: chooses an engine by the site state, then uses a lease that this daemon
 * already holds or requests one from the engine's owner.
 */
import type { Counter, Histogram, Log, Metrics, TimerService } from '@celeryyoke/core';
import { CeleryyokeError } from '@celeryyoke/core';
import type { ConfigHolder } from '@celeryyoke/configuration';
import type { PlacementPolicy, RouteChoice } from '@celeryyoke/placement';

import { engineResource } from '../engines/orders.js';
import type { Membership } from '../membership/index.js';
import type { Ownership } from '../ownership/index.js';
import type { PeerBus } from '../peers/index.js';
import { LeaseRenewer } from './lease-renewer.js';
import type { LocalLease } from './local-leases.js';
import { LocalLeases } from './local-leases.js';
import type { LeaseResponse } from './messages.js';
import { LEASE_CANCEL, LEASE_REQUEST, LeaseOutcome } from './messages.js';
import { PopularityExchange } from './popularity.js';
import { EngineSearch } from './search.js';
import type { SiteState } from './site.js';
import type { Dispatcher, DispatchGrant, DispatchRequest, LeaseTimes } from './types.js';
import { DEFAULT_LEASE_TIMES } from './types.js';

/** Dependencies and settings of the dispatcher. */
export interface DispatcherOptions {
  readonly bus: PeerBus;
  readonly timers: TimerService;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly config: ConfigHolder;
  readonly membership: Membership;
  readonly ownership: Ownership;
  readonly policy: PlacementPolicy;
  readonly site: SiteState;
  readonly times?: Partial<LeaseTimes> | undefined;
}

/** A dispatcher that can be started and stopped. */
export interface RunningDispatcher extends Dispatcher {
  /** Starts to renew leases and to respond to recalls. */
  start(): void;
  /** Stops renewing; the leases expire. */
  stop(): void;
}

/** Pause before the engines are tried again when none granted a lease. */
const RETRY_INTERVAL_MS = 100;
/** Longest wait for one response; also bounds how long a broken connection goes unnoticed. */
const MAX_RESPONSE_WAIT_MS = 2000;
const RETRY_AFTER_SECONDS = 1;

/** Settles like a promise, but rejects at once when the signal aborts, whatever the connection does. */
function untilAborted<T>(promise: Promise<T>, signal: AbortSignal): Promise<T> {
  return new Promise((resolve, reject) => {
    const onAbort = (): void => reject(signal.reason);
    signal.addEventListener('abort', onAbort, { once: true });
    promise.then(resolve, reject).finally(() => signal.removeEventListener('abort', onAbort));
  });
}

/** Dispatches the requests of one daemon. */
class LeaseDispatcher implements RunningDispatcher {
  private readonly leases = new LocalLeases();

  private readonly times: LeaseTimes;

  private readonly renewer: LeaseRenewer;

  private readonly popularity: PopularityExchange;

  private readonly reusedLeases: Counter;

  private readonly leaseRequests: Counter;

  private readonly leaseWait: Histogram;

  constructor(private readonly options: DispatcherOptions) {
    const { metrics } = options;
    this.popularity = new PopularityExchange(options);
    this.times = { ...DEFAULT_LEASE_TIMES, ...options.times };
    const messages = metrics.counter('celeryyoke_lease_renewals', 'Messages that renewed leases.');
    this.renewer = new LeaseRenewer({ ...options, leases: this.leases, times: this.times, messages });
    this.reusedLeases = metrics.counter(
      'celeryyoke_leases_reused',
      'Requests that used a lease already held.',
    );
    this.leaseRequests = metrics.counter('celeryyoke_leases_asked', 'Messages that asked for a lease.');
    this.leaseWait = metrics.histogram('celeryyoke_lease_wait', 'Wait for a lease in milliseconds.');
  }

  start(): void {
    this.renewer.start();
  }

  stop(): void {
    this.renewer.stop();
  }

  async acquire(request: DispatchRequest, signal: AbortSignal): Promise<DispatchGrant> {
    signal.throwIfAborted();
    const { timers } = this.options;
    const startedAt = timers.now();
    this.popularity.observe(request.adapter.key);
    const giveUpAt = Math.min(request.deadlineAt, startedAt + this.times.maxWaitMs);
    const search = new EngineSearch(request, signal, startedAt, giveUpAt);
    for (;;) {
      const grant = await this.tryNextEngine(search);
      if (grant !== undefined) {
        this.leaseWait.record(timers.now() - startedAt);
        return grant;
      }
      signal.throwIfAborted();
      if (timers.now() >= giveUpAt) throw this.timeoutError(search);
    }
  }

  /** Tries to obtain a lease on one engine; undefined when the search continues. */
  private async tryNextEngine(search: EngineSearch): Promise<DispatchGrant | undefined> {
    const choice = this.chooseEngine(search);
    if (choice === undefined) {
      await this.pauseOrFail(search);
      return undefined;
    }
    const { engine, reason } = choice;
    if (search.preferredEngine !== engine) search.reasons.push(`${engine}: ${reason}`);
    const lease = this.leases.find(engine, search.request.adapter.key);
    if (lease !== undefined && this.isUsable(lease)) {
      this.reusedLeases.add();
      return this.startRequest(search, lease);
    }
    return this.requestLease(search, engine);
  }

  private chooseEngine(search: EngineSearch): RouteChoice | undefined {
    const { policy, site, timers } = this.options;
    const { key, model } = search.request.adapter;
    const { preferredEngine } = search;
    const excluded = search.excludedEngines();
    if (preferredEngine !== undefined && !excluded.has(preferredEngine))
      return { engine: preferredEngine, state: undefined, reason: 'waits' };
    return policy.route({ key, model, excluded }, site, timers.now());
  }

  /**
   * Pauses before the engines that granted no lease are tried again; throws when there is no engine to wait
   * for.
   */
  private async pauseOrFail(search: EngineSearch): Promise<void> {
    const { timers } = this.options;
    const { key, model } = search.request.adapter;
    if (search.unavailable.size === 0 && !this.options.site.isOwnerPending(model)) {
      const params = { target: key };
      throw new CeleryyokeError('NoUpstream', params, { retryAfter: RETRY_AFTER_SECONDS });
    }
    search.unavailable.clear();
    const remainingMs = Math.max(0, search.giveUpAt - timers.now());
    await timers.sleep(Math.min(RETRY_INTERVAL_MS, remainingMs), search.signal);
  }

  /** Requests a lease from the engine's owner; undefined when it is not granted or not usable. */
  private async requestLease(search: EngineSearch, engine: string): Promise<DispatchGrant | undefined> {
    const { timers, ownership } = this.options;
    const { key } = search.request.adapter;
    const owner = ownership.ownerOf(engineResource(engine));
    const remainingMs = search.giveUpAt - timers.now();
    if (owner === undefined || remainingMs <= 0) {
      search.skip(engine);
      return undefined;
    }
    const { lease, ask } = this.leases.beginRequest(engine, key, timers.now());
    const askedAt = timers.now();
    let response: LeaseResponse;
    try {
      response = await this.callOwner(search, owner, engine, ask, remainingMs);
    } catch {
      lease.endRequest(undefined);
      if (search.signal.aborted || timers.now() >= search.giveUpAt) this.cancel(search, owner, engine);
      search.skip(engine);
      return undefined;
    }
    const isGranted = response.outcome === LeaseOutcome.Granted;
    const validForMs = (response.waitedMs + response.leaseMs) * (1 - this.times.clockDrift);
    lease.endRequest(isGranted ? askedAt + validForMs : undefined);
    search.applyResponse(engine, response);
    if (isGranted && !search.signal.aborted && this.isUsable(lease)) return this.startRequest(search, lease);
    // A grant that arrived too late to be used is requested again, but only after a pause.
    if (isGranted) search.skip(engine);
    if (search.signal.aborted) this.cancel(search, owner, engine);
    return undefined;
  }

  private callOwner(
    search: EngineSearch,
    owner: string,
    engine: string,
    ask: number,
    remainingMs: number,
  ): Promise<LeaseResponse> {
    const { bus } = this.options;
    const { requestId, adapter, priority, deadlineAt } = search.request;
    const waitMs = Math.min(MAX_RESPONSE_WAIT_MS, remainingMs);
    const deadlineMs = deadlineAt === Infinity ? null : remainingMs;
    const input = { engine, key: adapter.key, requestId, ask, priority, waitMs, deadlineMs };
    this.leaseRequests.add();
    // The request ends at its deadline, whether the owner responds or not.
    const options = {
      timeoutMs: Math.min(remainingMs, waitMs + this.times.callTimeoutMs),
      signal: search.signal,
    };
    return untilAborted(bus.call(owner, LEASE_REQUEST, input, options), search.signal);
  }

  private cancel(search: EngineSearch, owner: string, engine: string): void {
    const { bus } = this.options;
    const input = { engine, requestId: search.request.requestId };
    bus.call(owner, LEASE_CANCEL, input, { timeoutMs: this.times.callTimeoutMs }).catch(() => undefined);
  }

  /** Whether a request may start under a lease at this moment. */
  private isUsable(lease: LocalLease): boolean {
    const { timers, membership } = this.options;
    if (lease.isDraining || lease.validUntil <= timers.now()) return false;
    return !membership.needsConfirmation() && membership.isLive(lease.engine);
  }

  private startRequest(search: EngineSearch, lease: LocalLease): DispatchGrant | undefined {
    const { timers, config, site } = this.options;
    const engine = config.current()?.engine(lease.engine);
    if (engine === undefined) {
      search.skip(lease.engine);
      return undefined;
    }
    lease.start(timers.now());
    site.addRunning(lease.engine, 1);
    let isReleased = false;
    const loadWaitMs = search.hasWaitedForLoad ? timers.now() - search.startedAt : 0;
    return {
      engine,
      loadWaitMs,
      reasons: search.reasons,
      isValid: () => !isReleased && this.isUsable(lease),
      release: (settled = false) => {
        if (isReleased) return;
        isReleased = true;
        site.addRunning(lease.engine, -1);
        lease.finish(settled, timers.now());
        if (this.leases.endIfDraining(lease)) this.renewer.renewSoon(lease.engine);
      },
    };
  }

  private timeoutError(search: EngineSearch): CeleryyokeError {
    if (search.request.deadlineAt <= this.options.timers.now())
      return new CeleryyokeError('DeadlineBeforeRun');
    return new CeleryyokeError('Overloaded', {}, { retryAfter: RETRY_AFTER_SECONDS });
  }
}

/** Creates the dispatcher of a daemon; it does not renew leases before `start`. */
export function createDispatcher(options: DispatcherOptions): RunningDispatcher {
  return new LeaseDispatcher(options);
}
