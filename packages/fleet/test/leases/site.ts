/**
 * A test site: real owners, dispatchers and permits on fake engines, with a fake view of hosts and ownership
 * that the test sets. The engines detect violations.
 */
import type { ManualTimerService } from '@celeryyoke/core';
import { createAuditTrail, createManualTimers, createMetrics, createSilentLog } from '@celeryyoke/core';
import type { ConfigHolder, EngineConfig, ResolvedAdapter, SiteConfig } from '@celeryyoke/configuration';
import { Fencing } from '@celeryyoke/configuration';
import type { PlacementPolicy } from '@celeryyoke/placement';
import { createPolicy } from '@celeryyoke/placement';

import type {
  DispatchRequest,
  EngineOwners,
  LeaseTimes,
  Membership,
  Ownership,
  PermitOwners,
  PermitTimes,
  RunningDispatcher,
} from '../../src/index.js';
import {
  Authority,
  createDispatcher,
  createEngineOwners,
  createMemoryPeerNet,
  createPermitOwners,
  createSiteState,
} from '../../src/index.js';
import { FakeEngine } from './fakeEngine.js';
import type { LinkFaults } from './faults.js';
import { createFaultyBus, FakeProcess, SeededRandom } from './faults.js';

/** Bound on the time after a restart in which orders of the previous process may still arrive. */
const RESTART_ORDER_BOUND_MS = 2000;

/** Size, times and faults of a site. */
export interface TestSiteOptions {
  readonly daemons: readonly string[];
  readonly engines: number;
  readonly slots: number;
  readonly loadsPerSecond?: number;
  readonly lagMs?: number;
  readonly loadMs?: number;
  readonly maxLoadWaitMs?: number;
  readonly unloadMs?: number;
  readonly fencing?: boolean;
  readonly times?: Partial<LeaseTimes>;
  /** Times that differ for one daemon, by its name. */
  readonly timesOf?: Readonly<Record<string, Partial<LeaseTimes>>>;
  /** Permit times that differ for one daemon, by its name. */
  readonly permitTimesOf?: Readonly<Record<string, Partial<PermitTimes>>>;
  /** Faults of all connections; they may be changed while the site runs. */
  readonly faults?: LinkFaults;
  readonly seed?: number;
}

/** One daemon's view of hosts and ownership, set by the test; stands in for membership and ownership. */
export class ClusterView {
  readonly owners = new Map<string, string>();

  readonly leaving = new Set<string>();

  isDoubtful = false;

  /** When this daemon, as the owner, gets full authority; until then its authority is `Waiting`. */
  fullAuthorityAt = -Infinity;

  /** Whether it claims full authority whoever the owner is. */
  ignoresOwnership = false;

  /** Whether it must present its fencing token to engines. */
  requiresClaim = false;

  /** When its authority expires although it does not know of another owner. */
  authorityEndsAt = Infinity;

  private readonly listeners = new Set<() => void>();

  private latestFencing = 0;

  /** For each engine, the fencing token that it reported first. */
  private readonly firstFencing = new Map<string, number>();

  constructor(
    readonly name: string,
    private readonly timers: ManualTimerService,
  ) {}

  readonly membership: Membership = {
    hosts: () => [],
    findHost: () => undefined,
    isLive: (name) => !this.leaving.has(name),
    isReachable: () => true,
    incarnationOf: () => undefined,
    ageMs: () => 0,
    needsConfirmation: () => this.isDoubtful,
    subscribe: (listener) => this.subscribe(listener),
  };

  readonly ownership: Ownership = {
    ownerOf: (resource) => this.owners.get(resource),
    authority: (resource) => this.authority(resource),
    fencingToken: (resource) => (this.firstFencing.get(resource) ?? 0) + 1,
    observeFencingToken: (resource, fencing) => {
      if (!this.firstFencing.has(resource)) this.firstFencing.set(resource, fencing);
      this.latestFencing = fencing;
    },
    mayGrantSlotLeases: (resource) => this.authority(resource) === Authority.Full,
    needsClaim: (resource) =>
      this.requiresClaim && this.latestFencing <= (this.firstFencing.get(resource) ?? 0),
    trackOrder: () => () => undefined,
    subscribe: (listener) => this.subscribe(() => listener('', Authority.None)),
  };

