/** Daemons that follow one configuration over an in-process net, before a service that a test breaks at will. */
import type { AdapterConfig, ConfigHolder, PackedSite, SiteConfig } from '@celeryyoke/configuration';
import { createConfigHolder, Fencing, packSite } from '@celeryyoke/configuration';
import type { AuditTrail, ManualTimerService } from '@celeryyoke/core';
import {
  AuditKind,
  CeleryyokeError,
  createAuditTrail,
  createManualTimers,
  createMetrics,
  createSilentLog,
} from '@celeryyoke/core';
import type { ConfigSource, ConfigValue } from '@celeryyoke/platform';

import type { ConfigDistribution, MemoryPeerNet, PeerBus } from '../../src/index.js';
import { createConfigDistribution, createMemoryPeerNet } from '../../src/index.js';
import type { ManualMembership } from './fleet.js';
import { createManualMembership } from './fleet.js';

const BEAT_MS = 500;

/** Makes a site with adapters of these names. */
export function siteOf(names: readonly string[], overrides: Partial<SiteConfig> = {}): SiteConfig {
  const adapters = names.map((name): AdapterConfig => ({
    name,
    model: 'base',
    versions: ['1'],
    current: '1',
    sizeMb: 40,
  }));
  const engine = { name: 'e1', domain: 'd1', address: 'http://10.0.0.1:1', model: 'base', store: 's1' };
  return {
    site: 'test',
    domains: [{ name: 'd1', region: 'r1' }],
    models: [{ name: 'base', sizeMb: 1000 }],
    engines: [{ ...engine, slots: 4, batch: 8, fencing: Fencing.Honoured }],
    services: [],
    stores: [{ name: 's1', address: 'http://10.0.0.2:1', loadsPerSecond: 2, concurrentLoads: 1 }],
    adapters,
    events: [],
    callers: [],
    policy: { stallWeight: 0.5, maxLoadWaitMs: 1000, firstTokenMs: 300, interTokenMs: 30 },
    ...overrides,
  };
}

/** A set whose contents are wrong although its digests hold. */
export function badSet(revision: number): PackedSite {
  const [engine] = siteOf([]).engines;
  return packSite(siteOf(['alpha'], { engines: [{ ...engine!, model: 'absent' }] }), revision);
}

/** What one reader sees of the service. */
export enum View {
  Up = 'up',
  Down = 'down',
  /** Answers with what it held when the view was set. */
  Stale = 'stale',
}

interface Reader {
  view: View;
  frozen: Map<string, ConfigValue>;
}

/** A configuration service that differs from reader to reader. */
export class FakeService {
  readonly values = new Map<string, ConfigValue>();

  reads = 0;

  watches = 0;

  private readonly readers = new Map<string, Reader>();

  private readonly rootless = new Set<string>();

  private readonly changed = new Set<() => void>();

  private count = 0;

  constructor(private readonly timers: ManualTimerService) {}

  /** Counts reads and watches from now on. */
  resetCounts(): void {
    this.reads = 0;
    this.watches = 0;
  }

  /** Publishes a set; some of its values may be left out. */
  publish(packed: PackedSite, leaveOut: (key: string) => boolean = () => false): void {
    this.count += 1;
    for (const [key, value] of packed.values) {
      if (!leaveOut(key)) this.values.set(key, { revision: this.count, value });
    }
    this.notify();
  }

  /** Replaces the root document by any text. */
  publishRoot(key: string, value: string): void {
    this.count += 1;
    this.values.set(key, { revision: this.count, value });
    this.notify();
  }

  /** Sets what readers see. */
  show(view: View, ...readers: readonly string[]): void {
    for (const reader of readers) this.readers.set(reader, { view, frozen: new Map(this.values) });
    this.notify();
  }

  /** Keeps the newest root document from a reader, whose other reads go on. */
  freezeRoot(reader: string): void {
    this.rootless.add(reader);
  }

