/**
 * Owner of one engine: grants leases on its adapter slots, requests load permits, sends load and unload
 * orders, and follows the engine's reports. Leases on resident adapters can be granted without the authority
 * to unload; an order needs the authority that its kind requires.
 */
import type { Task } from '@celeryyoke/core';
import { runTask } from '@celeryyoke/core';
import type { EngineConfig } from '@celeryyoke/configuration';
import type { AdapterKey, LoadWant, RoomView, SlotRequest, SlotTable } from '@celeryyoke/placement';
import { createSlotTable, PermitOutcome, SlotState } from '@celeryyoke/placement';
import type { OrderResult } from '@celeryyoke/platform';
import { OrderKind, OrderOutcome } from '@celeryyoke/platform';

import type {
  EngineRenewal,
  EngineRenewalResponse,
  LeaseResponse,
  LeaseRequest,
  LeaseTimes,
} from '../leases/index.js';
import { LeaseOutcome } from '../leases/index.js';
import { Authority } from '../ownership/index.js';
import type { PeerIdentity } from '../peers/index.js';
import type { GrantedPermit } from '../permits/index.js';
import { Capability, CapabilityCheck } from './capability.js';
import { SlotDrain } from './drain.js';
import type { EventSchedule } from './events.js';
import { freeSlot } from './free-slot.js';
import { LeaseLedger } from './ledger.js';
import type { SentOrder } from './orders.js';
import { EngineOrders, engineResource } from './orders.js';
import { recallLease } from './recall.js';
import type { TimedReport } from './report-poller.js';
import { ReportPoller } from './report-poller.js';
import type { EngineOwnersOptions, OwnedEngine } from './types.js';
import type { WaitingRequest } from './waiting-requests.js';
import { refusal, waitingRequestId, WaitingRequests } from './waiting-requests.js';

/** Dependencies and settings of one owner. */
export interface EngineOwnerOptions extends EngineOwnersOptions {
  readonly engine: EngineConfig;
  readonly times: LeaseTimes;
  /** Loads and reserved slots for scheduled events. */
  readonly events: EventSchedule;
  /**
   * Monotonic milliseconds until which orders of this engine's previous owner in this process may still
   * arrive.
   */
  readonly notBefore: number;
}

/** Manages the slots, leases and orders of one engine while this daemon owns it. */
export class EngineOwner {
  private readonly table: SlotTable;

  private readonly ledger: LeaseLedger;

  private readonly orders: EngineOrders;

  private readonly capabilityCheck: CapabilityCheck;

  private readonly reports: ReportPoller;

  private readonly waitingRequests: WaitingRequests;

  private readonly drain: SlotDrain;

  private readonly unregisterFromPermits: () => void;

  private permitTask: Task<void> | undefined;

  private lastReport: TimedReport | undefined;

  /** Whether a permit is in use or an order is in flight; orders are sent one at a time. */
  private isOrderActive = false;

  /** When the last permit was used up; reports of an earlier state do not show what its orders did. */
  private lastOrderEndedAt = -Infinity;

  /** Whether the slot table shows the resident adapters, as taken over from a report. */
  private isAdopted = false;

  /** What this daemon may do, as of the last tick, and since when it may do as much. */
  private capability = Capability.None;

  private capableSince = Infinity;

  /** Slot states as published last; replaced only when they change. */
  private publishedKeys: ReadonlyMap<AdapterKey, SlotState> = new Map();

  constructor(private readonly options: EngineOwnerOptions) {
    const { engine, policy, times, timers, permits, clients } = options;
    const { name, model, slots, batch, store } = engine;
    const client = clients(engine);
    this.table = createSlotTable({ engine: name, model, slots, batch, policy });
    this.ledger = new LeaseLedger({ table: this.table, ...times });
    this.drain = new SlotDrain({
      table: this.table,
      policy,
      afterMs: () => options.config.current()?.config.policy?.maxLoadWaitMs ?? Infinity,
      recall: (key) => this.drainLeases(key),
    });
    this.orders = new EngineOrders({ ...options, engine: name, client });
    this.capabilityCheck = new CapabilityCheck({ ...options, engine: name, orders: this.orders });
    this.waitingRequests = new WaitingRequests({
      timers,
      graceMs: times.callTimeoutMs,
      onRemoved: (id) => this.table.release(id, timers.now()),
    });
    this.reports = new ReportPoller({
      ...options,
      ...times,
      engine: name,
      client,
      onReport: (timed) => this.applyReport(timed),
      onHealthChange: () => this.handleHealthChange(),
    });
    this.unregisterFromPermits = permits.serve(name, store, {
      permit: (permit) => this.usePermit(permit),
      redirect: (key, to) => this.redirectWaiting(key, to),
    });
  }

