/**
 * Keeps one engine's adapters: loads what requests wait for, and makes room.
 *
 * Runs in the daemon that holds the engine's lease. Its table never says less than the engine holds: it begins with a
 * report that is proved to be exact, a slot counts as free only when the engine has said so of an adapter that was in
 * place, and each order names the count of those that the engine has accepted. When an answer is lost a report is
 * proved anew.
 */
import type { EngineSpec } from '../catalog/index.js';
import { AdapterLoad } from './adapter-load.js';
import { adoptReport } from './reconcile-slots.js';
import { adapterPlaces } from './capacity.js';
import { LoadTimes } from './load-times.js';
import { EngineEmptyError, NumberedOrders } from './sequenced-orders.js';
import type { EngineOrdersOptions } from './orders.js';
import { EngineOrders } from './orders.js';
import type { Wanted } from './queue.js';
import { LoadQueue } from './queue.js';
import { EngineSession } from './session.js';
import type { Slot } from './slots.js';
import { isMoving, SlotState, SlotTable } from './slots.js';
import type { AdapterRef, EngineReport, Holdings, SlotAvailability, Urgency } from './types.js';
import { adapterKey, AdapterUnavailable, OrderKind, OrderOutcome } from './types.js';
import { Unloads } from './unloader.js';

/** Adapters that an engine takes in at once; the engines' protocol states it. */
const MAX_LOADING = 4;
/** Pause before an engine that could not be asked what it holds is asked again, in milliseconds. */
const LEARN_PAUSE_MS = 320;
/** Longest time for a load of a base model, in milliseconds. */
const MODEL_LIMIT_MS = 60_000;
const MODEL_POLL_MS = 200;
/** Version of an adapter of which no newer one was declared. */
const FIRST_VERSION = 1;
/** Free slots that are published of an engine that can't be reached. */
const UNREACHABLE_SLOTS = -1;

/** Options of an owner. */
export interface EngineOwnerOptions extends Omit<
  EngineOrdersOptions,
  'onUnreachable' | 'onEmpty' | 'onDisconnect'
> {
  readonly engine: EngineSpec;
  /** Whether the engine refuses orders with older tokens. */
  readonly isFenced: boolean;
  /** Called when what the engine holds has changed. */
  readonly onHoldings: (residency: Holdings) => void;
}

/** The owner of one engine. */
export class EngineOwner {
  private readonly orders: EngineOrders;

  private readonly queue: LoadQueue;

  private readonly times = new LoadTimes();

  private session: EngineSession;

  private unloads: Unloads;

  private isReady = false;

  private isStopped = false;

  /** Whether what the engine holds is being found out again. */
  private isProving = false;

  /** Whether the engine was found without any model, whatever its entry says. */
  private isEmpty = false;

  /**
   * Makes an owner that has not started.
   * @param options - The engine and how to talk to it.
   */
  constructor(private readonly options: EngineOwnerOptions) {
    this.orders = new EngineOrders({
      ...options,
      onUnreachable: () => this.queue.giveUp('The engine can’t be reached.'),
      onEmpty: () => this.beginAnew(),
      onDisconnect: () => this.session.parts.orders.lapse(),
    });
    this.queue = new LoadQueue(options.timers);
    this.session = this.makeSession();
    this.unloads = new Unloads(this.session);
  }

  /** Learns what the engine holds, loads its base model when it has none, then serves the queue. */
  async run(): Promise<void> {
    const { log, replica, timers } = this.options;
    const { session } = this;
    while (!this.isReady && !session.isOver) {
      try {
        await this.learn();
      } catch (err) {
        if (err instanceof EngineEmptyError) this.isEmpty = true;
        log.warn(`Engine ${replica.id} can't be taken over yet: ${String(err)}.`);
        await timers.sleep(LEARN_PAUSE_MS);
      }
    }
    this.pump();
  }

  /** Gives the engine up: its requests must be asked of the next holder. */
  stop(): void {
    this.isStopped = true;
    this.session.end();
    this.orders.disconnect();
    this.queue.giveUp('The engine was given up.');
  }

