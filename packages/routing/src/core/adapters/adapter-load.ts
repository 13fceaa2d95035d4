/**
 * The load of one adapter into its slot.
 *
 * The slot's state says how far it is: reserved until the engine has accepted it, then loading. A report that is proved
 * meanwhile sets the state too, and the load goes on from there.
 *
 * The slot counts as on its way until the engine says that the adapter is in place, however long that takes and whoever
 * still waits for it. An engine that is told to unload an adapter on its way has nothing to unload and says that it is
 * done; the adapter arrives all the same, and a slot that was counted as free meanwhile is one too many.
 */
import type { LoadTimes } from './load-times.js';
import type { OrderedRef } from './orders.js';
import type { Wanted } from './queue.js';
import type { EngineSession } from './session.js';
import type { Slot } from './slots.js';
import { refOf, SlotState } from './slots.js';
import type { EngineReport } from './types.js';
import { adapterKey, AdapterUnavailable, OrderKind, OrderOutcome } from './types.js';

/** Pause between two looks at a load, in milliseconds: a tenth of a first load, half of a repeated one. */
const POLL_MS = 12;
/** The same when nobody waits for it any more, or the engine can't be reached, in milliseconds. */
const SLOW_POLL_MS = 100;
/** Pause when the engine is at another order, in milliseconds. */
const BUSY_MS = 15;
/** Longest time for which requests wait for a load, in milliseconds; a crowded store takes some times the usual quarter second. */
const LOAD_LIMIT_MS = 4000;
/** Pause between two looks at the report that shows that a newer version has taken an older one's place, in milliseconds. */
const REPLACED_POLL_MS = 100;
/** Part of the expected load time after which the first look is taken: later ones would never learn that it is shorter. */
const FIRST_LOOK_SHARE = 0.85;

/** Outcomes of a look after which the requests go on waiting. */
const FOLLOWED: ReadonlySet<OrderOutcome> = new Set([
  OrderOutcome.Started,
  OrderOutcome.Busy,
  OrderOutcome.Unknown,
]);

/** What a load is about. */
export interface AdapterLoadOptions {
  readonly session: EngineSession;
  readonly times: LoadTimes;
  readonly slot: Slot;
  /** Requests that wait for it; undefined when a former owner began it. */
  readonly wanted: Wanted | undefined;
}

/** One load. */
export class AdapterLoad {
  private readonly startedAt: number;

  /** Monotonic time at which the engine said that it had accepted it. */
  private acceptedAt: number | undefined;

  private isFirstLook = true;

  /** Version that is wanted; a report may show that an older one is on its way. */
  private readonly version: number;

  /** Reports that were proved when the engine accepted it. */
  private proofsAtAcceptance = 0;

  /** Whether requests still wait for it. */
  private isAwaited: boolean;

  /**
   * Makes a load whose slot is reserved, or found to be loading.
   * @param options - The slot, and who waits.
   */
  constructor(private readonly options: AdapterLoadOptions) {
    const { session, slot, wanted } = options;
    this.startedAt = session.parts.timers.now();
    this.isAwaited = wanted !== undefined;
    this.version = slot.version;
    slot.watcher = this;
  }

  /** Orders the load and follows it until the adapter is in place, or the engine has not accepted it. */
  async run(): Promise<void> {
    const { session, slot } = this.options;
    while (!session.isOver && slot.watcher === this) {
      if (slot.state === SlotState.Loading) await this.follow();
      else if (slot.state === SlotState.Reserved) await this.begin();
      else this.arrive();
    }
    this.rejectWaiting('The engine was given up.');
  }

  /** Orders the load. */
  private async begin(): Promise<void> {
    const { session } = this.options;
    const { orders, slots, places } = session.parts;
    // A report that was proved since may have shown adapters that a former owner ordered.
    const isStillRight = (): boolean => this.isReserved && slots.occupied <= places();
    const outcome = this.isAwaited
      ? await orders.begin(OrderKind.Load, this.ref(), isStillRight)
      : OrderOutcome.Refused;
    if (session.isOver || !this.isReserved) return;
    if (outcome === OrderOutcome.Started) {
      this.accept();
      await this.pause();
    } else if (outcome === OrderOutcome.Done) await this.hearDone();
    // Without an answer, the next report that is proved shows whether it was accepted.
    else if (outcome === OrderOutcome.Unknown) await this.waitForProof();
    else if (outcome === OrderOutcome.Busy && this.isAwaited && !this.isLate)
      await session.parts.timers.sleep(BUSY_MS);
    else this.giveBack(outcome);
  }

  private get isReserved(): boolean {
    const { slot } = this.options;
    return slot.watcher === this && slot.state === SlotState.Reserved;
  }

  private accept(): void {
    const { session, slot } = this.options;
    session.parts.slots.mark(slot, SlotState.Loading);
    this.acceptedAt = session.parts.timers.now();
    this.proofsAtAcceptance = session.proofs;
  }

  /**
   * The engine says that the adapter is in place already. That fits where a request did not find it and it is asked for
   * anew; elsewhere the table says that it is not there, and one of both is wrong.
   */
  private async hearDone(): Promise<void> {
    const { session, slot } = this.options;
    if (slot.beneath === slot.version) {
      slot.beneath = undefined;
      slot.isSeen = true;
      this.arrive();
      return;
    }
    session.parts.orders.doubt();
    await this.waitForProof();
  }

