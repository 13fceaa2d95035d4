/** Computes which resources this daemon owns, and hands them over when the owner changes. */
import type { Log, TimerHandle } from '@celeryyoke/core';
import { AuditKind } from '@celeryyoke/core';
import type { HostEntry } from '@celeryyoke/platform';
import { HostRole, HostState } from '@celeryyoke/platform';

import type { Moment } from '../membership/clocks.js';
import { elapsedSince, readClocks } from '../membership/clocks.js';
import type { PeerIdentity } from '../peers/index.js';
import { ReleaseRequester } from './release-requester.js';
import { authoritySpanMs } from './bounds.js';
import { Departures } from './departures.js';
import { nextFencingToken } from './fencing.js';
import { RelinquishedResources } from './relinquished-resources.js';
import { ViewLease } from './lease.js';
import { OwnerTable } from './owner-table.js';
import { DEFAULT_OWNERSHIP_TIMES } from './settings.js';
import type { TenureContext } from './tenure.js';
import { Tenure } from './tenure.js';
import type { ManagedOwnership, OwnedResource, OwnershipOptions, OwnershipTimes } from './types.js';
import { Authority } from './types.js';
import type { Release, ReleaseResponse } from './wire.js';
import { DEPARTING_PROCEDURE, RELEASE_PROCEDURE } from './wire.js';

type Listener = (resource: string, authority: Authority) => void;

/**
 * Ownership by rendezvous hashing over the live entry hosts of the host list. A resource that this daemon
 * owns has a tenure, which decides what this daemon may do. When the view changes, tenures start or end: a
 * new owner requests a release from possible previous owners, and a previous owner releases what it gave up.
 */
class HostListOwnership implements ManagedOwnership {
  private readonly times: OwnershipTimes;

  private readonly log: Log;

  private readonly lease: ViewLease;

  private readonly departures: Departures;

  private readonly relinquished: RelinquishedResources;

  private readonly releaseRequester: ReleaseRequester;

  private readonly context: TenureContext;

  private readonly tenures = new Map<string, Tenure>();

  private readonly observedTokens = new Map<string, number>();

  private readonly listeners = new Set<Listener>();

  private readonly unsubscribe: () => void;

  private owners = new OwnerTable([]);

  private entries: readonly HostEntry[] = [];

  private departuresKey = '';

  private resources: readonly OwnedResource[] = [];

  private viewReadAt: Moment;

  private departedAt: Moment | undefined;

  private tickTimer: TimerHandle | undefined;

  constructor(private readonly options: OwnershipOptions) {
    const { bus, membership, timers, checksLeases = true } = options;
    const times = { ...DEFAULT_OWNERSHIP_TIMES, ...options.times };
    this.times = times;
    this.log = options.log.part('ownership');
    this.lease = new ViewLease(membership, timers, times);
    this.departures = new Departures(membership, timers, times);
    this.relinquished = new RelinquishedResources(timers, times);
    this.viewReadAt = readClocks(timers);
    const ownerId = `${bus.self.name}#${bus.self.incarnation}`;
    this.context = { ownerId, timers, times, lease: this.lease, checksLeases };
    this.releaseRequester = new ReleaseRequester({
      bus,
      timers,
      times,
      onDeparted: (peer, requestedAt) => this.handleDeparture(peer, requestedAt),
      onReleased: (peer, release) => this.handleRelease(peer, release),
    });
    bus.handle(RELEASE_PROCEDURE, ({ resources }, from) =>
      Promise.resolve(this.handleReleaseRequest(resources, from)),
    );
    bus.handle(DEPARTING_PROCEDURE, (_, from) => {
      void this.releaseRequester.requestRelease(from.name, this.resourcesInheritedFrom(from.name));
      return Promise.resolve(null);
    });
    this.unsubscribe = membership.subscribe(() => this.refresh());
  }

  start(): void {
    this.refresh();
    this.tickTimer ??= this.options.timers.repeat(this.times.tickMs, () => this.runTick());
  }

  async stop(): Promise<void> {
    this.tickTimer?.cancel();
    this.unsubscribe();
  }

  ownerOf(resource: string): string | undefined {
    const { name } = this.options.bus.self;
    const owner = this.owners.ownerOf(resource);
    return this.departedAt !== undefined && owner === name ? this.owners.ownerWithout(resource, name) : owner;
  }

  authority(resource: string): Authority {
    return this.actingTenure(resource)?.authority() ?? Authority.None;
  }

  mayGrantSlotLeases(resource: string): boolean {
    return this.actingTenure(resource)?.mayGrantSlotLeases() ?? false;
  }

