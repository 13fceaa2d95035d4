/** A fleet that reads a store which comes back from copies, and what must hold meanwhile. */
import {
  ReplicaRegistry,
  RecordKind,
  ReplicaState,
  storeReaderRank,
  StoreWatcher,
} from '@celeryyoke/routing';

import { createAvailability, engineEntry, sampleDocument } from '../fakes.js';
import type { TestDaemon } from '../fleet/daemons.js';
import { TestFleet } from '../fleet/daemons.js';
import { timersOf } from '../fleet/network.js';
import { createRandom } from '../orders/random.js';
import type { Written } from './drill-store.js';
import { DrillStore } from './drill-store.js';

const ZONES = 3;
const STEP_MS = 20;
const CONFIG_KEY = 'config';
/** Time within which an acknowledged change must be in force, in milliseconds. */
const IN_FORCE_MS = 2000;
/** Time after a start or a disturbance of a daemon from which on it must follow in time, in milliseconds. */
const SETTLED_MS = 3000;
/** Replicas that stay for the whole run. */
const LASTING_REPLICAS = 2;

/** What a daemon of the run has, and what it has known so far. */
interface Observed {
  readonly daemon: TestDaemon;
  readonly registry: ReplicaRegistry;
  readonly watcher: StoreWatcher;
  /** Versions that it has had in force. */
  readonly versions: Set<number>;
  /** Replicas that it has listed. */
  readonly listed: Set<string>;
  /** Replicas that it has known as leaving or gone. */
  readonly left: Set<string>;
  /** Time since which it has run without a disturbance of its own, in milliseconds. */
  readonly calmSince: number;
}

/** Daemons, their store, and a list of what went wrong. */
export class DrillRun {
  readonly fleet: TestFleet;

  readonly store: DrillStore;

  readonly violations = new Set<string>();

  /** Daemons whose lateness is not checked: they can't learn of changes. */
  readonly excused = new Set<string>();

  private readonly observed = new Map<string, Observed>();

  private readonly random = createRandom('drills');

  /** Time since which the store answers, in milliseconds. */
  private storeCalmSince = 0;

  private configVersion = 0;

  /** Replicas that have ended; none comes back under its id. */
  private readonly ended = new Set<string>();

  private isFirstStart = true;

  constructor() {
    this.fleet = new TestFleet(ZONES, ZONES, (daemon) => this.observe(daemon));
    this.store = new DrillStore(this.fleet.network, this.fleet.timers);
    for (let index = 0; index < LASTING_REPLICAS; index += 1) this.writeReplica(`r${index}`);
    this.writeConfig();
  }

  /** Starts the fleet and lets it find each other. */
  async settle(count: number): Promise<void> {
    await this.fleet.startAll(count);
    await this.run(7000);
    this.isFirstStart = false;
  }

  /** Writes the next configuration. */
  writeConfig(): void {
    this.configVersion += 2;
    const document = sampleDocument(this.configVersion);
    this.store.write(CONFIG_KEY, { kind: RecordKind.Document, document });
  }

  /** Writes a replica's entry. */
  writeReplica(id: string, state = ReplicaState.Ready): void {
    this.store.write(`r/${id}`, { kind: RecordKind.Replica, replica: { ...engineEntry(id), state } });
  }

  removeReplica(id: string): void {
    this.ended.add(id);
    this.store.write(`r/${id}`, undefined);
  }

  /** Writes changes that concern nothing that is checked, as replicas do with each heartbeat. */
  writeHeartbeats(count: number): void {
    for (let index = 0; index < count; index += 1) this.writeReplica(`r${index % LASTING_REPLICAS}`);
  }

  /** Writes again what was lost: the latest change of each key that was not written since. */
  rewrite(lost: readonly Written[]): void {
    const latest = new Map(lost.map(({ key, record }) => [key, record]));
    const isWritten = (key: string): boolean =>
      this.store.history.some((change) => change.key === key && change.revision > this.store.restoredAt);
    for (const [key, record] of latest) if (!isWritten(key)) this.store.write(key, record);
  }

  /**
   * The store is away and comes back from a copy.
   * @param count - Number of changes that the copy lacks.
   * @returns The lost changes.
   */
  async drill(count: number, awayMs = 500): Promise<Written[]> {
    this.store.isAway = true;
    await this.run(awayMs);
    const lost = this.store.restore(count);
    this.store.isAway = false;
    this.storeCalmSince = this.fleet.timers.now();
    return lost;
  }

  /** Notes that a daemon was disturbed until now, so that it may be late for a while. */
  disturbed(index: number): void {
    const address = this.fleet.addressOf(index);
    const observed = this.observed.get(address);
    if (observed !== undefined)
      this.observed.set(address, { ...observed, calmSince: this.fleet.timers.now() });
  }

