/**
 * Maintains this daemon's view of the hosts: reads the host list regularly, validates it, updates the links
 * to peers, and detects pauses of the process, after which the view must be confirmed before it is used.
 */
import type { Log, Task } from '@celeryyoke/core';
import { AuditKind, runTask } from '@celeryyoke/core';
import type { HostEntry } from '@celeryyoke/platform';
import { HostRole } from '@celeryyoke/platform';

import { ListValidator, Verdict } from './list-validator.js';
import { chooseNeighbours } from './neighbours.js';
import { PauseDetector } from './pauses.js';
import { PeerStatusTable } from './peer-status.js';
import type { ListReading, ReadOutcome } from './reader.js';
import { ListReader } from './reader.js';
import { DEFAULT_MEMBERSHIP_SETTINGS } from './settings.js';
import type { ManagedMembership, MembershipOptions, MembershipSettings, ViewAgreement } from './types.js';
import type { HostTable } from './view.js';
import { ListView, toHostTable } from './view.js';

/**
 * Share of the known daemons, this one included, that must confirm a view when the platform can't be read.
 */
export const CONFIRMING_SHARE = 2 / 3;

function describe(table: HostTable | undefined): unknown {
  if (table === undefined) return undefined;
  return { version: table.version, hosts: table.hosts.length, entries: table.ofRole(HostRole.Entry).length };
}

/** Membership based on the platform's host list and on heartbeats over the peer bus. */
class ListMembership implements ManagedMembership {
  private readonly settings: MembershipSettings;

  private readonly log: Log;

  private readonly validator: ListValidator;

  private readonly peerStatus: PeerStatusTable;

  private readonly pauses: PauseDetector;

  private readonly reader: ListReader;

  private readonly listeners = new Set<() => void>();

  private readonly pinnedPeers = new Map<string, readonly string[]>();

  private linked: ReadonlySet<string> = new Set();

  private view: ListView | undefined;

  private lastVerdict = Verdict.Accept;

  private task: Task<void> | undefined;

  private readonly unsubscribe: () => void;

