/**
 * Keeps one engine's adapters: loads what requests wait for, and makes room.
 *
 * Runs in the daemon that holds the engine's claim. Its table is exact, as only this daemon gives the engine orders;
 * it begins with the engine's own report, proved exact by an order that the engine accepts only if none came since.
 */
import type { EngineSpec } from '../catalog/index.js';
import { adapterPlaces } from './capacity.js';
import type { EngineOrdersOptions } from './orders.js';
import { EngineOrders } from './orders.js';
import type { Wanted } from './queue.js';
import { LoadQueue } from './queue.js';
import type { Slot } from './slots.js';
import { SlotState, SlotTable } from './slots.js';
import type { AdapterRef, EngineReport, Holdings, RoomLine, Urgency } from './types.js';
import { adapterKey, AdapterUnavailable, OrderKind, OrderOutcome } from './types.js';

/** Adapters that an engine takes in at once; the engines' protocol states it. */
const MAX_LOADING = 4;
/** Lag of an engine's report in milliseconds, with a margin; the protocol says some hundred. */
const REPORT_LAG_MS = 320;
/** Pause between two looks at an order in progress, in milliseconds: a tenth of a first load, half of a repeated one. */
const POLL_MS = 12;
/** Time from telling the others that an adapter goes until what they had sent before is known, in milliseconds: a few ways between failure domains. */
const WITHDRAWAL_MS = 6;
/** Pause between two looks at an adapter on its way out, in milliseconds: its last request runs for a second or so. */
const DROP_POLL_MS = 50;
/** Pause when the engine is at another order, in milliseconds. */
const BUSY_MS = 15;
/** Longest time for a load of an adapter, in milliseconds; a crowded store takes some times the usual quarter second. */
const LOAD_LIMIT_MS = 4000;
/** Longest time for a load of a base model, in milliseconds. */
const MODEL_LIMIT_MS = 60_000;
const MODEL_POLL_MS = 200;
/** Part of the expected load time after which the first look is taken: later ones would never learn that it is shorter. */
const FIRST_LOOK_SHARE = 0.85;
/** First guesses of load times, in milliseconds; replaced by what is measured. */
const FIRST_LOAD_GUESS_MS = 250;
const REPEATED_LOAD_GUESS_MS = 25;
/** Weight of a new measurement of a load time. */
const GUESS_WEIGHT = 0.3;
/** Room that is told of an engine that can't be reached. */
const NO_WAY = -1;
/** Adapters remembered as loaded before on this engine. */
const MAX_REMEMBERED = 400;

/** Options of a keeper. */
export interface KeeperOptions extends Omit<EngineOrdersOptions, 'onUnreachable' | 'onEmpty'> {
  readonly engine: EngineSpec;
  /** Called when what the engine holds has changed. */
  readonly onHoldings: (holdings: Holdings) => void;
}

/** The keeper of one engine. */
export class Keeper {
  private readonly orders: EngineOrders;

  private readonly slots: SlotTable;

  private readonly queue: LoadQueue;

  private readonly models = new Set<string>();

  private readonly loadedBefore = new Set<string>();

  private guesses = { first: FIRST_LOAD_GUESS_MS, repeated: REPEATED_LOAD_GUESS_MS };

  private isReady = false;

  private isStopped = false;

  private isMakingRoom = false;

  /** Whether the engine was found without any model, whatever its entry says. */
  private isEmpty = false;

  /**
   * Makes a keeper that has not started.
   * @param options - The engine and how to talk to it.
   */
  constructor(private readonly options: KeeperOptions) {
    this.orders = new EngineOrders({
      ...options,
      onUnreachable: () => this.queue.giveUp('The engine can’t be reached.'),
      onEmpty: () => this.beginAnew(),
    });
    this.slots = new SlotTable(options.timers);
    this.queue = new LoadQueue(options.timers);
  }

  /** Learns what the engine holds, loads its base model when it has none, then serves the queue. */
  async run(): Promise<void> {
    const { log, replica, timers } = this.options;
    while (!this.isReady && !this.isStopped) {
      try {
        await this.learn();
      } catch (err) {
        log.warn(`Engine ${replica.id} can't be kept yet: ${String(err)}.`);
        await timers.sleep(REPORT_LAG_MS);
      }
    }
    this.pump();
  }

  /** Gives the engine up: its requests must be asked of the next holder. */
  stop(): void {
    this.isStopped = true;
    this.queue.giveUp('The engine was given up.');
  }