  /** Whether two configurations of an engine are equal in all that its owner uses. */
  static isUnchanged(left: EngineConfig, right: EngineConfig): boolean {
    const { address, model, store, slots, batch } = left;
    const isPlaced = address === right.address && model === right.model && store === right.store;
    return isPlaced && slots === right.slots && batch === right.batch;
  }

  /** Serves a lease request; the response waits for a load, at most for the `waitMs` of the request. */
  async request(input: LeaseRequest, from: PeerIdentity): Promise<LeaseResponse> {
    const { timers } = this.options;
    const now = timers.now();
    const id = waitingRequestId(from, input.requestId);
    if (this.waitingRequests.isCancelled(id)) return refusal(LeaseOutcome.Cancelled);
    if (!this.can(Capability.Loading)) return refusal(LeaseOutcome.NotOwner);
    if (!this.isUsable() || this.drain.isDraining(input.key)) return refusal(LeaseOutcome.Unavailable);
    const { key, priority, deadlineMs } = input;
    const deadlineAt = deadlineMs === null ? Infinity : now + deadlineMs;
    const isReady = this.table.lease({ id, holder: from.name, key, priority, deadlineAt }, now);
    if (isReady) {
      this.table.release(id, now);
      const canGrant = this.can(Capability.Granting);
      return canGrant ? this.grant(from, key, input.ask, now) : refusal(LeaseOutcome.NotOwner);
    }
    const response = this.waitingRequests.waitForGrant(id, from, input);
    this.publishState();
    return response;
  }

  /** Cancels a waiting lease request. */
  cancel(requestId: string, from: PeerIdentity): void {
    this.waitingRequests.cancel(waitingRequestId(from, requestId));
    this.publishState();
  }

  /** Renews and ends the leases of a daemon as it reports them. */
  renew(renewal: EngineRenewal, from: PeerIdentity): EngineRenewalResponse {
    const { engine, times, timers } = this.options;
    const response = { engine: engine.name, leaseMs: times.leaseMs };
    if (!this.can(Capability.Granting)) return { ...response, accepted: false, refused: [] };
    const now = timers.now();
    this.ledger.endOlderIncarnations(from, now);
    for (const ended of renewal.ended) this.ledger.end(from, ended, now);
    const refused: string[] = [];
    for (const held of renewal.held) if (!this.ledger.renew(from, held, now)) refused.push(held.key);
    this.publishState();
    if (!this.isLive()) return { ...response, accepted: true, refused: renewal.held.map(({ key }) => key) };
    return { ...response, accepted: true, refused };
  }

  /** Applies changes of authority, hosts and time; called at an interval and on each of these changes. */
  tick(): void {
    const now = this.options.timers.now();
    const capability = this.capabilityCheck.current();
    if (capability > this.capability) {
      // Other daemons may have sent orders until now; only a younger report shows their result.
      this.isAdopted = false;
      this.capableSince = now;
    }
    if (capability === Capability.None && this.capability !== Capability.None) this.loseAuthority();
    this.capability = capability;
    this.ledger.expire(now);
    this.table.reserve(this.options.events.reserved());
    if (!this.isUsable()) this.refuseAll(LeaseOutcome.Unavailable);
    if (this.can(Capability.Granting)) this.drain.update(this.table.wants(now), now);
    this.publishState();
  }

  /** The engine's state for the status command. */
  status(): OwnedEngine {
    const { running, waiting } = this.countLoad();
    return {
      engine: this.options.engine.name,
      authority: this.options.ownership.authority(engineResource(this.options.engine.name)),
      adopted: this.isAdopted,
      healthy: this.reports.isHealthy(),
      slots: this.table.views(),
      leases: this.ledger.outstanding().length,
      running,
      waiting,
    };
  }

