/**
 * Simulation of daemons that own one resource, under a schedule of failures; the engine executes every order.
 */
import type { HostListView } from '@celeryyoke/platform';

import type { MemoryPeerNet } from '../../src/index.js';
import { Authority, createMemoryPeerNet } from '../../src/index.js';
import { entries } from './lists.js';
import type { OwnerDaemon, OwnerDaemonOptions } from './owners.js';
import { createOwnerDaemon, TEST_TIMES } from './owners.js';

const STEP_MS = 50;

/** Kinds of failures in a schedule. */
export enum FailureKind {
  /** The host list no longer names the daemon. */
  Drop = 'drop',
  /** The process crashes and starts again. */
  Restart = 'restart',
  /** The process hands over, ends, and starts again. */
  Leave = 'leave',
  /** The process is suspended. */
  Pause = 'pause',
  /** The daemon can't read the host list. */
  Blind = 'blind',
  /** The daemon is cut off from all peers. */
  Isolate = 'isolate',
}

/** One failure of one daemon; `daemon` is its index, `atMs` counts from the start of the run. */
export interface Failure {
  readonly kind: FailureKind;
  readonly daemon: number;
  readonly atMs: number;
  readonly forMs: number;
}

/** An order in flight: it can't be cancelled, and the engine executes it at `completesAtMs`. */
interface Order {
  readonly sender: string;
  readonly completesAtMs: number;
  readonly markEnded: () => void;
}

interface ListState {
  readonly changedAtMs: number;
  readonly names: readonly string[];
}

/** Runs daemons on simulated time and records the moments at which two of them have removals in flight. */
export class SimulatedFleet {
  readonly net: MemoryPeerNet = createMemoryPeerNet();

  /** Descriptions of the moments at which two daemons had removals in flight. */
  readonly violations: string[] = [];

  nowMs = 0;

  private readonly daemons = new Map<string, OwnerDaemon>();

  private readonly pausedAt = new Map<string, number>();

  private readonly withoutHostList = new Set<string>();

  private readonly history: ListState[] = [];

  private orders: Order[] = [];

  private incarnations = 1;

  private listReads = 0;

  constructor(
    readonly names: readonly string[],
    private readonly options: OwnerDaemonOptions,
  ) {
    this.setList(names);
    for (const name of names) this.startDaemon(name);
  }

  /** Names on the current host list, without lag. */
  get listedNames(): readonly string[] {
    return this.history.at(-1)!.names;
  }

  daemonsWithFullAuthority(): readonly string[] {
    return this.running().filter((name) => this.authority(name) === Authority.Full);
  }

