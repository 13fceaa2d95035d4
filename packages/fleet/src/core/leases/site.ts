/**
 * State of all engines as this daemon knows it. Owners publish in the heartbeat which adapters are resident
 * and how many requests run. The state lags, and only decides which engine's owner a request asks for a
 * lease; the owner decides whether to grant one.
 */
import type { ConfigHolder, EngineConfig } from '@celeryyoke/configuration';
import type { HostEntry } from '@celeryyoke/platform';
import { HostRole } from '@celeryyoke/platform';
import type { EngineView, SiteView, SlotState } from '@celeryyoke/placement';

import type { Membership } from '../membership/index.js';
import type { PeerBus } from '../peers/index.js';
import { createSiteSection } from './siteSection.js';

/** State of one engine, as its owner publishes it. */
export interface EngineState {
  readonly engine: string;
  readonly running: number;
  readonly waiting: number;
  readonly healthy: boolean;
  /**
   * Whether its owner may grant leases now; a new owner must first wait out the leases of the previous one.
   */
  readonly granting: boolean;
  /** Share of its full load that the engine may get after a restart, 0 to 1. */
  readonly warmth: number;
  /** Slot states by adapter key; a map is not changed but replaced, so that changes are found by identity. */
  readonly keys: ReadonlyMap<string, SlotState>;
}

/** State of all engines, for routing and readiness. */
export interface SiteState extends SiteView {
  /** Sets the state of an engine that this daemon owns, and publishes it to the peers. */
  publish(state: EngineState): void;
  /** Merges a state that a peer published. */
  merge(state: EngineState): void;
  /** Stops publishing the state of an engine that this daemon no longer owns. */
  withdraw(engine: string): void;
  /** Whether a model has a live, healthy engine whose owner can't grant leases yet. */
  isOwnerPending(model: string): boolean;
  /** Whether any healthy engine's owner has been able to grant leases since this process started. */
  hasSeenGrantingOwner(): boolean;
  /** Counts a request that this daemon has started (1) or ended (-1) on an engine. */
  addRunning(engine: string, change: number): void;
}

export interface SiteStateOptions {
  readonly bus: PeerBus;
  readonly config: ConfigHolder;
  readonly membership: Membership;
}

/** State of one engine; updated in place, so that look-ups allocate no objects. */
class EngineEntry implements EngineView {
  readonly name: string;

  keys: ReadonlyMap<string, SlotState> = new Map();

  waiting = 0;

  warmth = 1;

  healthy = true;

  granting = true;

  private reportedRunning = 0;

  /** Running requests of this daemon, now and when the owner's last state was applied. */
  private localRunning = 0;

  private localAtReport = 0;

  constructor(public config: EngineConfig) {
    this.name = config.name;
  }

  get model(): string {
    return this.config.model;
  }

  get store(): string {
    return this.config.store;
  }

  get slots(): number {
    return this.config.slots;
  }

  get batch(): number {
    return this.config.batch;
  }

  get running(): number {
    return Math.max(this.localRunning, this.reportedRunning + this.localRunning - this.localAtReport);
  }

  apply(state: EngineState): void {
    this.reportedRunning = state.running;
    this.localAtReport = this.localRunning;
    this.waiting = state.waiting;
    this.warmth = state.warmth;
    this.healthy = state.healthy;
    this.granting = state.granting;
    this.keys = state.keys;
  }

  addRunning(change: number): void {
    this.localRunning += change;
  }
}

const NO_ENGINES: readonly EngineView[] = [];

/**
 * Site state with indexes by model and by adapter key; updated when the configuration, the hosts or a state
 * change.
 */
class SiteIndex implements SiteState {
  private readonly entries = new Map<string, EngineEntry>();

  private readonly byModel = new Map<string, EngineEntry[]>();

  private readonly byKey = new Map<string, EngineEntry[]>();

  /** Models with a live, healthy engine whose owner can't grant leases yet. */
  private readonly modelsWithPendingOwner = new Set<string>();

  private hasSeenGranting = false;

  /** States of the engines that this daemon owns. */
  readonly ownStates = new Map<string, EngineState>();

