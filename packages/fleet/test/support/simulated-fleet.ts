/** A world of daemons, one resource and an engine that obeys every order, driven by a schedule of failures. */
import type { HostListView } from '@celeryyoke/platform';

import type { MemoryPeerNet } from '../../src/index.js';
import { Authority, createMemoryPeerNet } from '../../src/index.js';
import { entries } from './lists.js';
import type { OwningDaemon, OwningOptions } from './owners.js';
import { createOwningDaemon, TIMES } from './owners.js';

const STEP_MS = 50;

/** What a schedule can do. */
export enum FailureKind {
  Drop = 'drop',
  Restart = 'restart',
  Leave = 'leave',
  Pause = 'pause',
  Blind = 'blind',
  Isolate = 'isolate',
}

/** One failure: it begins at a time, concerns one daemon and lasts for a time. */
export interface Failure {
  readonly kind: FailureKind;
  readonly daemon: number;
  readonly atMs: number;
  readonly forMs: number;
}

/** An order under way: its sender can't take it back, and it is carried out when its time is up. */
interface Order {
  readonly sender: string;
  readonly doneAt: number;
  readonly ended: () => void;
}

interface ListState {
  readonly at: number;
  readonly names: readonly string[];
}

/** The world. */
export class World {
  readonly net: MemoryPeerNet = createMemoryPeerNet();

  /** Moments at which two daemons could remove something, told in words. */
  readonly violations: string[] = [];

  now = 0;

  private readonly daemons = new Map<string, OwningDaemon>();

  private readonly pausedAt = new Map<string, number>();

  private readonly blind = new Set<string>();

  private readonly history: ListState[] = [];

  private orders: Order[] = [];

  private incarnations = 1;

  private draws = 0;

  constructor(
    readonly names: readonly string[],
    private readonly options: OwningOptions,
  ) {
    this.setList(names);
    for (const name of names) this.startDaemon(name);
  }

  /** Names on the true list. */
  get listed(): readonly string[] {
    return this.history.at(-1)!.names;
  }

  /** Daemons that hold full authority now. */
  full(): readonly string[] {
    return this.running().filter((name) => this.authority(name) === Authority.Full);
  }

