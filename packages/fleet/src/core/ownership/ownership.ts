/** Ownership of resources by one daemon. */
import type { Log, TimerHandle } from '@celeryyoke/core';
import { AuditKind } from '@celeryyoke/core';
import type { HostEntry } from '@celeryyoke/platform';
import { HostRole, HostState } from '@celeryyoke/platform';

import type { Moment } from '../membership/clocks.js';
import { elapsedSince, readClocks } from '../membership/clocks.js';
import type { PeerIdentity } from '../peers/index.js';
import { Asker } from './release-requester.js';
import { authoritySpanMs } from './bounds.js';
import { Departures } from './departures.js';
import { nextFencing } from './fencing.js';
import { GivenUp } from './relinquished-resources.js';
import { ViewLease } from './lease.js';
import { OwnerTable } from './owner-table.js';
import { DEFAULT_OWNERSHIP_TIMES } from './settings.js';
import type { TenureContext } from './tenure.js';
import { Tenure } from './tenure.js';
import type { ManagedOwnership, OwnedResource, OwnershipOptions, OwnershipTimes } from './types.js';
import { Authority } from './types.js';
import type { Release, ReleaseAnswer } from './wire.js';
import { DEPARTING_PROCEDURE, RELEASE_PROCEDURE } from './wire.js';

type Listener = (resource: string, authority: Authority) => void;

/** Ownership computed from the host list. */
class ListOwnership implements ManagedOwnership {
  private readonly times: OwnershipTimes;

  private readonly log: Log;

  private readonly lease: ViewLease;

  private readonly departures: Departures;

  private readonly given: GivenUp;

  private readonly asker: Asker;

  private readonly context: TenureContext;

  private readonly tenures = new Map<string, Tenure>();

  private readonly shown = new Map<string, number>();

  private readonly listeners = new Set<Listener>();

  private readonly unsubscribe: () => void;

  private owners = new OwnerTable([]);

  private entries: readonly HostEntry[] = [];

  private departed = '';

  private resources: readonly OwnedResource[] = [];

  private viewBegun: Moment;

  private retiredAt: Moment | undefined;

  private tick: TimerHandle | undefined;

  constructor(private readonly options: OwnershipOptions) {
    const { bus, membership, timers, checksLeases = true } = options;
    const times = { ...DEFAULT_OWNERSHIP_TIMES, ...options.times };
    this.times = times;
    this.log = options.log.part('ownership');
    this.lease = new ViewLease(membership, timers, times);
    this.departures = new Departures(membership, timers, times);
    this.given = new GivenUp(timers, times);
    this.viewBegun = readClocks(timers);
    const owner = `${bus.self.name}#${bus.self.incarnation}`;
    this.context = { owner, timers, times, lease: this.lease, checksLeases };
    this.asker = new Asker({
      bus,
      timers,
      times,
      onDeparted: (peer, asked) => this.noteDeparted(peer, asked),
      onReleased: (peer, release) => this.noteReleased(peer, release),
    });
    bus.handle(RELEASE_PROCEDURE, ({ resources }, from) => Promise.resolve(this.answer(resources, from)));
    bus.handle(DEPARTING_PROCEDURE, (_, from) => {
      void this.asker.ask(from.name, this.heirlooms(from.name));
      return Promise.resolve(null);
    });
    this.unsubscribe = membership.subscribe(() => this.review());
  }

  start(): void {
    this.review();
    this.tick ??= this.options.timers.repeat(this.times.tickMs, () => this.check());
  }

  async stop(): Promise<void> {
    this.tick?.cancel();
    this.unsubscribe();
  }

  ownerOf(resource: string): string | undefined {
    const { name } = this.options.bus.self;
    const owner = this.owners.ownerOf(resource);
    return this.retiredAt !== undefined && owner === name ? this.owners.ownerWithout(resource, name) : owner;
  }

  authority(resource: string): Authority {
    return this.actingTenure(resource)?.authority() ?? Authority.None;
  }

  mayGrant(resource: string): boolean {
    return this.actingTenure(resource)?.mayGrant() ?? false;
  }

  fencing(resource: string): number {
    const tenure = this.tenures.get(resource);
    return tenure?.fencing() ?? nextFencing(this.shown.get(resource) ?? 0, this.context.owner);
  }

