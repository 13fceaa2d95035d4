/** A fleet of daemons with only membership and shared state, on the virtual clock. */
import type { ManualTimerService } from '@celeryyoke/core';
import { createManualTimers } from '@celeryyoke/core';
import type { MemberFrame, MemberRecord } from '@celeryyoke/routing';
import {
  Cluster,
  decodeMember,
  DisseminationTree,
  encodeMember,
  FleetShare,
  RecordKind,
  ReplicatedStore,
  Topic,
} from '@celeryyoke/routing';

import { engineEntry, log } from '../fakes.js';
import { MemoryNetwork, timersOf } from './network.js';

/** A row of shared state as the tests publish it. */
export interface TestRow {
  readonly name: string;
  readonly version: number;
}

/** A daemon with a cluster, a dissemination tree and a view of the platform. */
export class TestDaemon {
  readonly cluster: Cluster;

  readonly tree: DisseminationTree;

  readonly view: ReplicatedStore;

  /** Versions of the known rows, by name. */
  readonly rowVersions = new Map<string, number>();

  isStopped = false;

  constructor(
    private readonly network: MemoryNetwork,
    readonly address: string,
    zone: string,
    seeds: readonly string[],
    incarnation: number,
  ) {
    const timers = timersOf(network, address);
    this.view = new ReplicatedStore(timers);
    this.cluster = new Cluster({
      self: { address, zone, incarnation },
      seeds: () => seeds,
      timers,
      transport: network.transport(address),
      log,
      onChange: (record) => this.tree.publish(Topic.Member, record, record.address === address),
    });
    this.tree = new DisseminationTree({
      self: address,
      cluster: this.cluster,
      view: this.view,
      timers,
      log,
      recent: () => [],
      mergeRecent: () => undefined,
    });
    this.tree.register<MemberRecord>(Topic.Member, {
      isUrgent: true,
      keyOf: (record) => record.address,
      merge: (record) => this.cluster.merge(record),
      snapshot: () => this.cluster.memberRecords(),
      encode: encodeMember,
      decode: (wire) => decodeMember(wire as MemberFrame),
    });
    this.tree.register<TestRow>(Topic.EngineLease, {
      isUrgent: false,
      keyOf: ({ name }) => name,
      merge: (row) => this.mergeRow(row),
      snapshot: () => [...this.rowVersions].map(([name, version]) => ({ name, version })),
      encode: ({ name, version }) => [name, version],
      decode: (wire) => {
        const [name, version] = wire as [string, number];
        return { name, version };
      },
    });
  }

  async start(): Promise<void> {
    await this.cluster.start();
    this.tree.start();
  }

  /** Publishes a row. */
  publish(name: string, version: number): void {
    this.mergeRow({ name, version });
    this.tree.publish(Topic.EngineLease, { name, version });
  }

  /** Applies and publishes a read of the platform's store that found a replica at a revision. */
  readStore(revision: number): void {
    const record = { kind: RecordKind.Replica as const, replica: engineEntry(`e${revision}`) };
    const changes = [{ key: `e${revision}`, revision, record }];
    const isWhole = this.view.upTo === 0;
    this.view.apply({ from: this.view.upTo, upTo: revision, isWhole, changes });
    this.view.confirmUpToDate(revision, 0);
    this.tree.publishView(true);
  }

  /** Ends the process without notice to the other daemons. */
  kill(): void {
    this.isStopped = true;
    this.tree.stop();
    this.network.listening.delete(this.address);
    this.cluster.close();
    this.network.endProcess(this.address);
  }

  private mergeRow({ name, version }: TestRow): boolean {
    if ((this.rowVersions.get(name) ?? 0) >= version) return false;
    this.rowVersions.set(name, version);
    return true;
  }
}

/** Age of the state of the fleet beyond which a daemon may be cut off, in milliseconds. */
const UP_TO_DATE_MS = 1500;

