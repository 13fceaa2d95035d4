/**
 * Creates and stops the owners of this daemon's engines as ownership changes, and serves the lease
 * procedures.
 */
import type { TimerHandle } from '@celeryyoke/core';
import type { EngineConfig } from '@celeryyoke/configuration';

import type { EngineRenewal, EngineRenewalResponse, LeaseTimes } from '../leases/index.js';
import {
  DEFAULT_LEASE_TIMES,
  LEASE_CANCEL,
  LEASE_RENEW,
  LEASE_REQUEST,
  LeaseOutcome,
} from '../leases/index.js';
import type { PeerIdentity } from '../peers/index.js';
import type { EventSchedule } from './events.js';
import { createEventSchedule } from './events.js';
import { engineResource } from './orders.js';
import { EngineOwner } from './owner.js';
import type { EngineOwners, EngineOwnersOptions, OwnedEngine } from './types.js';
import { refusal } from './waiting-requests.js';

class LocalEngineOwners implements EngineOwners {
  private readonly owners = new Map<string, { readonly engine: EngineConfig; readonly owner: EngineOwner }>();

  private readonly times: LeaseTimes;

  private readonly events: EventSchedule;

  private ticker: TimerHandle | undefined;

  private unsubscribe: (() => void)[] = [];

  private stopping: Promise<void>[] = [];

  constructor(private readonly options: EngineOwnersOptions) {
    this.times = { ...DEFAULT_LEASE_TIMES, ...options.times };
    this.events = createEventSchedule(options);
  }

  start(): void {
    const { bus, timers, config, membership, ownership } = this.options;
    bus.handle(LEASE_REQUEST, async (input, from) => {
      const owner = this.owners.get(input.engine)?.owner;
      return owner === undefined ? refusal(LeaseOutcome.NotOwner) : owner.request(input, from);
    });
    bus.handle(LEASE_CANCEL, async (input, from) => {
      this.owners.get(input.engine)?.owner.cancel(input.requestId, from);
      return null;
    });
    bus.handle(LEASE_RENEW, async (input, from) => ({
      engines: input.engines.map((renewal) => this.renew(renewal, from)),
    }));
    const refresh = (): void => this.refresh();
    this.unsubscribe = [
      config.subscribe(refresh),
      membership.subscribe(refresh),
      ownership.subscribe(refresh),
    ];
    this.ticker = timers.repeat(this.times.reportMs, refresh);
    this.refresh();
  }

  async stop(): Promise<void> {
    this.ticker?.cancel();
    for (const unsubscribe of this.unsubscribe) unsubscribe();
    for (const name of [...this.owners.keys()]) this.drop(name);
    await Promise.all(this.stopping);
  }

  ownedEngines(): readonly OwnedEngine[] {
    return [...this.owners.values()].map(({ owner }) => owner.status());
  }

  private renew(renewal: EngineRenewal, from: PeerIdentity): EngineRenewalResponse {
    const owner = this.owners.get(renewal.engine)?.owner;
    if (owner === undefined) return { engine: renewal.engine, accepted: false, leaseMs: 0, refused: [] };
    return owner.renew(renewal, from);
  }

  /**
   * Starts and stops owners so that there is one for each engine that this daemon owns, and ticks those that
   * stay.
   */
  private refresh(): void {
    const { bus, config, ownership } = this.options;
    this.events.refresh();
    const engines = config.current()?.config.engines ?? [];
    const owned = engines.filter(({ name }) => ownership.ownerOf(engineResource(name)) === bus.self.name);
    const names = new Set(owned.map(({ name }) => name));
    for (const name of [...this.owners.keys()]) if (!names.has(name)) this.drop(name);
    for (const engine of owned) this.ensureOwner(engine);
  }

  private ensureOwner(engine: EngineConfig): void {
    const existing = this.owners.get(engine.name);
    if (existing !== undefined && EngineOwner.isUnchanged(existing.engine, engine)) {
      existing.owner.tick();
      return;
    }
    // Orders of a replaced owner may still arrive at the engine until their timeout has passed.
    let notBefore = -Infinity;
    if (existing !== undefined) {
      this.drop(engine.name);
      const { loadTimeoutMs, unloadTimeoutMs, sendBoundMs } = this.times;
      notBefore = this.options.timers.now() + Math.max(loadTimeoutMs, unloadTimeoutMs) + sendBoundMs;
    }
    const owner = new EngineOwner({
      ...this.options,
      engine,
      times: this.times,
      events: this.events,
      notBefore,
    });
    this.owners.set(engine.name, { engine, owner });
  }

  private drop(name: string): void {
    const removed = this.owners.get(name);
    this.owners.delete(name);
    if (removed === undefined) return;
    const stopped: Promise<void> = removed.owner.stop().finally(() => {
      this.stopping = this.stopping.filter((other) => other !== stopped);
    });
    this.stopping.push(stopped);
  }
}

/** Creates the owners of this daemon's engines; they do nothing before `start`. */
export function createEngineOwners(options: EngineOwnersOptions): EngineOwners {
  return new LocalEngineOwners(options);
}