  /** Ends a daemon; its successor begins with nothing. */
  kill(index: number): void {
    const address = this.fleet.addressOf(index);
    this.observed.get(address)?.watcher.stop();
    this.observed.delete(address);
    this.fleet.daemon(index).kill();
  }

  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await this.fleet.timers.advance(Math.min(STEP_MS, ms - passed));
      for (const observed of this.observed.values()) this.check(observed);
    }
  }

  stop(): void {
    for (const { watcher } of this.observed.values()) watcher.stop();
  }

  /** Version that a daemon has in force. */
  versionAt(index: number): number | undefined {
    return this.observed.get(this.fleet.addressOf(index))?.registry.table?.document.version;
  }

  /** Number of routes that a daemon has in force. */
  routeCountAt(index: number): number | undefined {
    return this.observed.get(this.fleet.addressOf(index))?.registry.table?.document.routes.length;
  }

  /** Whether a daemon sends requests to a replica. */
  isReady(index: number, id: string): boolean {
    const ready = this.observed.get(this.fleet.addressOf(index))?.registry.readyReplicas('engines') ?? [];
    return ready.some((entry) => entry.id === id);
  }

  private check(observed: Observed): void {
    const { daemon, registry } = observed;
    if (this.fleet.network.isFrozen(daemon.address)) return;
    const version = registry.table?.document.version ?? 0;
    const ready = new Set(registry.readyReplicas('engines').map(({ id }) => id));
    if (version < Math.max(...observed.versions)) this.report(daemon, `version ${version} is in force again`);
    observed.versions.add(version);
    for (const id of observed.left) if (ready.has(id)) this.report(daemon, `${id} has left and is ready`);
    for (const id of this.ended)
      if (observed.listed.has(id) && registry.replica(id) === undefined) observed.left.add(id);
    for (const { id, state } of registry.all()) {
      observed.listed.add(id);
      if (state === ReplicaState.Leaving) observed.left.add(id);
    }
    this.checkInForce(observed, version, ready);
  }

  /** Checks that what has been in the store for long enough is in force. */
  private checkInForce({ daemon, left, calmSince }: Observed, version: number, ready: Set<string>): void {
    const now = this.fleet.timers.now();
    if (this.store.isAway || this.excused.has(daemon.address) || now - calmSince < SETTLED_MS) return;
    const since = Math.max(calmSince, this.storeCalmSince);
    for (const [key, { record, at }] of this.store.latest()) {
      // Until then, a replica that is missing from a copy may be one whose entry was lost.
      const knownFrom =
        record === undefined ? Math.max(at, since + SETTLED_MS - IN_FORCE_MS) : Math.max(at, since);
      const isDue = now - knownFrom >= IN_FORCE_MS;
      const id = key.slice(2);
      if (
        record === undefined ||
        (record.kind === RecordKind.Replica && record.replica.state !== ReplicaState.Ready)
      ) {
        if (isDue && ready.has(id)) this.report(daemon, `${id} leaves, which is not known`);
        if (isDue) left.add(id);
      } else if (record.kind === RecordKind.Replica) {
        if (isDue && !left.has(id) && !ready.has(id)) this.report(daemon, `${id} is not known`);
      } else if (record.kind === RecordKind.Document && isDue && version < record.document.version)
        this.report(daemon, `version ${record.document.version} is not in force, but ${version}`);
    }
  }

  private report({ address }: TestDaemon, what: string): void {
    this.violations.add(`${address}: ${what}`);
  }

  private observe(daemon: TestDaemon): void {
    const { address, view, cluster, tree } = daemon;
    const own = timersOf(this.fleet.network, address);
    const sleep = (ms: number): Promise<void> =>
      new Promise((resolve) => {
        own.after(ms, resolve);
      });
    const timers = { ...own, sleep };
    const watcher = new StoreWatcher({
      view,
      source: this.store.sourceOf(address),
      timers,
      rank: () => storeReaderRank(address, cluster.aliveAddresses(), (peer) => cluster.member(peer)?.zone),
      isAlone: () => cluster.aliveAddresses().length <= 1,
      isFirstStart: this.isFirstStart,
      random: () => this.random.between(0, 1),
      publish: (hasChanges) => tree.publishView(hasChanges),
      onReachabilityChange: () => undefined,
      onList: () => undefined,
      onFirstList: () => undefined,
      onTakeOver: () => undefined,
    });
    this.observed.set(address, {
      daemon,
      watcher,
      registry: new ReplicaRegistry(view, createAvailability(timers), timers),
      versions: new Set([0]),
      listed: new Set(),
      left: new Set(),
      calmSince: this.fleet.timers.now(),
    });
    watcher.start();
  }
}