  /** Looks whether the engine is done. */
  private async follow(): Promise<void> {
    const { session, slot } = this.options;
    if (slot.version < this.version) this.rejectWaiting(`An older version of ${slot.key} is on its way.`);
    const outcome = await session.parts.orders.look(OrderKind.Load, this.ref());
    if (session.isOver || slot.state !== SlotState.Loading) return;
    if (outcome === OrderOutcome.Done) {
      slot.isSeen = true;
      this.arrive();
      return;
    }
    if (!FOLLOWED.has(outcome)) this.rejectWaiting(`Its load is ${outcome}.`);
    await this.pause();
  }

  private get isLate(): boolean {
    return this.options.session.parts.timers.now() - this.startedAt >= LOAD_LIMIT_MS;
  }

  /**
   * What is ordered. An order that names no version asks for the newest: repeated after a newer one was declared, it would
   * begin another load.
   */
  private ref(): OrderedRef {
    const { slot } = this.options;
    return { ...refOf(slot), version: slot.version };
  }

  private async waitForProof(): Promise<void> {
    const { session } = this.options;
    const { timers } = session.parts;
    const { proofs } = session;
    while (proofs === session.proofs && !session.isOver) {
      if (this.isLate) this.rejectWaiting('There was no answer to its load.');
      await timers.sleep(BUSY_MS);
    }
  }

  private async pause(): Promise<void> {
    const { session, slot, times } = this.options;
    const { timers } = session.parts;
    if (this.isLate) this.rejectWaiting('It did not load in time.');
    const pollMs = this.isAwaited ? POLL_MS : SLOW_POLL_MS;
    const isFirst = this.isFirstLook && this.acceptedAt !== undefined;
    this.isFirstLook = false;
    const guessedMs = isFirst ? times.expectedMs(slot.key) * FIRST_LOOK_SHARE : 0;
    await timers.sleep(Math.max(pollMs, guessedMs));
  }

  private arrive(): void {
    const { session, slot, wanted } = this.options;
    const { slots, onArrival } = session.parts;
    slots.mark(slot, SlotState.Held);
    slot.watcher = undefined;
    if (wanted !== undefined && this.isAwaited) {
      this.noteLoaded(wanted);
      this.isAwaited = false;
      wanted.resolve();
    }
    if (slot.beneath !== undefined) void this.freeBeneath();
    onArrival(slot);
  }

  private noteLoaded(wanted: Wanted): void {
    const { session, slot, times } = this.options;
    const { timers, log, replica } = session.parts;
    const tookMs = timers.now() - (this.acceptedAt ?? this.startedAt);
    log.detail('adapter.loaded', `Loaded ${slot.key}.`, {
      replica: replica.id,
      adapter: slot.key,
      version: slot.version,
      tookMs: Math.round(tookMs),
      queuedMs: Math.round(this.startedAt - wanted.askedAt),
      wasHeldBefore: times.wasLoaded(slot.key),
    });
    // Where the engine was lost sight of, the time tells nothing of the load, and would put off the looks at later ones.
    const wasSeenThrough = this.acceptedAt !== undefined && this.proofsAtAcceptance === session.proofs;
    if (wasSeenThrough) times.learn(slot.key, tookMs);
  }

  /**
   * Counts the slot of the older version as free when a report says that it is gone. The answer that the newer one is in
   * place does not show it: no count would tell if it were the answer to another order.
   */
  private async freeBeneath(): Promise<void> {
    const { session, slot } = this.options;
    const { orders, timers, onRoom } = session.parts;
    const { version } = slot;
    const isWaiting = (): boolean =>
      !session.isOver &&
      slot.state === SlotState.Held &&
      slot.version === version &&
      slot.beneath !== undefined;
    while (isWaiting()) {
      await timers.sleep(REPLACED_POLL_MS);
      const report = isWaiting() ? await orders.confirm() : undefined;
      if (report === undefined || !isWaiting() || !showsInPlace(report, slot)) continue;
      slot.beneath = undefined;
      onRoom();
    }
  }

  /** The engine has not accepted the load: the slot is as it was before. */
  private giveBack(outcome: OrderOutcome): void {
    const { session, slot } = this.options;
    const { slots, onHoldings, onRoom } = session.parts;
    const { beneath, version } = slot;
    slot.watcher = undefined;
    if (beneath === undefined) session.free(slot.key, `its load ended as ${outcome}`);
    else {
      slots.mark(slot, beneath < version ? SlotState.Held : SlotState.Doubted);
      slot.version = beneath;
      slot.beneath = undefined;
      onHoldings();
    }
    this.rejectWaiting(`Loading ${slot.key} ended as ${outcome}.`);
    onRoom();
  }

  /** The requests that wait go elsewhere; the load itself is followed on. */
  private rejectWaiting(reason: string): void {
    if (!this.isAwaited) return;
    this.isAwaited = false;
    this.options.wanted?.reject(new AdapterUnavailable(reason));
  }
}

/** Whether a report lists the adapter of a slot as in place, and no other version of it on its way. */
function showsInPlace({ models, loading }: EngineReport, { key, version }: Slot): boolean {
  const isComing = loading.some(({ model, adapter }) => adapterKey(model, adapter) === key);
  if (isComing) return false;
  return models.some(({ name, adapters }) =>
    adapters.some((held) => adapterKey(name, held.name) === key && held.version >= version),
  );
}