  constructor(private readonly options: MembershipOptions) {
    const { bus, timers, source, random = Math.random } = options;
    const settings = { ...DEFAULT_MEMBERSHIP_SETTINGS, ...options.settings };
    this.settings = settings;
    this.log = options.log.part('membership');
    this.validator = new ListValidator(settings);
    this.peerStatus = new PeerStatusTable(timers, settings.suspectMs);
    this.pauses = new PauseDetector({ ...settings, timers, onPause: (ms) => this.reportPause(ms) });
    this.reader = new ListReader({
      source,
      bus,
      timers,
      settings,
      random,
      currentView: () => this.view,
      reachablePeers: () => [...this.linked].filter((name) => this.peerStatus.isResponsive(name)),
      daemonCount: () => this.hosts(HostRole.Entry).length,
    });
    bus.addHeartbeatSection({
      name: 'membership',
      collect: () => this.view?.table.entryDigest,
      merge: (from, data) => this.peerStatus.setDigest(from.name, String(data)),
    });
    this.unsubscribe = bus.subscribe((event) => {
      if (this.peerStatus.recordEvent(event)) this.notifyListeners();
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

  findHost(name: string): HostEntry | undefined {
    return this.view?.table.find(name);
  }

  isLive(name: string): boolean {
    return this.view?.table.isLive(name) ?? false;
  }

  isReachable(peer: string): boolean {
    if (peer === this.options.bus.self.name) return true;
    if (this.linked.has(peer)) return this.peerStatus.isResponsive(peer);
    return this.isLive(peer) && !this.peerStatus.isLinkLost(peer);
  }

  incarnationOf(peer: string): number | undefined {
    const { self } = this.options.bus;
    return peer === self.name ? self.incarnation : this.peerStatus.incarnationOf(peer);
  }

  ageMs(): number {
    return this.view?.ageMs(this.options.timers) ?? Infinity;
  }

  needsConfirmation(): boolean {
    return this.pauses.needsConfirmation();
  }

  digest(): string {
    return this.view?.table.digest ?? '';
  }

  version(): number | undefined {
    return this.view?.table.version;
  }

  viewAgreement(): ViewAgreement {
    const linkedLive = [...this.linked].filter((name) => this.isLive(name));
    const digest = this.view?.table.entryDigest ?? '';
    const agreeing = linkedLive.filter((name) => this.peerStatus.hasSameEntries(name, digest));
    return { agreeing: agreeing.length + 1, known: linkedLive.length + 1 };
  }

  pinLinks(purpose: string, peers: readonly string[]): void {
    this.pinnedPeers.set(purpose, peers);
    this.updateLinks();
  }

  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private *run(signal: AbortSignal): Generator<unknown, void> {
    for (;;) {
      const outcome = (yield this.reader.read(this.pauses.needsConfirmation())) as ReadOutcome;
      if (outcome.reading !== undefined) this.applyReading(outcome.reading);
      this.confirmWithPeers(outcome);
      yield this.options.timers.sleep(this.settings.pollMs, signal);
    }
  }

  private applyReading({ list, startedAt }: ListReading): void {
    const { view } = this;
    // A list from a peer may have been read before the one in use.
    if (view !== undefined && startedAt.now <= view.startedAt.now) return;
    const table = toHostTable(list, view?.table);
    const verdict = this.validator.validate(view?.table, table, this.options.timers.now());
    this.reportVerdict(verdict, table);
    if (verdict !== Verdict.Accept) return;
    this.view = new ListView(table, startedAt);
    this.pauses.recordConfirmation(startedAt.now);
    if (table !== view?.table) {
      this.peerStatus.retain((name) => table.find(name) !== undefined);
      this.updateLinks();
    }
    this.notifyListeners();
  }

  /**
   * Confirms the view after a pause when the platform can't be read but enough peers responded: asked after
   * the pause, they know no newer list than this daemon, so nothing can have been decided without it.
   */
  private confirmWithPeers({ startedAt, responses }: ReadOutcome): void {
    if (responses + 1 >= CONFIRMING_SHARE * this.viewAgreement().known)
      this.pauses.recordConfirmation(startedAt);
  }

  private updateLinks(): void {
    const { bus } = this.options;
    const entries = this.hosts(HostRole.Entry);
    const names = entries.map(({ name }) => name);
    const linked = new Set(chooseNeighbours(bus.self.name, names, this.settings.maxPeers));
    for (const peers of this.pinnedPeers.values()) for (const name of peers) linked.add(name);
    linked.delete(bus.self.name);
    this.linked = linked;
    bus.updatePeers({ listed: entries.map(({ name, address }) => ({ name, address })), linked });
  }

  private reportVerdict(verdict: Verdict, table: HostTable): void {
    if (verdict === this.lastVerdict) return;
    const before = this.lastVerdict;
    this.lastVerdict = verdict;
    const isHeld = verdict !== Verdict.Accept;
    const cause = isHeld
      ? `Held back a host list that looks ${verdict}.`
      : `Host lists are accepted again; the last one that was held back looked ${before}.`;
    this.log.warn(cause);
    this.options.audit.record({
      kind: isHeld ? AuditKind.HostListHeld : AuditKind.HostListTaken,
      subject: table.digest,
      cause,
      before: describe(this.view?.table),
      after: describe(table),
    });
  }

  private reportPause(ms: number): void {
    const cause = `This process was paused for about ${Math.round(ms)} ms.`;
    this.log.warn(cause);
    const { audit, bus } = this.options;
    audit.record({ kind: AuditKind.PauseNoticed, subject: bus.self.name, cause });
  }

  private notifyListeners(): void {
    for (const listener of this.listeners) listener();
  }
}

/** Creates membership. It reads the host list from {@link ManagedMembership.start} on. */
export function createMembership(options: MembershipOptions): ManagedMembership {
  return new ListMembership(options);
}