  fencingToken(resource: string): number {
    const tenure = this.tenures.get(resource);
    return (
      tenure?.fencingToken() ?? nextFencingToken(this.observedTokens.get(resource) ?? 0, this.context.ownerId)
    );
  }

  observeFencingToken(resource: string, token: number): void {
    this.observedTokens.set(resource, Math.max(token, this.observedTokens.get(resource) ?? 0));
    this.tenures.get(resource)?.observeFencingToken(token);
  }

  needsClaim(resource: string): boolean {
    return this.actingTenure(resource)?.needsClaim() ?? false;
  }

  trackOrder(resource: string): () => void {
    return this.relinquished.trackOrder(resource);
  }

  subscribe(listener: Listener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  async handOver(signal: AbortSignal): Promise<void> {
    const { bus, membership, timers } = this.options;
    for (const tenure of this.tenures.values()) this.relinquish(tenure);
    this.departedAt ??= readClocks(timers);
    this.notifyChanges();
    const peers = membership.hosts(HostRole.Entry).filter(({ name }) => name !== bus.self.name);
    const call = { timeoutMs: this.times.peerTimeoutMs, signal };
    await Promise.allSettled(peers.map(({ name }) => bus.call(name, DEPARTING_PROCEDURE, {}, call)));
    while (!this.relinquished.isReleaseComplete() && !signal.aborted) await timers.sleep(this.times.tickMs);
  }

  /**
   * Tenure under which this daemon may act at this moment; none after it has departed or while its view is
   * doubtful.
   */
  private actingTenure(resource: string): Tenure | undefined {
    const { membership } = this.options;
    if (this.departedAt !== undefined || (this.context.checksLeases && membership.needsConfirmation()))
      return undefined;
    // A departure expires without an event.
    if (this.departures.activeNames().join() !== this.departuresKey) this.refresh();
    return this.tenures.get(resource);
  }

  /** Updates tenures and notifies subscribers after a change or renewal of the view. */
  private refresh(): void {
    const wasUnconfirmed = this.lease.update();
    const isChanged = this.updateOwners();
    for (const tenure of this.tenures.values()) if (wasUnconfirmed) tenure.restart();
    if (isChanged) this.updateTenures();
    const { timers, membership } = this.options;
    const age = membership.ageMs();
    const { now, wall } = readClocks(timers);
    this.viewReadAt = { now: now - age, wall: wall - age };
    this.notifyChanges();
  }

  /** Recomputes owners if hosts, departures or resources have changed, and returns whether they have. */
  private updateOwners(): boolean {
    const entries = this.options.membership.hosts(HostRole.Entry);
    const resources = this.options.resources();
    const departuresKey = this.departures.activeNames().join();
    const isSame = entries === this.entries && departuresKey === this.departuresKey;
    if (isSame && resources === this.resources) return false;
    if (!isSame) {
      const live = entries.filter(
        ({ name, state }) => state === HostState.Live && !this.departures.isActive(name),
      );
      this.owners = new OwnerTable(live.map(({ name }) => name));
    }
    this.entries = entries;
    this.resources = resources;
    this.departuresKey = departuresKey;
    return true;
  }

  private updateTenures(): void {
    const self = this.options.bus.self.name;
    const ownedNames = new Set<string>();
    for (const resource of this.resources) {
      if (this.owners.ownerOf(resource.name) !== self) continue;
      ownedNames.add(resource.name);
      const tenure = this.tenures.get(resource.name);
      // If the configuration now says that the engine ignores fencing, the token in its reports proves
      // nothing.
      if (tenure?.resource.arbitration !== resource.arbitration) this.startTenure(resource);
    }
    for (const [name, tenure] of this.tenures) {
      if (ownedNames.has(name)) continue;
      // The new view shows another owner, so the release window counts from the previous view.
      this.relinquish(tenure);
      this.tenures.delete(name);
      this.notify(name, tenure, Authority.None);
    }
  }

  private startTenure(resource: OwnedResource): void {
    const { name } = resource;
    const predecessors = new Set(this.departures.activeNames());
    const nextOwner = this.owners.ownerWithout(name, this.options.bus.self.name);
    if (nextOwner !== undefined) predecessors.add(nextOwner);
    for (const host of this.entries) if (host.state === HostState.Leaving) predecessors.add(host.name);
    const tenure = new Tenure(resource, predecessors, this.context);
    const observedToken = this.observedTokens.get(name);
    if (observedToken !== undefined) tenure.observeFencingToken(observedToken);
    this.relinquished.remove(name);
    this.tenures.set(name, tenure);
  }

  /**
   * Gives up a tenure that had full authority, so that the next owner can request a release instead of
   * waiting.
   */
  private relinquish(tenure: Tenure): void {
    // A departed daemon has given up all its resources and can't have obtained authority since.
    if (tenure.fullAuthorityBasis === undefined || this.departedAt !== undefined) return;
    this.relinquished.add(tenure.resource.name, this.viewReadAt, tenure.fencingToken());
  }

  private runTick(): void {
    this.departures.pruneExpired();
    this.relinquished.pruneExpired();
    this.refresh();
    if (this.departedAt !== undefined) this.extendReleaseWindows(this.departedAt);
    else this.requestReleases();
    for (const name of this.departures.activeNames())
      void this.releaseRequester.requestRelease(name, this.resourcesInheritedFrom(name));
  }

  /**
   * Keeps the release windows open while this daemon has departed but is still listed as the owner, so that
   * it can release after its last order has ended. This stops after one authority span, before any other
   * daemon can have completed the take-over wait.
   */
  private extendReleaseWindows(departedAt: Moment): void {
    if (elapsedSince(departedAt, this.options.timers) > authoritySpanMs(this.times)) return;
    for (const name of this.tenures.keys()) this.relinquished.extendReleaseWindow(name, this.viewReadAt);
  }

  private requestReleases(): void {
    const resourcesByPeer = new Map<string, string[]>();
    for (const [name, tenure] of this.tenures) {
      if (tenure.fullAuthorityBasis !== undefined) continue;
      for (const peer of tenure.predecessors)
        resourcesByPeer.set(peer, [...(resourcesByPeer.get(peer) ?? []), name]);
    }
    for (const [peer, resources] of resourcesByPeer) {
      if (this.options.membership.findHost(peer) !== undefined)
        void this.releaseRequester.requestRelease(peer, resources);
    }
  }

  /** Resources that this daemon owns, or will own once another daemon has departed. */
  private resourcesInheritedFrom(from: string): readonly string[] {
    const self = this.options.bus.self.name;
    const names = this.resources.map(({ name }) => name);
    return names.filter((name) => {
      const owner = this.owners.ownerOf(name);
      return owner === from ? this.owners.ownerWithout(name, from) === self : owner === self;
    });
  }

  private handleReleaseRequest(resources: readonly string[], from: PeerIdentity): ReleaseResponse {
    const released: Release[] = [];
    for (const resource of resources) {
      const release = this.relinquished.release(resource, from);
      if (release !== undefined) released.push(release);
    }
    return { departed: this.departedAt !== undefined, released };
  }

  private handleDeparture(peer: string, requestedAt: Moment): void {
    this.departures.confirm(peer, requestedAt);
    this.refresh();
  }

  private handleRelease(peer: string, release: Release): void {
    const tenure = this.tenures.get(release.resource);
    if (tenure === undefined || this.departedAt !== undefined || !this.lease.isFresh()) return;
    this.observeFencingToken(release.resource, release.fencing);
    tenure.markReleased();
    this.log.info(`Resource ${release.resource} was handed over by ${peer}.`);
    this.notifyChanges();
  }

  private notifyChanges(): void {
    for (const [name, tenure] of this.tenures) this.notify(name, tenure, this.authority(name));
  }

  private notify(name: string, tenure: Tenure, authority: Authority): void {
    const before = tenure.notifiedAuthority;
    if (before === authority) return;
    // Stored on the tenure, so that subscribers are notified once per change.
    Object.assign(tenure, { notifiedAuthority: authority });
    this.recordTransition(name, tenure, before, authority);
    for (const listener of this.listeners) listener(name, authority);
  }

  private recordTransition(name: string, tenure: Tenure, before: Authority, after: Authority): void {
    const isTaken = after === Authority.Full;
    if (!isTaken && before !== Authority.Full) return;
    const kind = isTaken ? AuditKind.OwnershipTaken : AuditKind.OwnershipLost;
    const owner = this.owners.ownerOf(name) ?? 'nobody';
    const lossCause = owner === this.options.bus.self.name ? 'authority lapsed' : `the owner is ${owner}`;
    const cause = isTaken ? (tenure.fullAuthorityBasis ?? 'leases are not checked') : lossCause;
    this.log.info(`Ownership of ${name} ${isTaken ? 'taken' : 'lost'}: ${cause}.`);
    this.options.audit.record({ kind, subject: name, cause, before, after });
  }
}

/** Creates the ownership of a daemon; its periodic checks run after `start`. */
export function createOwnership(options: OwnershipOptions): ManagedOwnership {
  return new HostListOwnership(options);
}