  /** Copies the owners, but not the authority times, from another daemon's view. */
  copyOwners(other: ClusterView): void {
    for (const [resource, owner] of other.owners) this.owners.set(resource, owner);
    this.notifyListeners();
  }

  notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }

  private subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private authority(resource: string): Authority {
    if (this.ignoresOwnership) return Authority.Full;
    const now = this.timers.now();
    if (this.owners.get(resource) !== this.name || now >= this.authorityEndsAt) return Authority.None;
    return now >= this.fullAuthorityAt ? Authority.Full : Authority.Waiting;
  }
}

/** The parts of one daemon. */
export interface TestDaemon {
  readonly name: string;
  readonly incarnation: number;
  readonly view: ClusterView;
  readonly process: FakeProcess;
  readonly policy: PlacementPolicy;
  readonly dispatcher: RunningDispatcher;
  readonly owners: EngineOwners;
  readonly permits: PermitOwners;
  start(): void;
  stop(): Promise<void>;
}

/** Resolves a key of the form `name@version`. */
export function adapter(key: string): ResolvedAdapter {
  const [name = '', version = ''] = key.split('@');
  return { adapter: name, version, model: 'base', key, sizeMb: 1 };
}

function fixedConfig(config: SiteConfig): ConfigHolder {
  const engine = (name: string): EngineConfig | undefined => config.engines.find((e) => e.name === name);
  const snapshot = { revision: 1, digest: '', config, engine } as ReturnType<ConfigHolder['require']>;
  return {
    current: () => snapshot,
    require: () => snapshot,
    accept: () => false,
    subscribe: () => () => undefined,
  };
}

/** A site with its daemons and engines, on manual timers and an in-memory peer network. */
export class TestSite {
  readonly timers = createManualTimers();

  readonly net = createMemoryPeerNet();

  readonly engines = new Map<string, FakeEngine>();

  readonly daemons = new Map<string, TestDaemon>();

  private readonly config: ConfigHolder;

  readonly random: SeededRandom;

  private lastRequestNumber = 0;

  constructor(readonly options: TestSiteOptions) {
    const { slots, lagMs = 0, loadMs = 500, unloadMs = 5, fencing = false } = options;
    this.random = new SeededRandom(options.seed ?? 1);
    const names = Array.from({ length: options.engines }, (_, index) => `engine-${index + 1}`);
    for (const name of names) {
      this.engines.set(
        name,
        new FakeEngine({ name, timers: this.timers, slots, lagMs, loadMs, unloadMs, fencing }),
      );
    }
    const { loadsPerSecond = 2 } = options;
    const engines = names.map((name) => ({
      name,
      domain: 'domain-a',
      address: '',
      model: 'base',
      store: 'store-1',
      slots,
      batch: 8,
      fencing: fencing ? Fencing.Honoured : Fencing.Ignored,
    }));
    const stores = [{ name: 'store-1', address: '', loadsPerSecond, concurrentLoads: 1 }];
    const policy = { maxLoadWaitMs: options.maxLoadWaitMs ?? Infinity };
    this.config = fixedConfig({ engines, stores, policy, events: [] } as unknown as SiteConfig);
    for (const name of options.daemons) this.addDaemon(name, 1);
    this.setOwner(options.daemons[0]!);
    for (const daemon of this.daemons.values()) daemon.start();
  }

