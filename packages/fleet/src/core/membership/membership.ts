/** Keeps one daemon's view of the hosts fresh. */
import type { Log, Task } from '@celeryyoke/core';
import { AuditKind, runTask } from '@celeryyoke/core';
import type { HostEntry } from '@celeryyoke/platform';
import { HostRole } from '@celeryyoke/platform';

import { ListGate, Verdict } from './list-validator.js';
import { chooseNeighbours } from './neighbours.js';
import { PauseDetector } from './pauses.js';
import { HeardPeers } from './peer-status.js';
import type { Reading, ReadOutcome } from './reader.js';
import { ListReader } from './reader.js';
import { DEFAULT_MEMBERSHIP_SETTINGS } from './settings.js';
import type { ManagedMembership, MembershipOptions, MembershipSettings, Reach } from './types.js';
import type { HostTable } from './view.js';
import { AgedView, tableOf } from './view.js';

/** Share of the known daemons, this one included, that must confirm a view which can't be renewed. */
export const CONFIRMING_SHARE = 2 / 3;

function describe(table: HostTable | undefined): unknown {
  if (table === undefined) return undefined;
  return { version: table.version, hosts: table.hosts.length, entries: table.ofRole(HostRole.Entry).length };
}

/** Membership over the platform's host list and the peer bus. */
class ListMembership implements ManagedMembership {
  private readonly settings: MembershipSettings;

  private readonly log: Log;

  private readonly gate: ListGate;

  private readonly heard: HeardPeers;

  private readonly pauses: PauseDetector;

  private readonly reader: ListReader;

  private readonly listeners = new Set<() => void>();

  private readonly pins = new Map<string, readonly string[]>();

  private linked: ReadonlySet<string> = new Set();

  private view: AgedView | undefined;

  private lastVerdict = Verdict.Accept;

  private task: Task<void> | undefined;

  private readonly unsubscribe: () => void;

  constructor(private readonly options: MembershipOptions) {
    const { bus, timers, source, random = Math.random } = options;
    const settings = { ...DEFAULT_MEMBERSHIP_SETTINGS, ...options.settings };
    this.settings = settings;
    this.log = options.log.part('membership');
    this.gate = new ListGate(settings);
    this.heard = new HeardPeers(timers, settings.suspectMs);
    this.pauses = new PauseDetector({ ...settings, timers, onPause: (ms) => this.notePause(ms) });
    this.reader = new ListReader({
      source,
      bus,
      timers,
      settings,
      random,
      current: () => this.view,
      reachable: () => [...this.linked].filter((name) => this.heard.answers(name)),
      daemons: () => this.hosts(HostRole.Entry).length,
    });
    bus.contribute({
      name: 'membership',
      collect: () => this.view?.table.entryDigest,
      absorb: (from, data) => this.heard.noteDigest(from.name, String(data)),
    });
    this.unsubscribe = bus.subscribe((event) => {
      if (this.heard.note(event)) this.notify();
    });
  }

  start(): void {
    this.task ??= runTask((signal) => this.run(signal));
  }

  async stop(): Promise<void> {
    this.pauses.stop();
    this.unsubscribe();
    await this.task?.stop();
  }

  hosts(role: HostRole): readonly HostEntry[] {
    return this.view?.table.ofRole(role) ?? [];
  }

  host(name: string): HostEntry | undefined {
    return this.view?.table.find(name);
  }

  isLive(name: string): boolean {
    return this.view?.table.isLive(name) ?? false;
  }

  isReachable(peer: string): boolean {
    if (peer === this.options.bus.self.name) return true;
    if (this.linked.has(peer)) return this.heard.answers(peer);
    return this.isLive(peer) && !this.heard.isLost(peer);
  }

  incarnation(peer: string): number | undefined {
    const { self } = this.options.bus;
    return peer === self.name ? self.incarnation : this.heard.incarnation(peer);
  }

  ageMs(): number {
    return this.view?.ageMs(this.options.timers) ?? Infinity;
  }

  isDoubtful(): boolean {
    return this.pauses.isDoubtful();
  }

  digest(): string {
    return this.view?.table.digest ?? '';
  }

  version(): number | undefined {
    return this.view?.table.version;
  }

  reach(): Reach {
    const staying = [...this.linked].filter((name) => this.isLive(name));
    const digest = this.view?.table.entryDigest ?? '';
    const agreeing = staying.filter((name) => this.heard.agrees(name, digest));
    return { agreeing: agreeing.length + 1, known: staying.length + 1 };
  }

  pin(purpose: string, peers: readonly string[]): void {
    this.pins.set(purpose, peers);
    this.updateLinks();
  }

  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private *run(signal: AbortSignal): Generator<unknown, void> {
    for (;;) {
      const outcome = (yield this.reader.read(this.pauses.isDoubtful())) as ReadOutcome;
      if (outcome.reading !== undefined) this.takeIn(outcome.reading);
      this.confirm(outcome);
      yield this.options.timers.sleep(this.settings.pollMs, signal);
    }
  }

  private takeIn({ list, begun }: Reading): void {
    const { view } = this;
    // What a peer has read may be older than what this daemon has read itself.
    if (view !== undefined && begun.now <= view.begun.now) return;
    const table = tableOf(list, view?.table);
    const verdict = this.gate.judge(view?.table, table, this.options.timers.now());
    this.noteVerdict(verdict, table);
    if (verdict !== Verdict.Accept) return;
    this.view = new AgedView(table, begun);
    this.pauses.renew(begun.now);
    if (table !== view?.table) {
      this.heard.prune((name) => table.find(name) !== undefined);
      this.updateLinks();
    }
    this.notify();
  }

  /**
   * Ends the doubt after a pause when the platform can't be read: most peers, asked after the pause, know no
   * newer list than this daemon, so nothing can have been decided without it.
   */
  private confirm({ askedAt, answers }: ReadOutcome): void {
    if (answers + 1 >= CONFIRMING_SHARE * this.reach().known) this.pauses.renew(askedAt);
  }

  private updateLinks(): void {
    const { bus } = this.options;
    const entries = this.hosts(HostRole.Entry);
    const names = entries.map(({ name }) => name);
    const linked = new Set(chooseNeighbours(bus.self.name, names, this.settings.maxPeers));
    for (const peers of this.pins.values()) for (const name of peers) linked.add(name);
    linked.delete(bus.self.name);
    this.linked = linked;
    bus.updatePeers({ listed: entries.map(({ name, address }) => ({ name, address })), linked });
  }

  private noteVerdict(verdict: Verdict, table: HostTable): void {
    if (verdict === this.lastVerdict) return;
    const before = this.lastVerdict;
    this.lastVerdict = verdict;
    const isHeld = verdict !== Verdict.Accept;
    const cause = isHeld ? `The list looks ${verdict}.` : `The list is taken again (it looked ${before}).`;
    this.log.warn(cause);
    this.options.audit.record({
      kind: isHeld ? AuditKind.HostListHeld : AuditKind.HostListTaken,
      subject: table.digest,
      cause,
      before: describe(this.view?.table),
      after: describe(table),
    });
  }

  private notePause(ms: number): void {
    const cause = `This process stood still for about ${Math.round(ms)} ms.`;
    this.log.warn(cause);
    const { audit, bus } = this.options;
    audit.record({ kind: AuditKind.PauseNoticed, subject: bus.self.name, cause });
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }
}

/**
 * Makes membership; it reads the host list after its start.
 * @param options - Source, bus, time and bounds.
 * @returns Membership.
 */
export function createMembership(options: MembershipOptions): ManagedMembership {
  return new ListMembership(options);
}
