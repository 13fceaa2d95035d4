/**
 * Manages the adapters of one engine: loads those that requests wait for and evicts others to free slots.
 *
 * Runs in the daemon that holds the engine's lease. The slot table never lists less than the engine holds: it
 * starts from a report that was verified to be current, a slot is released only when the engine has reported
 * that a resident adapter was unloaded, and each order carries the number of orders that the engine has
 * accepted. When a response is lost, a new report is verified.
 */
import type { EngineSpec } from '../catalog/index.js';
import { AdapterLoad } from './adapter-load.js';
import { reconcileSlots } from './reconcile-slots.js';
import { adapterCapacity } from './capacity.js';
import { LoadTimes } from './load-times.js';
import { EngineEmptyError, SequencedOrders } from './sequenced-orders.js';
import type { EngineOrdersOptions } from './orders.js';
import { EngineOrders } from './orders.js';
import type { PendingLoad } from './queue.js';
import { LoadQueue } from './queue.js';
import { EngineSession } from './session.js';
import type { Slot } from './slots.js';
import { isInTransition, SlotState, SlotTable } from './slots.js';
import type { AdapterRef, EngineReport, EngineResidency, SlotAvailability, Urgency } from './types.js';
import { adapterKey, AdapterUnavailable, OrderKind, OrderOutcome } from './types.js';
import { Unloader } from './unloader.js';

/** Limit of the engine protocol on concurrent adapter loads. */
const MAX_CONCURRENT_LOADS = 4;
/** Delay before requesting a report again after a failure, in milliseconds. */
const REPORT_RETRY_MS = 320;
/** Timeout for loading a base model, in milliseconds. */
const MODEL_LOAD_TIMEOUT_MS = 60_000;
const MODEL_POLL_MS = 200;
/** Version of an adapter for which no newer one has been declared. */
const FIRST_VERSION = 1;
/** Published as the number of free slots while the engine takes no orders. */
const UNAVAILABLE_FREE_SLOTS = -1;

/** Why requests that wait for a load are rejected while the engine has declared that it takes no orders. */
const NO_ORDERS = 'The engine takes no orders at present.';

/** Options of {@link EngineOwner}. */
export interface EngineOwnerOptions extends Omit<
  EngineOrdersOptions,
  'onUnreachable' | 'onEmpty' | 'onDisconnect'
> {
  readonly engine: EngineSpec;
  /** Whether the engine rejects orders with older fencing tokens. */
  readonly isFenced: boolean;
  /** Called when the set of resident adapters has changed. */
  readonly onResidencyChange: (residency: EngineResidency) => void;
}

/** Owner of one engine: decides which adapters are resident there and in which order loads start. */
export class EngineOwner {
  private readonly orders: EngineOrders;

  private readonly queue: LoadQueue;

  private readonly loadTimes = new LoadTimes();

  private session: EngineSession;

  private unloader: Unloader;

  private isReady = false;

  private isStopped = false;

  /** Whether a report is being verified again. */
  private isResynchronizing = false;

  /** Whether the engine was found without a base model, whatever its registry entry says. */
  private isKnownEmpty = false;

  constructor(private readonly options: EngineOwnerOptions) {
    this.orders = new EngineOrders({
      ...options,
      onUnreachable: () => this.queue.rejectAll('The engine is unreachable.'),
      onEmpty: () => this.restartSession(),
      onDisconnect: () => this.session.context.orders.forgetSequence(),
    });
    this.queue = new LoadQueue(options.timers);
    this.session = this.createSession();
    this.unloader = new Unloader(this.session);
  }

  /** Takes over the engine, loading its base model if it has none, then starts queued loads. */
  async run(): Promise<void> {
    const { log, replica, timers } = this.options;
    const { session } = this;
    while (!this.isReady && !session.isEnded) {
      try {
        await this.takeOver();
      } catch (err) {
        if (err instanceof EngineEmptyError) this.isKnownEmpty = true;
        log.warn(`Taking over engine ${replica.id} failed, retrying: ${String(err)}.`);
        await timers.sleep(REPORT_RETRY_MS);
      }
    }
    this.startLoads();
  }