  /** Stops the owner's tasks; waiting requests get `NotOwner` and go to the next owner. */
  async stop(): Promise<void> {
    this.unregisterFromPermits();
    this.options.site.withdraw(this.options.engine.name);
    this.refuseAll(LeaseOutcome.NotOwner);
    await Promise.all([this.reports.stop(), this.permitTask?.stop()]);
  }

  /** Whether the resident adapters are known and this daemon has a capability, now and at the last tick. */
  private can(needed: Capability): boolean {
    const hadCapability = this.isAdopted && this.capability >= needed;
    return hadCapability && this.capabilityCheck.current() >= needed;
  }

  private isLive(): boolean {
    return this.options.membership.isLive(this.options.engine.name);
  }

  private isUsable(): boolean {
    return this.isLive() && this.reports.isHealthy();
  }

  private grant(from: PeerIdentity, key: AdapterKey, ask: number, receivedAt: number): LeaseResponse {
    const { times, timers } = this.options;
    const now = timers.now();
    this.ledger.grant(from, key, ask, 1, now);
    return { outcome: LeaseOutcome.Granted, leaseMs: times.leaseMs, waitedMs: now - receivedAt };
  }

  private loseAuthority(): void {
    this.capability = Capability.None;
    this.isAdopted = false;
    this.refuseAll(LeaseOutcome.NotOwner);
  }

  private refuseAll(outcome: LeaseOutcome): void {
    this.refuse(this.waitingRequests.removeAll(), outcome);
  }

  private refuse(requests: readonly WaitingRequest[], outcome: LeaseOutcome, engine?: string): void {
    const now = this.options.timers.now();
    for (const wait of requests) {
      this.table.release(wait.id, now);
      wait.resolve?.(refusal(outcome, engine));
    }
  }

  /**
   * Recalls the leases on a key: their holders start no more requests under them, and end those that are
   * idle.
   */
  private drainLeases(key: AdapterKey): void {
    const { bus, engine, times, timers } = this.options;
    const recall = { bus, times, engine: engine.name, ledger: this.ledger, now: timers.now, drain: true };
    for (const entry of this.ledger.outstanding(key)) void recallLease(recall, entry);
  }

  /** Sends the requests that wait for a key to another engine. */
  private redirectWaiting(key: AdapterKey, to: string): void {
    this.table.redirect(key);
    this.refuse(this.waitingRequests.removeAll(key), LeaseOutcome.Moved, to);
    this.publishState();
  }

  /** Grants leases to requests that waited for a load. */
  private grantAll(granted: readonly SlotRequest[]): void {
    const now = this.options.timers.now();
    for (const { id, key } of granted) {
      const wait = this.waitingRequests.remove(id);
      const canGrant = wait?.resolve !== undefined && this.can(Capability.Granting);
      if (canGrant) wait?.resolve?.(this.grant(wait.from, key, wait.ask, wait.receivedAt));
      else wait?.resolve?.(refusal(LeaseOutcome.NotOwner));
      this.table.release(id, now);
    }
  }

  /**
   * Starts to use a load permit.
   * @returns False when the load is not possible or not wanted any more.
   */
  private usePermit(permit: GrantedPermit): boolean {
    const isWanted = this.can(Capability.Loading) && this.isUsable() && !this.isOrderActive;
    if (!isWanted || this.table.plan(permit.key, this.options.timers.now()) === undefined) return false;
    this.isOrderActive = true;
    this.permitTask = runTask(() => this.runPermit(permit));
    return true;
  }

  private *runPermit(permit: GrantedPermit): Generator<unknown, void> {
    const { bus, engine, times, timers, permits } = this.options;
    let outcome = PermitOutcome.Unused;
    try {
      const freeSlotOptions = {
        bus,
        times,
        engine: engine.name,
        table: this.table,
        ledger: this.ledger,
        orders: this.orders,
        now: timers.now,
        awaitOutcome: (key: string, order: SentOrder, limitMs: number) =>
          this.awaitOutcome(key, order, limitMs),
        onFenced: () => this.noteFenced(),
        grantAll: (granted: readonly SlotRequest[]) => this.grantAll(granted),
      };
      if ((yield* freeSlot(freeSlotOptions, permit.key)) && this.can(Capability.Loading))
        outcome = yield* this.sendLoad(permit.key);
    } finally {
      this.isOrderActive = false;
      this.lastOrderEndedAt = timers.now();
      permits.done(permit, outcome);
      this.publishState();
    }
  }