  /** Adds a daemon, or replaces a crashed one of the same name. */
  addDaemon(name: string, incarnation: number): TestDaemon {
    const { config } = this;
    const { faults = { lost: 0, doubled: 0, delayMs: 0 }, timesOf } = this.options;
    const times = { ...this.options.times, ...timesOf?.[name] };
    const process = new FakeProcess(this.timers);
    const directBus = this.net.join({ name, incarnation });
    const bus = createFaultyBus({
      bus: directBus,
      timers: this.timers,
      random: this.random,
      faults,
      process,
    });
    const timers = process.timerService();
    const view = new ClusterView(name, this.timers);
    const policy = createPolicy({ stallWeight: 1, maxLoadWaitMs: 10_000 });
    const { membership, ownership } = view;
    const log = createSilentLog();
    const metrics = createMetrics();
    const audit = createAuditTrail({ daemon: name, timers });
    const common = { bus, timers, log, metrics, audit, config, membership, ownership };
    const site = createSiteState(common);
    const permitTimes = this.options.permitTimesOf?.[name];
    const permits = createPermitOwners({ ...common, policy, site, times: permitTimes });
    const clients = (engine: EngineConfig) => process.client(this.engine(engine.name).client());
    const owners = createEngineOwners({ ...common, policy, site, clients, permits: permits.desk, times });
    const dispatcher = createDispatcher({ ...common, policy, site, times });
    const start = (): void => {
      permits.start();
      owners.start();
      dispatcher.start();
    };
    const stop = async (): Promise<void> => {
      dispatcher.stop();
      await Promise.all([owners.stop(), permits.stop()]);
    };
    const daemon = { name, incarnation, view, process, policy, dispatcher, owners, permits, start, stop };
    this.daemons.set(name, daemon);
    return daemon;
  }

  /** Makes one daemon the owner of all engines and the store, in the views of all or of some daemons. */
  setOwner(
    owner: string,
    fullAuthorityAt = -Infinity,
    observers: readonly string[] = [...this.daemons.keys()],
  ): void {
    for (const observer of observers) {
      const { view, process } = this.daemon(observer);
      const applyOwner = (): void => {
        for (const name of this.engines.keys()) view.owners.set(`engine/${name}`, owner);
        view.owners.set('store/store-1', owner);
        view.fullAuthorityAt = fullAuthorityAt;
        view.authorityEndsAt = Infinity;
        view.notifyListeners();
      };
      // A paused process applies the change when it is resumed.
      if (process.isPaused) void process.whenRunning().then(applyOwner);
      else applyOwner();
    }
  }

  /** Copies the owners in another daemon's view to a daemon, once it is not paused. */
  copyOwners(name: string, other: string): void {
    const { view, process } = this.daemon(name);
    void process.whenRunning().then(() => view.copyOwners(this.daemon(other).view));
  }

  /** Crashes a daemon and starts a new incarnation of it. */
  restartDaemon(name: string): void {
    const { process, view, incarnation, ...oldParts } = this.daemon(name);
    process.isDead = true;
    void oldParts.stop();
    const replacement = this.addDaemon(name, incarnation + 1);
    replacement.view.copyOwners(view);
    replacement.view.fullAuthorityAt = Math.max(
      view.fullAuthorityAt,
      this.timers.now() + RESTART_ORDER_BOUND_MS,
    );
    replacement.view.authorityEndsAt = view.authorityEndsAt;
    replacement.start();
  }

  engine(name: string): FakeEngine {
    return this.engines.get(name)!;
  }

  daemon(name: string): TestDaemon {
    return this.daemons.get(name)!;
  }

  /** Creates a request for an adapter key. */
  createRequest(key: string, waitMs = 20_000): DispatchRequest {
    this.lastRequestNumber += 1;
    const deadlineAt = this.timers.now() + waitMs;
    const requestId = `r${this.lastRequestNumber}`;
    return { requestId, adapter: adapter(key), priority: 0, deadlineAt, excluded: new Set() };
  }

  /** Advances the time, with heartbeats every 50 ms. */
  async run(ms: number): Promise<void> {
    const stepMs = 50;
    for (let done = 0; done < ms; done += stepMs) {
      this.net.exchangeHeartbeats();
      await this.timers.advance(Math.min(stepMs, ms - done));
    }
  }

  violations(): string[] {
    return [...this.engines.values()].flatMap((engine) => engine.violations);
  }

  async stop(): Promise<void> {
    await Promise.all([...this.daemons.values()].map((daemon) => daemon.stop()));
  }
}