  observeFencing(resource: string, fencing: number): void {
    this.shown.set(resource, Math.max(fencing, this.shown.get(resource) ?? 0));
    this.tenures.get(resource)?.observe(fencing);
  }

  needsClaim(resource: string): boolean {
    return this.actingTenure(resource)?.needsClaim() ?? false;
  }

  orderBegan(resource: string): () => void {
    return this.given.orderBegan(resource);
  }

  subscribe(listener: Listener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  async handOver(signal: AbortSignal): Promise<void> {
    const { bus, membership, timers } = this.options;
    for (const tenure of this.tenures.values()) this.giveUp(tenure);
    this.retiredAt ??= readClocks(timers);
    this.tellChanges();
    const peers = membership.hosts(HostRole.Entry).filter(({ name }) => name !== bus.self.name);
    const call = { timeoutMs: this.times.peerTimeoutMs, signal };
    await Promise.allSettled(peers.map(({ name }) => bus.call(name, DEPARTING_PROCEDURE, {}, call)));
    while (!this.given.isSettled() && !signal.aborted) await timers.sleep(this.times.tickMs);
  }

  /** The tenure under which this daemon may act, if what it rests on still holds at this moment. */
  private actingTenure(resource: string): Tenure | undefined {
    const { membership } = this.options;
    if (this.retiredAt !== undefined || (this.context.checksLeases && membership.isDoubtful()))
      return undefined;
    // A departure lapses with time alone, without any event.
    if (this.departures.names().join() !== this.departed) this.review();
    return this.tenures.get(resource);
  }

  /** Brings the tenures in line with the view. */
  private review(): void {
    const hasBroken = this.lease.look();
    const isChanged = this.updateOwners();
    for (const tenure of this.tenures.values()) if (hasBroken) tenure.restart();
    if (isChanged) this.updateTenures();
    const { timers, membership } = this.options;
    const age = membership.ageMs();
    const { now, wall } = readClocks(timers);
    this.viewBegun = { now: now - age, wall: wall - age };
    this.tellChanges();
  }

  /** Computes the owners anew when hosts, departures or resources have changed. */
  private updateOwners(): boolean {
    const entries = this.options.membership.hosts(HostRole.Entry);
    const resources = this.options.resources();
    const departed = this.departures.names().join();
    const isSame = entries === this.entries && departed === this.departed;
    if (isSame && resources === this.resources) return false;
    if (!isSame) {
      const live = entries.filter(
        ({ name, state }) => state === HostState.Live && !this.departures.has(name),
      );
      this.owners = new OwnerTable(live.map(({ name }) => name));
    }
    this.entries = entries;
    this.resources = resources;
    this.departed = departed;
    return true;
  }

  private updateTenures(): void {
    const self = this.options.bus.self.name;
    const mine = new Set<string>();
    for (const resource of this.resources) {
      if (this.owners.ownerOf(resource.name) !== self) continue;
      mine.add(resource.name);
      const tenure = this.tenures.get(resource.name);
      // An engine that is now said to ignore fencing proves nothing by its number any more.
      if (tenure?.resource.arbitration !== resource.arbitration) this.begin(resource);
    }
    for (const [name, tenure] of this.tenures) {
      if (mine.has(name)) continue;
      // The view that has just come shows another owner; what is given up rests on the view before it.
      this.giveUp(tenure);
      this.tenures.delete(name);
      this.tell(name, tenure, Authority.None);
    }
  }

  private begin(resource: OwnedResource): void {
    const { name } = resource;
    const predecessors = new Set(this.departures.names());
    const next = this.owners.ownerWithout(name, this.options.bus.self.name);
    if (next !== undefined) predecessors.add(next);
    for (const host of this.entries) if (host.state === HostState.Leaving) predecessors.add(host.name);
    const tenure = new Tenure(resource, predecessors, this.context);
    const shown = this.shown.get(name);
    if (shown !== undefined) tenure.observe(shown);
    this.given.takeBack(name);
    this.tenures.set(name, tenure);
  }

  /** Gives up a tenure that had full authority, so that the next owner need not wait. */
  private giveUp(tenure: Tenure): void {
    // A daemon that has retired has given up all that it had; it can't have won anything since.
    if (tenure.wonBy === undefined || this.retiredAt !== undefined) return;
    this.given.giveUp(tenure.resource.name, this.viewBegun, tenure.fencing());
  }

  /** Runs at each tick. */
  private check(): void {
    this.departures.prune();
    this.given.prune();
    this.review();
    if (this.retiredAt !== undefined) this.holdPlaces(this.retiredAt);
    else this.askPredecessors();
    for (const name of this.departures.names()) void this.asker.ask(name, this.heirlooms(name));
  }

  /**
   * A daemon that has retired but is still listed as the owner holds the place for the next one, while its last order
   * is under way; not for longer than one authority span, so that this ends before anyone has waited it out.
   */
  private holdPlaces(retiredAt: Moment): void {
    if (elapsedSince(retiredAt, this.options.timers) > authoritySpanMs(this.times)) return;
    for (const name of this.tenures.keys()) this.given.hold(name, this.viewBegun);
  }

  private askPredecessors(): void {
    const wanted = new Map<string, string[]>();
    for (const [name, tenure] of this.tenures) {
      if (tenure.wonBy !== undefined) continue;
      for (const peer of tenure.predecessors) wanted.set(peer, [...(wanted.get(peer) ?? []), name]);
    }
    for (const [peer, resources] of wanted) {
      if (this.options.membership.host(peer) !== undefined) void this.asker.ask(peer, resources);
    }
  }

  /** Resources that come to this daemon once another one has gone. */
  private heirlooms(from: string): readonly string[] {
    const self = this.options.bus.self.name;
    const names = this.resources.map(({ name }) => name);
    return names.filter((name) => {
      const owner = this.owners.ownerOf(name);
      return owner === from ? this.owners.ownerWithout(name, from) === self : owner === self;
    });
  }

  private answer(resources: readonly string[], from: PeerIdentity): ReleaseAnswer {
    const released: Release[] = [];
    for (const resource of resources) {
      const release = this.given.release(resource, from);
      if (release !== undefined) released.push(release);
    }
    return { departed: this.retiredAt !== undefined, released };
  }

  private noteDeparted(peer: string, asked: Moment): void {
    this.departures.confirm(peer, asked);
    this.review();
  }

  private noteReleased(peer: string, release: Release): void {
    const tenure = this.tenures.get(release.resource);
    if (tenure === undefined || this.retiredAt !== undefined || !this.lease.isFresh()) return;
    this.observeFencing(release.resource, release.fencing);
    tenure.release();
    this.log.info(`Resource ${release.resource} was handed over by ${peer}.`);
    this.tellChanges();
  }

  private tellChanges(): void {
    for (const [name, tenure] of this.tenures) this.tell(name, tenure, this.authority(name));
  }

  private tell(name: string, tenure: Tenure, authority: Authority): void {
    const before = tenure.told;
    if (before === authority) return;
    // The state is kept by the tenure, so that each change is told once.
    Object.assign(tenure, { told: authority });
    this.record(name, tenure, before, authority);
    for (const listener of this.listeners) listener(name, authority);
  }

  private record(name: string, tenure: Tenure, before: Authority, after: Authority): void {
    const isTaken = after === Authority.Full;
    if (!isTaken && before !== Authority.Full) return;
    const kind = isTaken ? AuditKind.OwnershipTaken : AuditKind.OwnershipLost;
    const owner = this.owners.ownerOf(name) ?? 'nobody';
    const lost = owner === this.options.bus.self.name ? 'authority lapsed' : `the owner is ${owner}`;
    const cause = isTaken ? (tenure.wonBy ?? 'leases are not checked') : lost;
    this.log.info(`Ownership of ${name} ${isTaken ? 'taken' : 'lost'}: ${cause}.`);
    this.options.audit.record({ kind, subject: name, cause, before, after });
  }
}

/**
 * Makes ownership; it checks itself at each tick after its start.
 * @param options - Bus, membership, resources and times.
 * @returns Ownership.
 */
export function createOwnership(options: OwnershipOptions): ManagedOwnership {
  return new ListOwnership(options);
}