/** Whether a daemon has received recent state of the fleet. */
export function isUpToDate({ cluster, tree }: TestDaemon): boolean {
  const isHeard = cluster.aliveAddresses().length <= 1 || cluster.sinceLastReceivedMs() < UP_TO_DATE_MS;
  return isHeard && tree.rootBatchAgeMs < UP_TO_DATE_MS;
}

/** Creates a daemon's share in an allowance of the whole fleet. */
export function createFleetShare(
  fleet: TestFleet,
  daemon: TestDaemon,
  isFirstStart: boolean,
  windowMs: number,
): FleetShare {
  const { address, cluster } = daemon;
  return new FleetShare({
    self: address,
    cluster,
    seeds: () => fleet.seeds(),
    isUpToDate: () => isUpToDate(daemon),
    isFirstStart,
    windowMs,
    timers: timersOf(fleet.network, address),
  });
}

/** Daemons of a fleet, which a test starts and stops. */
export class TestFleet {
  readonly timers: ManualTimerService = createManualTimers();

  readonly network = new MemoryNetwork(this.timers);

  readonly daemons = new Map<string, TestDaemon>();

  private lastIncarnation = 1;

  constructor(
    readonly zones: number,
    readonly seedCount = 3,
    private readonly onCreate: (daemon: TestDaemon) => void = () => undefined,
  ) {}

  /** Address of a daemon; consecutive indexes are in different failure domains. */
  addressOf(index: number): string {
    return `10.${1 + (index % this.zones)}.0.${100 + Math.floor(index / this.zones)}:1`;
  }

  /** Addresses of the seeds of every daemon. */
  seeds(): string[] {
    return Array.from({ length: this.seedCount }, (_, seed) => this.addressOf(seed));
  }

  /** Starts a daemon, or starts it again with a new incarnation. */
  async start(index: number): Promise<TestDaemon> {
    const address = this.addressOf(index);
    const seeds = this.seeds();
    this.lastIncarnation += 1;
    const zone = `z${index % this.zones}`;
    const daemon = new TestDaemon(this.network, address, zone, seeds, this.lastIncarnation);
    this.daemons.set(address, daemon);
    this.onCreate(daemon);
    await daemon.start();
    return daemon;
  }

  /** Starts the first daemons, up to two milliseconds apart. */
  async startAll(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      await this.start(index);
      await this.timers.advance((index * 7) % 3);
    }
  }

  daemon(index: number): TestDaemon {
    return this.daemons.get(this.addressOf(index))!;
  }

  /** Daemons whose process has not ended. */
  running(): TestDaemon[] {
    return [...this.daemons.values()].filter(({ isStopped }) => !isStopped);
  }

  /**
   * Advances time until a condition holds or a limit is reached.
   * @returns Time that was waited, in milliseconds.
   */
  async advanceUntil(condition: () => boolean, limitMs: number, stepMs = 20): Promise<number> {
    let waitedMs = 0;
    while (!condition() && waitedMs < limitMs) {
      await this.timers.advance(stepMs);
      waitedMs += stepMs;
    }
    return waitedMs;
  }

  /** Advances time, and has every daemon that runs send at each step. */
  async advanceSending(ms: number, stepMs: number, send: (address: string) => Promise<void>): Promise<void> {
    for (let atMs = 0; atMs < ms; atMs += stepMs) {
      for (const { address } of this.running()) if (!this.network.isFrozen(address)) void send(address);
      await this.timers.advance(stepMs);
    }
  }

  /** Whether all of some daemons know exactly each other as alive. */
  agrees(among: readonly TestDaemon[] = this.running()): boolean {
    const expected = among
      .map(({ address }) => address)
      .sort()
      .join();
    return among.every(({ cluster }) => cluster.aliveAddresses().join() === expected);
  }

  /** Whether all of some daemons have a row in a version. */
  haveRow(name: string, version: number, among: readonly TestDaemon[] = this.running()): boolean {
    return among.every(({ rowVersions }) => rowVersions.get(name) === version);
  }
}
