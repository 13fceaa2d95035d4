/** Daemons that have only a cluster and a tree, on the virtual clock. */
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

/** A shared row of the tests. */
export interface Note {
  readonly name: string;
  readonly version: number;
}

/** One daemon. */
export class TestDaemon {
  readonly cluster: Cluster;

  readonly tree: DisseminationTree;

  readonly view: ReplicatedStore;

  /** Versions of the notes that it knows. */
  readonly notes = new Map<string, number>();

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
      takeRecent: () => undefined,
    });
    this.tree.register<MemberRecord>(Topic.Member, {
      isUrgent: true,
      keyOf: (record) => record.address,
      merge: (record) => this.cluster.merge(record),
      snapshot: () => this.cluster.records(),
      encode: encodeMember,
      decode: (wire) => decodeMember(wire as MemberFrame),
    });
    this.tree.register<Note>(Topic.EngineLease, {
      isUrgent: false,
      keyOf: ({ name }) => name,
      merge: (note) => this.take(note),
      snapshot: () => [...this.notes].map(([name, version]) => ({ name, version })),
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

  /** Publishes a note. */
  publish(name: string, version: number): void {
    this.take({ name, version });
    this.tree.publish(Topic.EngineLease, { name, version });
  }

  /** Notes that the platform's store has a replica at a revision. */
  read(revision: number): void {
    const record = { kind: RecordKind.Replica as const, replica: engineEntry(`e${revision}`) };
    const changes = [{ key: `e${revision}`, revision, record }];
    const isWhole = this.view.upTo === 0;
    this.view.apply({ from: this.view.upTo, upTo: revision, isWhole, changes });
    this.view.confirmUpToDate(revision, 0);
    this.tree.publishView(true);
  }

  /** Ends the process without a word. */
  kill(): void {
    this.isStopped = true;
    this.tree.stop();
    this.network.listening.delete(this.address);
    this.cluster.close();
    this.network.end(this.address);
  }

  private take({ name, version }: Note): boolean {
    if ((this.notes.get(name) ?? 0) >= version) return false;
    this.notes.set(name, version);
    return true;
  }
}

/** Age of what is heard of the fleet beyond which a daemon may be cut off from it, in milliseconds. */
const UP_TO_DATE_MS = 1500;

/** Whether a daemon has heard of the fleet a moment ago. */
export function isUpToDate({ cluster, tree }: TestDaemon): boolean {
  const isHeard = cluster.alive().length <= 1 || cluster.heardAgoMs() < UP_TO_DATE_MS;
  return isHeard && tree.ageMs < UP_TO_DATE_MS;
}

/** Makes the share of a daemon in what the whole fleet is allowed. */
export function shareOf(
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

/** A fleet of daemons. */
export class TestFleet {
  readonly timers: ManualTimerService = createManualTimers();

  readonly network = new MemoryNetwork(this.timers);

  readonly daemons = new Map<string, TestDaemon>();

  private incarnations = 1;

  constructor(
    readonly zones: number,
    readonly seedCount = 3,
    private readonly onCreate: (daemon: TestDaemon) => void = () => undefined,
  ) {}

  /** Name of the daemon with a number; numbers go round the failure domains. */
  name(index: number): string {
    return `10.${1 + (index % this.zones)}.0.${100 + Math.floor(index / this.zones)}:1`;
  }

  /** Daemons that each daemon asks first. */
  seeds(): string[] {
    return Array.from({ length: this.seedCount }, (_, seed) => this.name(seed));
  }

  /** Starts a daemon, again if it has run before. */
  async start(index: number): Promise<TestDaemon> {
    const address = this.name(index);
    const seeds = this.seeds();
    this.incarnations += 1;
    const zone = `z${index % this.zones}`;
    const daemon = new TestDaemon(this.network, address, zone, seeds, this.incarnations);
    this.daemons.set(address, daemon);
    this.onCreate(daemon);
    await daemon.start();
    return daemon;
  }

  /** Starts daemons from 0 on, some milliseconds apart. */
  async startAll(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      await this.start(index);
      await this.timers.advance((index * 7) % 3);
    }
  }

  daemon(index: number): TestDaemon {
    return this.daemons.get(this.name(index))!;
  }

  /** Daemons that run. */
  running(): TestDaemon[] {
    return [...this.daemons.values()].filter(({ isStopped }) => !isStopped);
  }

  /** Lets time go by until something holds. */
  async until(holds: () => boolean, limitMs: number, stepMs = 20): Promise<number> {
    let waitedMs = 0;
    while (!holds() && waitedMs < limitMs) {
      await this.timers.advance(stepMs);
      waitedMs += stepMs;
    }
    return waitedMs;
  }

  /** Whether every running daemon takes just the running ones for alive. */
  agrees(among: readonly TestDaemon[] = this.running()): boolean {
    const expected = among
      .map(({ address }) => address)
      .sort()
      .join();
    return among.every(({ cluster }) => cluster.alive().join() === expected);
  }

  /** Whether all of some daemons know a note. */
  knowNote(name: string, version: number, among: readonly TestDaemon[] = this.running()): boolean {
    return among.every(({ notes }) => notes.get(name) === version);
  }
}