  /** Stops managing the engine; waiting requests are rejected and have to ask its next owner. */
  stop(): void {
    this.isStopped = true;
    this.session.end();
    this.orders.disconnect();
    this.queue.rejectAll('This daemon no longer owns the engine.');
  }

  /**
   * Makes an adapter resident on the engine, unless its load can't start in time.
   * @returns Undefined when the adapter is resident; the slot availability when the load could not start in
   *   time.
   * @throws AdapterUnavailable when the adapter can't be loaded here.
   */
  async ensure(ref: AdapterRef, urgency: Urgency): Promise<SlotAvailability | undefined> {
    const key = adapterKey(ref.model, ref.adapter);
    if (this.isStopped) throw new AdapterUnavailable('This daemon no longer owns the engine.');
    if (this.orders.isUnreachable) throw new AdapterUnavailable('The engine is unreachable.');
    const slot = this.slots.get(key);
    if (slot !== undefined && !isInTransition(slot) && slot.version >= (ref.version ?? 0)) {
      slot.lastUsedAt = this.options.timers.now();
      if (ref.isDoubted || slot.state === SlotState.Doubted) await this.reload(ref);
      return undefined;
    }
    if (!this.orders.areAccepted) throw new AdapterUnavailable(NO_ORDERS);
    const existing = this.queue.find(key);
    if (existing === undefined && urgency.patienceMs === 0 && !this.canStartLoad)
      return this.slotAvailability();
    const pending = existing ?? this.queue.add(ref);
    this.queue.addRequest(pending, urgency);
    if (existing === undefined) this.startLoads();
    if (!(await this.queue.waitForStart(pending))) return this.slotAvailability();
    await pending.loaded;
    return undefined;
  }

  /**
   * Orders an adapter again that the table lists as resident but a request did not find. An engine that holds
   * the adapter responds immediately that the load is done; otherwise it loads it into the same slot.
   */
  private reload(ref: AdapterRef): Promise<void> {
    const pending = this.queue.add(ref);
    this.startLoad(pending);
    return pending.loaded;
  }

  /** Whether one more load could start now. */
  private get canStartLoad(): boolean {
    return this.queue.size < Math.min(this.freeSlots, MAX_CONCURRENT_LOADS - this.slots.loading);
  }

  /**
   * Slots that are free or can be freed immediately. None count while an unload waits for running requests to
   * end: that can take seconds, during which the engine accepts no order, so requests are better served
   * elsewhere.
   */
  private get freeSlots(): number {
    if (!this.isReady || this.session.context.orders.isBlocked) return 0;
    return this.capacity - this.slots.occupied + this.slots.evictable;
  }

  /**
   * Records requests that a daemon has reported.
   * @param key - `model/adapter`.
   * @param uses - Requests since its previous report.
   */
  recordUses(key: string, uses: number): void {
    this.slots.recordUses(key, uses);
  }

  /**
   * Updates the number of requests running on each adapter, over all daemons.
   * @param running - By `model/adapter`; adapters that are missing count as idle.
   */
  setRunning(running: ReadonlyMap<string, number>): void {
    for (const slot of this.slots.all()) slot.running = running.get(slot.key) ?? 0;
  }

  /**
   * Returns whether a resident adapter is older than the given version and must be replaced.
   * @param key - `model/adapter`.
   */
  hasOlderVersion(key: string, version: number): boolean {
    const slot = this.slots.get(key);
    return slot?.state === SlotState.Resident && slot.version < version;
  }

  /**
   * Returns whether a request may be sent for an adapter, and marks a resident adapter as used.
   * @param key - `model/adapter`.
   * @returns Undefined while it is unknown what the engine holds.
   */
  isResident(key: string): boolean | undefined {
    if (!this.isReady) return undefined;
    const slot = this.slots.get(key);
    if (slot === undefined || isInTransition(slot)) return false;
    slot.lastUsedAt = this.options.timers.now();
    return true;
  }