  private *sendLoad(key: AdapterKey): Generator<unknown, PermitOutcome> {
    const { times, timers } = this.options;
    if (this.table.plan(key, timers.now())?.victim !== undefined) return PermitOutcome.Unused;
    const order = this.orders.send(OrderKind.Load, key, times.loadTimeoutMs, Authority.Additive);
    if (order === undefined) return PermitOutcome.Unused;
    this.table.loadStarted(key, order.sentAt);
    this.publishState();
    const { outcome } = (yield order.result) as OrderResult;
    let isLoaded = outcome === OrderOutcome.Done;
    if (outcome === OrderOutcome.Fenced) this.noteFenced();
    if (outcome === OrderOutcome.Unknown) {
      isLoaded = (yield this.awaitOutcome(key, order, times.loadTimeoutMs)) as boolean;
    }
    this.finishLoad(key, isLoaded);
    return isLoaded ? PermitOutcome.Loaded : PermitOutcome.Failed;
  }

  private finishLoad(key: AdapterKey, isLoaded: boolean): void {
    const now = this.options.timers.now();
    const granted = this.table.loadEnded(key, isLoaded, now);
    if (isLoaded) this.ledger.restoreHolds(key, now);
    this.grantAll(granted);
  }

  /**
   * Waits, after an order of unknown outcome, for a report from when the order can no longer be carried out.
   * @returns Whether that report shows the key as resident; false when the engine has restarted.
   */
  private async awaitOutcome(key: AdapterKey, order: SentOrder, limitMs: number): Promise<boolean> {
    const incarnation = this.lastReport?.report.incarnation;
    for (;;) {
      await this.reports.nextReport();
      const { lastReport } = this;
      if (lastReport === undefined || lastReport.report.incarnation !== incarnation) return false;
      if (lastReport.observedAt <= order.sentAt + limitMs + this.options.times.sendBoundMs) continue;
      const slot = lastReport.report.slots.find((other) => other.key === key);
      if (slot?.state !== 'loading') return slot !== undefined;
    }
  }

  private noteFenced(): void {
    this.capabilityCheck.noteFenced();
    this.options.log.warn(
      `Engine ${this.options.engine.name} refused an outdated fencing token; waiting for a fresh host list.`,
    );
    this.loseAuthority();
  }

  private applyReport(timed: TimedReport): void {
    const { engine, ownership, timers } = this.options;
    const now = timers.now();
    const { report } = timed;
    ownership.observeFencingToken(engineResource(engine.name), report.fencing);
    this.presentFencingToken(report.role);
    const incarnationBefore = this.lastReport?.report.incarnation;
    this.lastReport = timed;
    if (incarnationBefore !== undefined && incarnationBefore !== report.incarnation)
      this.handleEngineRestart(now);
    this.tick();
    if (!this.isAdopted) this.adoptLoaded(timed, now);
    else this.reconcile(timed, now);
    const running = new Map(report.slots.map((slot) => [slot.key, slot.running]));
    this.ledger.applyReport(running, timed.observedAt, now);
    this.publishState();
  }

  /** Presents this owner's fencing token to the engine with an order that sets the role it already has. */
  private presentFencingToken(role: string): void {
    const { engine, ownership, times } = this.options;
    if (this.isOrderActive || !ownership.needsClaim(engineResource(engine.name))) return;
    const order = this.orders.send(OrderKind.Role, role, times.unloadTimeoutMs, Authority.Additive);
    if (order === undefined) return;
    this.isOrderActive = true;
    void order.result.then(({ outcome }) => {
      this.isOrderActive = false;
      if (outcome === OrderOutcome.Fenced) this.noteFenced();
      this.publishState();
    });
  }