  /**
   * Has an adapter on the engine, unless its load can't begin in time.
   * @param ref - The adapter.
   * @param urgency - Rank and longest waits.
   * @returns Nothing when it is in place; how the slots stand when its turn has not come.
   * @throws AdapterUnavailable when it can't be had.
   */
  async ensure(ref: AdapterRef, urgency: Urgency): Promise<RoomLine | undefined> {
    const key = adapterKey(ref.model, ref.adapter);
    if (this.isStopped) throw new AdapterUnavailable('The engine was given up.');
    if (this.orders.isUnreachable) throw new AdapterUnavailable('The engine can’t be reached.');
    const slot = this.slots.get(key);
    if (slot?.state === SlotState.Held && slot.version >= (ref.version ?? 0)) {
      slot.usedAt = this.options.timers.now();
      if (ref.isDoubted) await this.check(ref, slot);
      return undefined;
    }
    const known = this.queue.find(key);
    if (known === undefined && urgency.patienceMs === 0 && !this.canBegin) return this.room();
    const wanted = known ?? this.queue.add(ref);
    this.queue.hasten(wanted, urgency);
    if (known === undefined) this.pump();
    if (!(await this.queue.turnOf(wanted))) return this.room();
    await wanted.promise;
    return undefined;
  }

  /**
   * Orders an adapter again that the table has and a request did not find: the engine says at once when it holds it, and
   * loads it into the same slot when it does not.
   */
  private async check(ref: AdapterRef, slot: Slot): Promise<void> {
    this.slots.mark(slot, SlotState.Loading);
    const outcome = await this.loadUntilDone({ ...ref, key: slot.key }, this.options.timers.now());
    if (outcome === OrderOutcome.Done) {
      this.slots.mark(slot, SlotState.Held);
      this.tell();
      return;
    }
    // One that was accepted may still come in.
    if (outcome === OrderOutcome.Started) this.slots.mark(slot, SlotState.Held);
    else this.free(slot.key, `a check ended as ${outcome}`);
    throw new AdapterUnavailable(`Checking ${slot.key} ended as ${outcome}.`);
  }

  /** Whether one more load could begin now. */
  private get canBegin(): boolean {
    const free = this.places - this.slots.occupied + this.slots.evictable;
    return this.isReady && this.queue.size < Math.min(free, MAX_LOADING - this.slots.loading);
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

  /** What the engine holds. */
  holdings(): Holdings | undefined {
    const token = this.options.authority();
    if (!this.isReady || token === undefined) return undefined;
    const adapters: Record<string, number> = {};
    for (const { key, version, state } of this.slots.all())
      if (state === SlotState.Held) adapters[key] = version;
    return { replica: this.options.replica.id, token, models: [...this.models], adapters };
  }

  private async learn(): Promise<void> {
    const { replica, engine } = this.options;
    const first = this.isEmpty ? undefined : replica.models?.[0]?.name;
    const model = first ?? engine.models[0]?.name;
    if (model === undefined) return;
    if (first === undefined && (await this.loadModel(model))) {
      // It held nothing when this daemon's token had shut out older orders: no report need be waited for.
      this.becomeReady(model);
      return;
    }
    const proved = await this.reportOfNow(model);
    const report = proved ?? (await this.reportAfterLag(model));
    if (this.orders.hasStartedAgain(report)) throw new AdapterUnavailable('The engine has started again.');
    for (const held of report.models) {
      this.models.add(held.name);
      for (const { name, version } of held.adapters)
        this.slots.put(adapterKey(held.name, name), version, SlotState.Held);
    }
    for (const { model: base, adapter, version } of report.loading)
      this.slots.put(adapterKey(base, adapter), version, SlotState.Held);
    this.isReady = this.models.size > 0;
    this.noteLearnt(report, proved !== undefined);
    this.tell();
  }

  private noteLearnt(report: EngineReport, isProved: boolean): void {
    const { log, replica, authority } = this.options;
    log.decide('engine.learnt', `Knows what engine ${replica.id} holds.`, {
      replica: replica.id,
      token: authority(),
      sequence: report.sequence,
      isProved,
      occupied: this.slots.occupied,
      onTheirWay: report.loading.length,
      places: this.places,
    });
  }

  /**
   * Takes a report and proves that it is exact: an order that changes nothing is accepted only if the engine has
   * accepted no other one since. It takes some milliseconds, where the report's lag is a third of a second.
   */
  private async reportOfNow(model: string): Promise<EngineReport | undefined> {
    const report = await this.options.control.report(this.options.replica);
    if (report.sequence === undefined) return undefined;
    const base = { model, adapter: undefined, version: undefined };
    const outcome = await this.orders.send(OrderKind.Load, base, report.sequence);
    return outcome === OrderOutcome.Done ? report : undefined;
  }

  /** Shuts older orders out, and takes a report when it must show what came before. */
  private async reportAfterLag(model: string): Promise<EngineReport> {
    await this.orders.send(OrderKind.Load, { model, adapter: undefined, version: undefined });
    await this.options.timers.sleep(REPORT_LAG_MS);
    return this.options.control.report(this.options.replica);
  }

  private becomeReady(model: string): void {
    this.models.add(model);
    this.isReady = true;
    this.tell();
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
      // What is on its way out must be out first, or two orders for one adapter could overtake each other.
      const wanted = this.queue.next((key) => this.slots.get(key)?.state === SlotState.Dropping);
      if (wanted === undefined) return;
      // A newer version takes a slot of its own until the older one has gone.
      if (this.slots.occupied >= this.places) {
        void this.makeRoom();
        return;
      }
      this.queue.begin(wanted);
      void this.load(wanted);
    }
  }