  /** The host list's engines from which the indexes were built. */
  private indexedHosts: readonly HostEntry[] = [];

  constructor(private readonly options: SiteStateOptions) {
    const { config, membership } = options;
    config.subscribe(() => this.rebuild());
    membership.subscribe(() => this.handleMembershipChange());
    this.rebuild();
  }

  engines(model: string): readonly EngineView[] {
    return this.byModel.get(model) ?? NO_ENGINES;
  }

  holders(key: string): readonly EngineView[] {
    return this.byKey.get(key) ?? NO_ENGINES;
  }

  publish(state: EngineState): void {
    this.ownStates.set(state.engine, state);
    this.merge(state);
  }

  merge(state: EngineState): void {
    const entry = this.entries.get(state.engine);
    if (entry === undefined) return;
    const wasGranting = entry.healthy && entry.granting;
    const isGranting = state.healthy && state.granting;
    this.hasSeenGranting ||= isGranting;
    if (entry.keys !== state.keys) this.reindex(entry, state.keys);
    entry.apply(state);
    if (isGranting !== wasGranting) this.rebuild();
  }

  withdraw(engine: string): void {
    this.ownStates.delete(engine);
  }

  isOwnerPending(model: string): boolean {
    return this.modelsWithPendingOwner.has(model);
  }

  hasSeenGrantingOwner(): boolean {
    return this.hasSeenGranting;
  }

  addRunning(engine: string, change: number): void {
    this.entries.get(engine)?.addRunning(change);
  }

  private reindex(entry: EngineEntry, keys: ReadonlyMap<string, SlotState>): void {
    for (const key of entry.keys.keys()) if (!keys.has(key)) this.removeHolder(key, entry);
    if (!this.engines(entry.model).includes(entry)) return;
    for (const key of keys.keys()) if (!entry.keys.has(key)) this.addHolder(key, entry);
  }

  private addHolder(key: string, entry: EngineEntry): void {
    const holders = this.byKey.get(key);
    if (holders === undefined) this.byKey.set(key, [entry]);
    else holders.push(entry);
  }

  private removeHolder(key: string, entry: EngineEntry): void {
    const remaining = (this.byKey.get(key) ?? []).filter((other) => other !== entry);
    if (remaining.length === 0) this.byKey.delete(key);
    else this.byKey.set(key, remaining);
  }

  /**
   * Rebuilds only when the engine hosts have changed: most membership updates concern daemons and keep the
   * same array.
   */
  private handleMembershipChange(): void {
    if (this.options.membership.hosts(HostRole.Engine) !== this.indexedHosts) this.rebuild();
  }

  /** Rebuilds the indexes from the configuration, the hosts and the engine states. */
  private rebuild(): void {
    const { config, membership } = this.options;
    const configured = config.current()?.config.engines ?? [];
    this.indexedHosts = membership.hosts(HostRole.Engine);
    const names = new Set(configured.map((engine) => engine.name));
    for (const name of this.entries.keys()) if (!names.has(name)) this.entries.delete(name);
    this.byModel.clear();
    this.byKey.clear();
    this.modelsWithPendingOwner.clear();
    for (const engine of configured) {
      const entry = this.entries.get(engine.name) ?? new EngineEntry(engine);
      entry.config = engine;
      this.entries.set(engine.name, entry);
      if (!entry.healthy || !membership.isLive(engine.name)) continue;
      if (!entry.granting) {
        this.modelsWithPendingOwner.add(engine.model);
        continue;
      }
      const ofModel = this.byModel.get(engine.model);
      if (ofModel === undefined) this.byModel.set(engine.model, [entry]);
      else ofModel.push(entry);
      for (const key of entry.keys.keys()) this.addHolder(key, entry);
    }
  }
}

/** Creates the site state and adds its section to the heartbeat. */
export function createSiteState(options: SiteStateOptions): SiteState {
  const site = new SiteIndex(options);
  options.bus.addHeartbeatSection(createSiteSection(site.ownStates, (state) => site.merge(state)));
  return site;
}