  /**
   * Returns the resident models and adapters; undefined while they are unknown or this daemon has no valid
   * token.
   */
  residency(): EngineResidency | undefined {
    const token = this.options.fencingToken();
    if (!this.isReady || token === undefined) return undefined;
    const adapters: Record<string, number> = {};
    for (const { key, version, state } of this.slots.all())
      if (state === SlotState.Resident) adapters[key] = version;
    return { replica: this.options.replica.id, token, models: [...this.session.models], adapters };
  }

  private async takeOver(): Promise<void> {
    const { replica, engine } = this.options;
    const { session } = this;
    const { orders } = session.context;
    const reportedModel = this.isKnownEmpty ? undefined : replica.models?.[0]?.name;
    const model = reportedModel ?? engine.models[0]?.name;
    if (model === undefined)
      throw new AdapterUnavailable('The service of the engine configures no base model.');
    if (
      reportedModel === undefined &&
      (await this.loadModel(model)) &&
      (await orders.synchronizeFresh(model))
    )
      session.models.add(model);
    else await orders.synchronize(model, (report) => this.applyReport(report));
    this.isReady = !session.isEnded;
    this.publishResidency();
  }

  /** Rebuilds the slot table from a verified report. */
  private applyReport(report: EngineReport): void {
    reconcileSlots(this.session, report, (slot) => {
      void this.createLoad(slot, undefined).run();
    });
    this.logReport(report);
  }

  private logReport(report: EngineReport): void {
    const { log, replica, fencingToken } = this.options;
    log.decide('engine.learnt', `Verified a report of engine ${replica.id}.`, {
      replica: replica.id,
      token: fencingToken(),
      sequence: report.sequence,
      occupied: this.slots.occupied,
      onTheirWay: report.loading.length,
      running: report.running,
      places: this.capacity,
    });
  }

  /**
   * Verifies a new report after a response was lost, or after the engine accepted an order that is unknown
   * here.
   */
  private async resynchronize(): Promise<void> {
    const { session } = this;
    const { orders } = session.context;
    const { log, replica, timers } = this.options;
    const [model] = session.models;
    if (this.isResynchronizing || !this.isReady || model === undefined) return;
    this.isResynchronizing = true;
    while (!session.isEnded && !orders.isSynchronized) {
      try {
        await orders.synchronize(model, (report) => this.applyReport(report));
        this.publishResidency();
      } catch (err) {
        if (err instanceof EngineEmptyError) {
          this.restartSession();
          break;
        }
        log.warn(`Verifying a report of engine ${replica.id} failed, retrying: ${String(err)}.`);
        await timers.sleep(REPORT_RETRY_MS);
      }
    }
    if (session === this.session) this.isResynchronizing = false;
    this.startLoads();
  }

  private createSession(): EngineSession {
    const { replica, timers, log, isFenced } = this.options;
    const onInvalidated = (): void => {
      void this.resynchronize();
    };
    return new EngineSession({
      replica,
      timers,
      log,
      orders: new SequencedOrders({
        replica,
        timers,
        orders: this.orders,
        isFenced,
        onInvalidated,
      }),
      slots: new SlotTable(timers),
      isFenced,
      capacity: () => this.capacity,
      onResidencyChange: () => this.publishResidency(),
      onLoaded: ({ key, version }) => {
        this.queue.complete(key, version);
        this.publishResidency();
        this.startLoads();
      },
      onSlotAvailable: () => this.startLoads(),
    });
  }