  sourceFor(name: string): ConfigSource {
    return {
      read: async (key) => {
        this.reads += 1;
        return this.look(name).get(key);
      },
      watch: async (key, known, waitMs, signal) => {
        this.watches += 1;
        const end = this.timers.now() + waitMs;
        for (;;) {
          const found = this.look(name).get(key);
          const isNew = found !== undefined && found.revision !== known && !this.rootless.has(name);
          if (isNew) return found;
          const left = end - this.timers.now();
          if (left <= 0) return undefined;
          await this.nextChange(left, signal);
        }
      },
      close: async () => undefined,
    };
  }

  private look(name: string): ReadonlyMap<string, ConfigValue> {
    const reader = this.readers.get(name);
    if (reader?.view === View.Down) {
      throw new CeleryyokeError('PlatformUnavailable', { service: 'configuration service', reason: 'down' });
    }
    return reader?.view === View.Stale ? reader.frozen : this.values;
  }

  private notify(): void {
    for (const wake of [...this.changed]) wake();
  }

  private async nextChange(ms: number, signal: AbortSignal): Promise<void> {
    const woken = new AbortController();
    const wake = (): void => woken.abort();
    this.changed.add(wake);
    signal.addEventListener('abort', wake);
    await this.timers.sleep(ms, woken.signal).catch(() => undefined);
    this.changed.delete(wake);
    signal.removeEventListener('abort', wake);
    signal.throwIfAborted();
  }
}

/** One daemon of the fleet. */
export interface ConfigDaemon {
  readonly name: string;
  readonly bus: PeerBus;
  readonly holder: ConfigHolder;
  readonly audit: AuditTrail;
  readonly distribution: ConfigDistribution;
  /** Revisions in the order in which they came in force. */
  readonly history: number[];
  readonly membership: ManualMembership;
}

/** The fleet. */
export class ConfigFleet {
  readonly timers = createManualTimers();

  readonly service = new FakeService(this.timers);

  readonly net: MemoryPeerNet = createMemoryPeerNet();

  readonly daemons: ConfigDaemon[] = [];

  constructor(readonly names: readonly string[]) {
    this.timers.repeat(BEAT_MS, () => this.net.exchangeHeartbeats());
  }

  /** Adds a daemon and begins its start; it knows the hosts at once unless another view is given. */
  join(name: string, view = { hosts: this.names, ageMs: 0 }): ConfigDaemon {
    const bus = this.net.join({ name });
    const membership = createManualMembership(view.hosts);
    membership.setAge(view.ageMs);
    const audit = createAuditTrail({ daemon: name, timers: this.timers });
    const holder = createConfigHolder();
    const history: number[] = [];
    holder.subscribe(({ revision }) => history.push(revision));
    const distribution = createConfigDistribution({
      site: 'test',
      holder,
      source: this.service.sourceFor(name),
      bus,
      membership,
      timers: this.timers,
      audit,
      log: createSilentLog(),
      metrics: createMetrics(),
      random: () => 0.5,
    });
    const daemon = { name, bus, holder, audit, distribution, history, membership };
    this.daemons.push(daemon);
    void distribution.start();
    return daemon;
  }

  /** Adds every daemon. */
  joinAll(): void {
    for (const name of this.names) this.join(name);
  }

  /** Cuts a daemon off from its peers, which is how a test switches the mechanism off. */
  isolate(name: string): void {
    for (const other of this.names) {
      this.net.blockDirection(name, other);
      this.net.blockDirection(other, name);
    }
  }

  /** Revision in force at each daemon. */
  revisions(): (number | undefined)[] {
    return this.daemons.map(({ holder }) => holder.current()?.revision);
  }

  async stop(): Promise<void> {
    await Promise.all(this.daemons.map(({ distribution }) => distribution.stop()));
  }
}

/** Reasons for which a daemon refused sets. */
export function refusalsOf({ audit }: ConfigDaemon): string[] {
  const records = audit.read().filter(({ kind }) => kind === AuditKind.ConfigRefused);
  return records.map(({ subject, cause }) => `${subject} ${cause}`);
}