  private async load(wanted: Wanted): Promise<void> {
    const { timers, log, replica } = this.options;
    const previous = this.slots.get(wanted.key);
    const wasHeld = previous?.state === SlotState.Held ? previous.version : undefined;
    const slot = this.slots.put(wanted.key, wanted.version ?? previous?.version ?? 1, SlotState.Loading);
    slot.isReplacement = wasHeld !== undefined;
    if (wasHeld !== undefined) this.tell();
    const startedAt = timers.now();
    const outcome = await this.loadUntilDone(wanted, startedAt);
    if (outcome === OrderOutcome.Done) {
      this.slots.put(wanted.key, wanted.version ?? previous?.version ?? 1, SlotState.Held).isReplacement =
        false;
      log.detail('adapter.loaded', `Loaded ${wanted.key}.`, {
        replica: replica.id,
        adapter: wanted.key,
        version: wanted.version,
        tookMs: Math.round(timers.now() - startedAt),
        queuedMs: Math.round(startedAt - wanted.askedAt),
        wasHeldBefore: this.loadedBefore.has(wanted.key),
      });
      this.learnDuration(wanted.key, timers.now() - startedAt);
      this.tell();
      wanted.resolve();
    } else {
      // It may still come in; the slot stays counted until the engine itself shows what it holds.
      if (outcome === OrderOutcome.Started) this.slots.put(wanted.key, wanted.version ?? 1, SlotState.Held);
      else this.free(wanted.key, `its load ended as ${outcome}`);
      wanted.reject(new AdapterUnavailable(`Loading ${wanted.key} ended as ${outcome}.`));
    }
    this.pump();
  }

  private async loadUntilDone(
    wanted: Pick<Wanted, 'key'> & AdapterRef,
    startedAt: number,
  ): Promise<OrderOutcome> {
    const { timers } = this.options;
    const guess = this.loadedBefore.has(wanted.key) ? this.guesses.repeated : this.guesses.first;
    let wasAccepted = false;
    let isFirstLook = true;
    while (timers.now() - startedAt < LOAD_LIMIT_MS && !this.isStopped) {
      const outcome = await this.orders.send(OrderKind.Load, wanted);
      if (outcome === OrderOutcome.Done) return outcome;
      wasAccepted ||= outcome === OrderOutcome.Started || outcome === OrderOutcome.Unknown;
      if (outcome === OrderOutcome.Started) {
        const untilGuess = startedAt + guess * FIRST_LOOK_SHARE - timers.now();
        await timers.sleep(isFirstLook ? Math.max(POLL_MS, untilGuess) : POLL_MS);
        isFirstLook = false;
      } else if (outcome === OrderOutcome.Busy || outcome === OrderOutcome.Unknown)
        await timers.sleep(BUSY_MS);
      else return wasAccepted ? OrderOutcome.Started : outcome;
    }
    return wasAccepted ? OrderOutcome.Started : OrderOutcome.Busy;
  }