  /** Moves on, with the given failures under way. */
  async run(ms: number, failures: readonly Failure[] = []): Promise<void> {
    const start = this.now;
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      for (const failure of failures) await this.apply(failure, this.now - start);
      await this.step();
    }
  }

  /** Ends all failures. */
  heal(): void {
    this.net.mend();
    this.blind.clear();
    for (const name of this.pausedAt.keys()) this.wake(name);
    for (const name of this.names) if (!this.daemons.has(name)) this.startDaemon(name);
    this.setList(this.names);
  }

  private async apply({ kind, daemon, atMs, forMs }: Failure, passed: number): Promise<void> {
    const name = this.names[daemon % this.names.length]!;
    const begins = passed === atMs;
    const ends = passed === atMs + forMs;
    if (begins) this.begin[kind](name);
    if (ends) this.end[kind](name);
  }

  private readonly begin: Record<FailureKind, (name: string) => void> = {
    [FailureKind.Drop]: (name) => this.setList(this.listed.filter((other) => other !== name)),
    [FailureKind.Restart]: (name) => this.crash(name),
    [FailureKind.Leave]: (name) => {
      const daemon = this.daemons.get(name);
      if (!this.pausedAt.has(name)) void daemon?.ownership.handOver(new AbortController().signal);
    },
    [FailureKind.Pause]: (name) => {
      if (this.daemons.has(name)) this.pausedAt.set(name, this.now);
    },
    [FailureKind.Blind]: (name) => this.blind.add(name),
    [FailureKind.Isolate]: (name) => {
      for (const other of this.names) this.net.cut(name, other);
      for (const other of this.names) this.net.cut(other, name);
    },
  };

  private readonly end: Record<FailureKind, (name: string) => void> = {
    [FailureKind.Drop]: (name) => this.setList([...new Set([...this.listed, name])].sort()),
    [FailureKind.Restart]: (name) => this.startDaemon(name),
    [FailureKind.Leave]: (name) => {
      this.crash(name);
      this.startDaemon(name);
    },
    [FailureKind.Pause]: (name) => this.wake(name),
    [FailureKind.Blind]: (name) => this.blind.delete(name),
    [FailureKind.Isolate]: (name) => {
      for (const other of this.names) this.net.mend(name, other);
      for (const other of this.names) this.net.mend(other, name);
    },
  };

  private setList(names: readonly string[]): void {
    this.history.push({ at: this.now, names });
  }

  private startDaemon(name: string): void {
    if (this.daemons.has(name)) return;
    const incarnation = this.incarnations;
    this.incarnations += 1;
    const daemon = createOwningDaemon(this.net, name, entries(...this.listed), {
      ...this.options,
      incarnation,
    });
    daemon.list.read = () => this.read(name, daemon);
    this.daemons.set(name, daemon);
  }

  private crash(name: string): void {
    this.daemons.delete(name);
    this.pausedAt.delete(name);
    this.net.leave(name);
  }

  private wake(name: string): void {
    const since = this.pausedAt.get(name);
    this.pausedAt.delete(name);
    if (since === undefined) return;
    this.daemons.get(name)?.timers.pause(this.now - since);
    // The process goes on in the middle of what it did, before any timer fires.
    this.order(name);
  }

  /** Reads the list as it was at some moment within the bound on its lag. */
  private async read(name: string, { timers }: OwningDaemon): Promise<HostListView> {
    if (this.blind.has(name)) throw new Error('the host list is down');
    this.draws += 1;
    const lag = (this.draws * 0.618_033_988_75 * TIMES.hostListLagMs) % TIMES.hostListLagMs;
    const seen = this.history.findLast(({ at }) => at <= this.now - lag) ?? this.history[0]!;
    return { hosts: entries(...seen.names), readAt: timers.now() };
  }

  private running(): readonly string[] {
    return [...this.daemons.keys()].filter((name) => !this.pausedAt.has(name));
  }

  private authority(name: string): Authority {
    return this.daemons.get(name)!.ownership.authority(this.options.resource);
  }

  private async step(): Promise<void> {
    this.beat();
    for (const name of this.running()) await this.daemons.get(name)!.timers.advance(STEP_MS);
    this.now += STEP_MS;
    this.carryOut();
    for (const name of this.running()) this.order(name);
    this.check();
  }

  /** A paused daemon neither sends nor acknowledges heartbeats. */
  private beat(): void {
    const cuts: (readonly [string, string])[] = [];
    for (const paused of this.pausedAt.keys()) {
      for (const other of this.names) cuts.push([paused, other], [other, paused]);
    }
    this.net.beat((from, to) => !cuts.some(([left, right]) => left === from && right === to));
  }

  /** Under full authority a daemon removes something whenever it can; the order takes as long as it may. */
  private order(name: string): void {
    if (this.authority(name) !== Authority.Full) return;
    const daemon = this.daemons.get(name)!;
    const sender = `${name}#${daemon.bus.self.incarnation}`;
    if (this.orders.some((order) => order.sender === sender)) return;
    const ended = daemon.ownership.orderBegan(this.options.resource);
    this.orders.push({ sender, doneAt: this.now + TIMES.removalMs, ended });
  }

  private carryOut(): void {
    for (const order of this.orders) if (order.doneAt <= this.now) order.ended();
    this.orders = this.orders.filter(({ doneAt }) => doneAt > this.now);
  }

  private check(): void {
    const senders = new Set(this.orders.map(({ sender }) => sender));
    if (senders.size > 1) this.violations.push(`${this.now}: orders of ${[...senders].join(' and ')}`);
  }
}