  /** Advances time, applying the failures of the schedule. */
  async run(ms: number, failures: readonly Failure[] = []): Promise<void> {
    const start = this.nowMs;
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      for (const failure of failures) await this.apply(failure, this.nowMs - start);
      await this.step();
    }
  }

  /** Ends all failures. */
  heal(): void {
    this.net.unblockDirection();
    this.withoutHostList.clear();
    for (const name of this.pausedAt.keys()) this.resume(name);
    for (const name of this.names) if (!this.daemons.has(name)) this.startDaemon(name);
    this.setList(this.names);
  }

  private async apply({ kind, daemon, atMs, forMs }: Failure, passed: number): Promise<void> {
    const name = this.names[daemon % this.names.length]!;
    const begins = passed === atMs;
    const ends = passed === atMs + forMs;
    if (begins) this.startFailure[kind](name);
    if (ends) this.endFailure[kind](name);
  }

  private readonly startFailure: Record<FailureKind, (name: string) => void> = {
    [FailureKind.Drop]: (name) => this.setList(this.listedNames.filter((other) => other !== name)),
    [FailureKind.Restart]: (name) => this.crash(name),
    [FailureKind.Leave]: (name) => {
      const daemon = this.daemons.get(name);
      if (!this.pausedAt.has(name)) void daemon?.ownership.handOver(new AbortController().signal);
    },
    [FailureKind.Pause]: (name) => {
      if (this.daemons.has(name)) this.pausedAt.set(name, this.nowMs);
    },
    [FailureKind.Blind]: (name) => this.withoutHostList.add(name),
    [FailureKind.Isolate]: (name) => {
      for (const other of this.names) this.net.blockDirection(name, other);
      for (const other of this.names) this.net.blockDirection(other, name);
    },
  };

  private readonly endFailure: Record<FailureKind, (name: string) => void> = {
    [FailureKind.Drop]: (name) => this.setList([...new Set([...this.listedNames, name])].sort()),
    [FailureKind.Restart]: (name) => this.startDaemon(name),
    [FailureKind.Leave]: (name) => {
      this.crash(name);
      this.startDaemon(name);
    },
    [FailureKind.Pause]: (name) => this.resume(name),
    [FailureKind.Blind]: (name) => this.withoutHostList.delete(name),
    [FailureKind.Isolate]: (name) => {
      for (const other of this.names) this.net.unblockDirection(name, other);
      for (const other of this.names) this.net.unblockDirection(other, name);
    },
  };

  private setList(names: readonly string[]): void {
    this.history.push({ changedAtMs: this.nowMs, names });
  }

  private startDaemon(name: string): void {
    if (this.daemons.has(name)) return;
    const incarnation = this.incarnations;
    this.incarnations += 1;
    const daemon = createOwnerDaemon(this.net, name, entries(...this.listedNames), {
      ...this.options,
      incarnation,
    });
    daemon.list.read = () => this.readList(name, daemon);
    this.daemons.set(name, daemon);
  }

  private crash(name: string): void {
    this.daemons.delete(name);
    this.pausedAt.delete(name);
    this.net.leave(name);
  }

  private resume(name: string): void {
    const since = this.pausedAt.get(name);
    this.pausedAt.delete(name);
    if (since === undefined) return;
    this.daemons.get(name)?.timers.pause(this.nowMs - since);
    // A resumed process continues where it was suspended, before any timer fires.
    this.sendRemovalOrder(name);
  }

  /** Reads the list with a lag that varies between reads, within its bound. */
  private async readList(name: string, { timers }: OwnerDaemon): Promise<HostListView> {
    if (this.withoutHostList.has(name)) throw new Error('the host list is down');
    this.listReads += 1;
    const lag = (this.listReads * 0.618_033_988_75 * TEST_TIMES.hostListLagMs) % TEST_TIMES.hostListLagMs;
    const seen = this.history.findLast(({ changedAtMs: at }) => at <= this.nowMs - lag) ?? this.history[0]!;
    return { hosts: entries(...seen.names), readAt: timers.now() };
  }

  private running(): readonly string[] {
    return [...this.daemons.keys()].filter((name) => !this.pausedAt.has(name));
  }

  private authority(name: string): Authority {
    return this.daemons.get(name)!.ownership.authority(this.options.resource);
  }

  private async step(): Promise<void> {
    this.exchangeHeartbeats();
    for (const name of this.running()) await this.daemons.get(name)!.timers.advance(STEP_MS);
    this.nowMs += STEP_MS;
    this.completeOrders();
    for (const name of this.running()) this.sendRemovalOrder(name);
    this.recordViolations();
  }

  /** A paused daemon neither sends nor acknowledges heartbeats. */
  private exchangeHeartbeats(): void {
    const cuts: (readonly [string, string])[] = [];
    for (const paused of this.pausedAt.keys()) {
      for (const other of this.names) cuts.push([paused, other], [other, paused]);
    }
    this.net.exchangeHeartbeats((from, to) => !cuts.some(([left, right]) => left === from && right === to));
  }

  /**
   * A daemon with full authority and no order in flight sends a removal that takes the longest allowed time.
   */
  private sendRemovalOrder(name: string): void {
    if (this.authority(name) !== Authority.Full) return;
    const daemon = this.daemons.get(name)!;
    const sender = `${name}#${daemon.bus.self.incarnation}`;
    if (this.orders.some((order) => order.sender === sender)) return;
    const ended = daemon.ownership.trackOrder(this.options.resource);
    this.orders.push({ sender, completesAtMs: this.nowMs + TEST_TIMES.removalTimeoutMs, markEnded: ended });
  }

  private completeOrders(): void {
    for (const order of this.orders) if (order.completesAtMs <= this.nowMs) order.markEnded();
    this.orders = this.orders.filter(({ completesAtMs: doneAt }) => doneAt > this.nowMs);
  }

  private recordViolations(): void {
    const senders = new Set(this.orders.map(({ sender }) => sender));
    if (senders.size > 1) this.violations.push(`${this.nowMs}: orders of ${[...senders].join(' and ')}`);
  }
}