  /**
   * Has an adapter on the engine, unless its load can't begin in time.
   * @param ref - The adapter.
   * @param urgency - Rank and longest waits.
   * @returns Nothing when it is in place; how the slots stand when its turn has not come.
   * @throws AdapterUnavailable when it can't be had.
   */
  async ensure(ref: AdapterRef, urgency: Urgency): Promise<SlotAvailability | undefined> {
    const key = adapterKey(ref.model, ref.adapter);
    if (this.isStopped) throw new AdapterUnavailable('The engine was given up.');
    if (this.orders.isUnreachable) throw new AdapterUnavailable('The engine can’t be reached.');
    const slot = this.slots.get(key);
    if (slot !== undefined && !isMoving(slot) && slot.version >= (ref.version ?? 0)) {
      slot.usedAt = this.options.timers.now();
      if (ref.isDoubted || slot.state === SlotState.Doubted) await this.check(ref);
      return undefined;
    }
    const known = this.queue.find(key);
    if (known === undefined && urgency.patienceMs === 0 && !this.canBegin) return this.availability();
    const wanted = known ?? this.queue.add(ref);
    this.queue.hasten(wanted, urgency);
    if (known === undefined) this.pump();
    if (!(await this.queue.turnOf(wanted))) return this.availability();
    await wanted.promise;
    return undefined;
  }

  /**
   * Orders an adapter again that the table has and a request did not find: the engine says at once when it holds it, and
   * loads it into the same slot when it does not.
   */
  private check(ref: AdapterRef): Promise<void> {
    const wanted = this.queue.add(ref);
    this.start(wanted);
    return wanted.promise;
  }

  /** Whether one more load could begin now. */
  private get canBegin(): boolean {
    return this.queue.size < Math.min(this.free, MAX_LOADING - this.slots.loading);
  }

  /**
   * Slots that are free or could be freed at once. There are none while an unload waits for its runs: that may take
   * seconds, in which the engine takes no order, and requests are better served elsewhere.
   */
  private get free(): number {
    if (!this.isReady || this.session.parts.orders.isBlocked) return 0;
    return this.places - this.slots.occupied + this.slots.evictable;
  }

  /**
   * Notes what a daemon told of its requests.
   * @param key - `model/adapter`.
   * @param uses - Requests since it told last.
   */
  use(key: string, uses: number): void {
    this.slots.use(key, uses);
  }

  /**
   * Notes how many requests run on each adapter, over all daemons.
   * @param running - By `model/adapter`.
   */
  setRunning(running: ReadonlyMap<string, number>): void {
    for (const slot of this.slots.all()) slot.running = running.get(slot.key) ?? 0;
  }

  /**
   * Tells whether an older version of an adapter is in place.
   * @param key - `model/adapter`.
   * @param version - The newest version.
   * @returns Whether it must be replaced.
   */
  holdsOlder(key: string, version: number): boolean {
    const slot = this.slots.get(key);
    return slot?.state === SlotState.Held && slot.version < version;
  }

  /**
   * Tells whether a request may be sent for an adapter; one that is in place counts as used.
   * @param key - `model/adapter`.
   * @returns Undefined while it is not known what the engine holds.
   */
  isResident(key: string): boolean | undefined {
    if (!this.isReady) return undefined;
    const slot = this.slots.get(key);
    if (slot === undefined || isMoving(slot)) return false;
    slot.usedAt = this.options.timers.now();
    return true;
  }

  /** What the engine holds. */
  residency(): Holdings | undefined {
    const token = this.options.authority();
    if (!this.isReady || token === undefined) return undefined;
    const adapters: Record<string, number> = {};
    for (const { key, version, state } of this.slots.all())
      if (state === SlotState.Held) adapters[key] = version;
    return { replica: this.options.replica.id, token, models: [...this.session.models], adapters };
  }

  private async learn(): Promise<void> {
    const { replica, engine } = this.options;
    const { session } = this;
    const { orders } = session.parts;
    const first = this.isEmpty ? undefined : replica.models?.[0]?.name;
    const model = first ?? engine.models[0]?.name;
    if (model === undefined) throw new AdapterUnavailable('Its service names no base model.');
    if (first === undefined && (await this.loadModel(model)) && (await orders.proveFresh(model)))
      session.models.add(model);
    else await orders.prove(model, (report) => this.take(report));
    this.isReady = !session.isOver;
    this.tell();
  }

  /** Takes over what a report says that was proved to be exact. */
  private take(report: EngineReport): void {
    adoptReport(this.session, report, (slot) => {
      void this.makeLoad(slot, undefined).run();
    });
    this.noteLearnt(report);
  }

  private noteLearnt(report: EngineReport): void {
    const { log, replica, authority } = this.options;
    log.decide('engine.learnt', `Knows what engine ${replica.id} holds.`, {
      replica: replica.id,
      token: authority(),
      sequence: report.sequence,
      occupied: this.slots.occupied,
      onTheirWay: report.loading.length,
      running: report.running,
      places: this.places,
    });
  }