  /**
   * Loads a base model.
   * @returns Whether the model was absent when this daemon's first order arrived.
   * @throws AdapterUnavailable when the model does not load in time, or the order is fenced or misdirected.
   */
  private async loadModel(model: string): Promise<boolean> {
    const { timers, log, replica } = this.options;
    const deadlineAt = timers.now() + MODEL_LOAD_TIMEOUT_MS;
    log.info(`Engine ${replica.id} has no base model; loading ${model}.`);
    let wasAbsent = false;
    while (timers.now() < deadlineAt && !this.isStopped) {
      this.orders.connect();
      const outcome = await this.orders.send(OrderKind.Load, {
        model,
        adapter: undefined,
        version: undefined,
      });
      if (outcome === OrderOutcome.Done) return wasAbsent;
      wasAbsent ||= outcome === OrderOutcome.Started;
      if (outcome === OrderOutcome.Misdirected || outcome === OrderOutcome.Fenced) break;
      await timers.sleep(MODEL_POLL_MS);
    }
    throw new AdapterUnavailable(`Base model ${model} could not be loaded.`);
  }

  /** Starts as many queued loads as the engine accepts concurrently. */
  private startLoads(): void {
    if (!this.isReady || this.isStopped) return;
    if (!this.orders.areAccepted) {
      this.queue.rejectAll(NO_ORDERS);
      return;
    }
    while (this.slots.loading < MAX_CONCURRENT_LOADS) {
      // A load or unload of the same adapter must end first; otherwise two orders for it could overtake each
      // other.
      const pending = this.queue.next((key) => {
        const slot = this.slots.get(key);
        return slot !== undefined && isInTransition(slot);
      });
      if (pending === undefined) return;
      // A newer version occupies a slot of its own until the older version is gone.
      if (this.slots.occupied >= this.capacity) {
        void this.unloader.freeSlot();
        return;
      }
      this.startLoad(pending);
    }
  }

  private startLoad(pending: PendingLoad): void {
    this.queue.start(pending);
    const previous = this.slots.get(pending.key);
    const previousVersion = previous?.version;
    const version = Math.max(pending.version ?? FIRST_VERSION, previousVersion ?? FIRST_VERSION);
    const slot = this.slots.put(pending.key, version, SlotState.Reserved);
    slot.replacedVersion = previousVersion;
    if (previousVersion !== undefined) this.publishResidency();
    void this.createLoad(slot, pending).run();
  }

  private createLoad(slot: Slot, pending: PendingLoad | undefined): AdapterLoad {
    const { session, loadTimes } = this;
    return new AdapterLoad({ session, loadTimes, slot, pending });
  }

  /**
   * Starts over after the engine lost its model while keeping its name and without reporting a restart:
   * everything known about it is void.
   */
  private restartSession(): void {
    const { log, replica } = this.options;
    if (!this.isReady || this.isStopped) return;
    log.decide('engine.empty', `Engine ${replica.id} has lost its base model and adapters.`, {
      replica: replica.id,
    });
    this.isReady = false;
    this.isResynchronizing = false;
    this.session.end();
    this.orders.disconnect();
    this.queue.rejectAll('The engine has lost its base model.');
    this.isKnownEmpty = true;
    this.session = this.createSession();
    this.unloader = new Unloader(this.session);
    void this.run();
  }

  private get slots(): SlotTable {
    return this.session.context.slots;
  }

  /** Number of slots: the adapters that the engine can hold at once. */
  private get capacity(): number {
    return adapterCapacity(this.options.engine, this.session.models);
  }

  /** Returns the availability of the engine's slots, with queued loads deducted from the free ones. */
  slotAvailability(): SlotAvailability {
    const { replica } = this.options;
    if (this.orders.isUnreachable || !this.orders.areAccepted)
      return { replica: replica.id, freeSlots: UNAVAILABLE_FREE_SLOTS, queued: 0 };
    const queued = this.queue.size;
    return { replica: replica.id, freeSlots: Math.max(0, this.freeSlots - queued), queued };
  }

  /**
   * Returns a one-line summary for the debug log: the initial of each slot's state and its running requests.
   */
  describeSlots(): string {
    const states = [...this.slots.all()].map(({ state, running }) => `${state[0]}${running}`).join(' ');
    return `${this.options.replica.id}: ${this.slots.occupied} slots (${states}), ${this.queue.size} wait`;
  }

  private publishResidency(): void {
    const residency = this.residency();
    if (residency !== undefined) this.options.onResidencyChange(residency);
  }
}