  /**
   * Takes over the resident adapters, once a report shows the engine as it was after this daemon's capability
   * began.
   */
  private adoptLoaded(timed: TimedReport, now: number): void {
    if (this.capability === Capability.None || this.isOrderActive) return;
    if (timed.observedAt <= Math.max(this.capableSince, this.lastOrderEndedAt)) return;
    const { leaseMs, sendBoundMs } = this.options.times;
    this.table.restarted(now);
    this.ledger.expectPreviousLeases(this.capableSince + leaseMs + sendBoundMs);
    this.addReportedSlots(timed, now);
    this.isAdopted = true;
  }

  /** Corrects the slot table by a report that is younger than the last order. */
  private reconcile(timed: TimedReport, now: number): void {
    if (this.isOrderActive || timed.observedAt <= this.lastOrderEndedAt) return;
    const reported = new Set(timed.report.slots.map((slot) => slot.key));
    const views = this.table.views();
    if (views.some((slot) => !reported.has(slot.key))) {
      this.table.restarted(now);
      this.table.adopt(
        views.filter((slot) => reported.has(slot.key)).map((slot) => slot.key),
        now,
      );
      for (const slot of views) this.ledger.restoreHolds(slot.key, now);
    }
    this.addReportedSlots(timed, now);
  }

  /** Adds slots to the table that only a report shows, such as a load that an earlier owner ordered. */
  private addReportedSlots(timed: TimedReport, now: number): void {
    for (const { key, state } of timed.report.slots) {
      const hasFreeSlot = this.table.views().length < this.options.engine.slots;
      if (this.table.state(key) === undefined && hasFreeSlot) this.table.loadStarted(key, now);
      if (state === 'ready' && this.table.state(key) === SlotState.Loading) this.finishLoad(key, true);
    }
  }

  private handleEngineRestart(now: number): void {
    this.options.log.warn(`Engine ${this.options.engine.name} restarted; treating its slots as empty.`);
    this.ledger.handleEngineRestart(now);
    this.table.restarted(now);
  }

  private handleHealthChange(): void {
    if (!this.isUsable()) this.refuseAll(LeaseOutcome.Unavailable);
    this.publishState();
  }

  private countLoad(): { readonly running: number; readonly waiting: number } {
    const reported = this.lastReport?.report.running ?? 0;
    return { running: Math.max(reported, this.ledger.runningRequests()), waiting: this.table.load().waiting };
  }

  /** Publishes the engine's state, and offers its wanted loads to the owner of its weight store. */
  private publishState(): void {
    if (!this.reports.isHealthKnown()) return;
    const { engine, permits, site, timers } = this.options;
    const { running, waiting } = this.countLoad();
    if (this.can(Capability.Loading)) {
      const now = timers.now();
      const room = this.isOrderActive || !this.isUsable() ? undefined : this.room(now, running);
      permits.offer(engine.store, { engine: engine.name, wants: this.wantedLoads(now), room });
    }
    this.updatePublishedKeys();
    const state = { healthy: this.isUsable(), granting: this.can(Capability.Granting), warmth: 1 };
    site.publish({ engine: engine.name, running, waiting, keys: this.publishedKeys, ...state });
  }

  /** Loads that requests wait for, and those that scheduled events require. */
  private wantedLoads(now: number): readonly LoadWant[] {
    const waited = this.table.wants(now);
    const keys = new Set(waited.map((want) => want.key));
    const planned = this.options.events.wants(this.options.engine.name);
    return [...waited, ...planned.filter((want) => !keys.has(want.key))];
  }

  private room(now: number, running: number): RoomView {
    const room = this.table.room(now);
    return { ...room, running, victims: this.orders.isAllowed(Authority.Full) ? room.victims : [] };
  }

  /** Replaces the map of slot states only when one has changed: observers compare the map by identity. */
  private updatePublishedKeys(): void {
    const views = this.table.views().filter((slot) => slot.state !== SlotState.Unloading);
    const isSame =
      views.length === this.publishedKeys.size &&
      views.every((slot) => this.publishedKeys.get(slot.key) === slot.state);
    if (!isSame) this.publishedKeys = new Map(views.map((slot) => [slot.key, slot.state]));
  }
}