  private learnDuration(key: string, ms: number): void {
    const kind = this.loadedBefore.has(key) ? 'repeated' : 'first';
    const known = this.guesses[kind];
    this.guesses = { ...this.guesses, [kind]: known + GUESS_WEIGHT * (ms - known) };
    this.loadedBefore.delete(key);
    this.loadedBefore.add(key);
    if (this.loadedBefore.size <= MAX_REMEMBERED) return;
    const [oldest] = this.loadedBefore;
    this.loadedBefore.delete(oldest!);
  }

  private async makeRoom(): Promise<void> {
    if (this.isMakingRoom) return;
    this.isMakingRoom = true;
    try {
      const victim = this.slots.victim();
      if (victim === undefined) await this.options.timers.sleep(BUSY_MS);
      else await this.drop(victim);
    } finally {
      this.isMakingRoom = false;
    }
    this.pump();
  }

  /**
   * Unloads an adapter that nobody uses.
   *
   * An engine that is told to unload one in use takes no other order until the last request on it has ended, which
   * may be seconds. So the others are told first, and what they have sent by then comes to be known.
   */
  private async drop(victim: Slot): Promise<void> {
    const slash = victim.key.indexOf('/');
    const ref = {
      model: victim.key.slice(0, slash),
      adapter: victim.key.slice(slash + 1),
      version: undefined,
    };
    this.slots.mark(victim, SlotState.Dropping);
    this.tell();
    await this.options.timers.sleep(WITHDRAWAL_MS);
    if (victim.running > 0) {
      this.takeBack(victim);
      return;
    }
    for (;;) {
      const outcome = await this.orders.send(OrderKind.Unload, ref);
      if (outcome === OrderOutcome.Done) this.free(victim.key, 'unloaded');
      else if (outcome === OrderOutcome.Busy) this.takeBack(victim);
      else if (outcome === OrderOutcome.Started) void this.waitForDrop(victim.key, ref);
      else if (outcome === OrderOutcome.Unreachable) this.takeBack(victim);
      if (outcome !== OrderOutcome.Unknown || this.isStopped) break;
      await this.options.timers.sleep(BUSY_MS);
    }
  }

  /** The adapter stays after all. */
  private takeBack(slot: Slot): void {
    this.slots.mark(slot, SlotState.Held);
    this.tell();
  }

  private async waitForDrop(key: string, ref: AdapterRef): Promise<void> {
    const { timers } = this.options;
    for (;;) {
      await timers.sleep(DROP_POLL_MS);
      if (this.isStopped) return;
      if ((await this.orders.send(OrderKind.Unload, ref)) !== OrderOutcome.Done) continue;
      this.free(key, 'unloaded when its last request had ended');
      this.pump();
      return;
    }
  }

  /** Counts a slot as free; the line tells on what grounds, should the engine turn out to hold more than it can. */
  private free(key: string, reason: string): void {
    const { log, replica } = this.options;
    this.slots.free(key);
    if (!log.hasDetails) return;
    log.detail('slot.freed', `The slot of ${key} is free.`, {
      replica: replica.id,
      adapter: key,
      reason,
      occupied: this.slots.occupied,
    });
  }

  /** The engine holds no model any more, under the name and without word of a new start: what was known of it is void. */
  private beginAnew(): void {
    const { log, replica } = this.options;
    if (!this.isReady || this.isStopped) return;
    log.decide('engine.empty', `Engine ${replica.id} holds nothing any more.`, { replica: replica.id });
    this.isReady = false;
    this.models.clear();
    for (const { key } of [...this.slots.all()]) this.slots.free(key);
    this.queue.giveUp('The engine has lost its model.');
    this.isEmpty = true;
    void this.run();
  }

  /** Adapters that the engine may hold. */
  private get places(): number {
    return adapterPlaces(this.options.engine, this.models);
  }

  /** How the engine's slots stand, for the heartbeat. */
  room(): RoomLine {
    const { replica } = this.options;
    if (this.orders.isUnreachable) return [replica.id, NO_WAY, 0];
    const free = this.places - this.slots.occupied + this.slots.evictable;
    return [replica.id, this.isReady ? Math.max(0, free - this.queue.size) : 0, this.queue.size];
  }

  /** One line on what the slots hold. */
  describe(): string {
    const states = [...this.slots.all()].map(({ state, running }) => `${state[0]}${running}`).join(' ');
    return `${this.options.replica.id}: ${this.slots.occupied} slots (${states}), ${this.queue.size} wait`;
  }

  private tell(): void {
    const holdings = this.holdings();
    if (holdings !== undefined) this.options.onHoldings(holdings);
  }
}