  /** Finds out again what the engine holds, when an answer was lost or the engine has accepted what is not known here. */
  private async proveAgain(): Promise<void> {
    const { session } = this;
    const { orders } = session.parts;
    const { log, replica, timers } = this.options;
    const [model] = session.models;
    if (this.isProving || !this.isReady || model === undefined) return;
    this.isProving = true;
    while (!session.isOver && !orders.isExact) {
      try {
        await orders.prove(model, (report) => this.take(report));
        this.tell();
      } catch (err) {
        if (err instanceof EngineEmptyError) {
          this.beginAnew();
          break;
        }
        log.warn(`What engine ${replica.id} holds can't be learnt yet: ${String(err)}.`);
        await timers.sleep(LEARN_PAUSE_MS);
      }
    }
    if (session === this.session) this.isProving = false;
    this.pump();
  }

  private makeSession(): EngineSession {
    const { replica, timers, log, isFenced } = this.options;
    const onDoubt = (): void => {
      void this.proveAgain();
    };
    return new EngineSession({
      replica,
      timers,
      log,
      orders: new NumberedOrders({ replica, timers, orders: this.orders, isFenced, onDoubt }),
      slots: new SlotTable(timers),
      isFenced,
      places: () => this.places,
      onHoldings: () => this.tell(),
      onArrival: ({ key, version }) => {
        this.queue.fulfil(key, version);
        this.tell();
        this.pump();
      },
      onRoom: () => this.pump(),
    });
  }

  /**
   * Loads a base model.
   * @param model - The model.
   * @returns Whether it was not in place when this daemon's first order came.
   */
  private async loadModel(model: string): Promise<boolean> {
    const { timers, log, replica } = this.options;
    const end = timers.now() + MODEL_LIMIT_MS;
    log.info(`Engine ${replica.id} holds no model; loading ${model}.`);
    let wasAbsent = false;
    while (timers.now() < end && !this.isStopped) {
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
    throw new AdapterUnavailable(`Model ${model} did not load.`);
  }

  /** Starts as many loads as the engine takes. */
  private pump(): void {
    if (!this.isReady || this.isStopped) return;
    while (this.slots.loading < MAX_LOADING) {
      // What is on its way, in or out, must be there first, or two orders for one adapter could overtake each other.
      const wanted = this.queue.next((key) => {
        const slot = this.slots.get(key);
        return slot !== undefined && isMoving(slot);
      });
      if (wanted === undefined) return;
      // A newer version takes a slot of its own until the older one has gone.
      if (this.slots.occupied >= this.places) {
        void this.unloads.makeRoom();
        return;
      }
      this.start(wanted);
    }
  }

  private start(wanted: Wanted): void {
    this.queue.begin(wanted);
    const previous = this.slots.get(wanted.key);
    const previousVersion = previous?.version;
    const version = Math.max(wanted.version ?? FIRST_VERSION, previousVersion ?? FIRST_VERSION);
    const slot = this.slots.put(wanted.key, version, SlotState.Reserved);
    slot.beneath = previousVersion;
    if (previousVersion !== undefined) this.tell();
    void this.makeLoad(slot, wanted).run();
  }

  private makeLoad(slot: Slot, wanted: Wanted | undefined): AdapterLoad {
    const { session, times } = this;
    return new AdapterLoad({ session, times, slot, wanted });
  }

  /** The engine holds no model any more, under the name and without word of a new start: what was known of it is void. */
  private beginAnew(): void {
    const { log, replica } = this.options;
    if (!this.isReady || this.isStopped) return;
    log.decide('engine.empty', `Engine ${replica.id} holds nothing any more.`, { replica: replica.id });
    this.isReady = false;
    this.isProving = false;
    this.session.end();
    this.orders.disconnect();
    this.queue.giveUp('The engine has lost its model.');
    this.isEmpty = true;
    this.session = this.makeSession();
    this.unloads = new Unloads(this.session);
    void this.run();
  }

  private get slots(): SlotTable {
    return this.session.parts.slots;
  }

  /** Adapters that the engine may hold. */
  private get places(): number {
    return adapterPlaces(this.options.engine, this.session.models);
  }

  /** How the engine's slots stand. */
  availability(): SlotAvailability {
    const { replica } = this.options;
    if (this.orders.isUnreachable) return { replica: replica.id, freeSlots: UNREACHABLE_SLOTS, queued: 0 };
    const queued = this.queue.size;
    return { replica: replica.id, freeSlots: Math.max(0, this.free - queued), queued };
  }

  /** One line on what the slots hold. */
  describe(): string {
    const states = [...this.slots.all()].map(({ state, running }) => `${state[0]}${running}`).join(' ');
    return `${this.options.replica.id}: ${this.slots.occupied} slots (${states}), ${this.queue.size} wait`;
  }

  private tell(): void {
    const residency = this.residency();
    if (residency !== undefined) this.options.onHoldings(residency);
  }
}
