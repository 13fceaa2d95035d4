/**
 * The load of one adapter into its slot.
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
import { AdapterUnavailable, OrderKind, OrderOutcome } from './types.js';

/** Pause between two looks at a load, in milliseconds: a tenth of a first load, half of a repeated one. */
const POLL_MS = 12;
/** The same when nobody waits for it any more, or the engine can't be reached, in milliseconds. */
const SLOW_POLL_MS = 100;
/** Pause when the engine is at another order, in milliseconds. */
const BUSY_MS = 15;
/** Longest time for which requests wait for a load, in milliseconds; a crowded store takes some times the usual quarter second. */
const LOAD_LIMIT_MS = 4000;
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
  /** Requests that wait for it; undefined when a former keeper began it. */
  readonly wanted: Wanted | undefined;
  /** What the slot held before; undefined when it was free. */
  readonly previousVersion: number | undefined;
}

/** One load. */
export class AdapterLoad {
  private readonly startedAt: number;

  private isFirstLook = true;

  /** Whether the engine has accepted it, as of the last report that was proved and the answers since. */
  private wasAccepted: boolean;

  private proofsSeen: number;

  private readonly proofsAtStart: number;

  /** Whether requests still wait for it. */
  private isAwaited: boolean;

  /**
   * Makes a load whose slot is marked as loading.
   * @param options - The slot, and who waits.
   */
  constructor(private readonly options: AdapterLoadOptions) {
    this.startedAt = options.session.parts.timers.now();
    this.isAwaited = options.wanted !== undefined;
    this.wasAccepted = options.wanted === undefined;
    this.proofsSeen = options.session.proofs;
    this.proofsAtStart = this.proofsSeen;
  }

  /** Orders the load and follows it until the adapter is in place, or the engine has not accepted it. */
  async run(): Promise<void> {
    const { session } = this.options;
    for (;;) {
      const isAccepted = this.isAccepted();
      const outcome = await (isAccepted ? this.look() : this.begin());
      if (session.isOver) {
        this.rejectWaiting('The engine was given up.');
        return;
      }
      if (outcome === OrderOutcome.Done) {
        this.arrive();
        return;
      }
      if (!isAccepted && !(await this.triesOn(outcome)) && !this.followsReported(outcome)) {
        this.giveBack(outcome);
        return;
      }
      if (isAccepted) await this.pause(outcome);
    }
  }

  /**
   * Whether the engine has accepted the load. What an earlier answer told is void once a later report was proved: where
   * it does not list the adapter, to repeat the order would be to begin another load, for which there may be no room.
   */
  private isAccepted(): boolean {
    const { session, slot } = this.options;
    if (this.proofsSeen !== session.proofs) {
      this.proofsSeen = session.proofs;
      this.wasAccepted = (session.reportedVersion(slot.key) ?? 0) >= slot.version;
    }
    return this.wasAccepted;
  }

  /**
   * Goes on with what a report shows that was proved since the load was asked for: another keeper may have ordered the
   * adapter, in this version or an older one, and the slot is taken by that.
   */
  private followsReported(outcome: OrderOutcome): boolean {
    const { session, slot } = this.options;
    const version = session.reportedVersion(slot.key);
    if (this.proofsAtStart === session.proofs || version === undefined) return false;
    if (version < slot.version) this.rejectWaiting(`Loading ${slot.key} ended as ${outcome}.`);
    slot.version = Math.min(version, slot.version);
    slot.isReplacement = false;
    this.proofsSeen = session.proofs;
    this.wasAccepted = true;
    return true;
  }

  /** Whether a load that was not accepted so far is tried on, after what became of its order. */
  private async triesOn(outcome: OrderOutcome): Promise<boolean> {
    if (outcome === OrderOutcome.Started) {
      this.wasAccepted = true;
      // Its turn may have come right after a report was proved, which can't list it.
      this.proofsSeen = this.options.session.proofs;
      await this.pause(outcome);
      return true;
    }
    // Without an answer, the next report that is proved shows whether it was accepted.
    if (outcome === OrderOutcome.Unknown) return this.waitForProof();
    if (outcome !== OrderOutcome.Busy || !this.isAwaited || this.isLate) return false;
    await this.options.session.parts.timers.sleep(BUSY_MS);
    return true;
  }

  private get isLate(): boolean {
    return this.options.session.parts.timers.now() - this.startedAt >= LOAD_LIMIT_MS;
  }

  private begin(): Promise<OrderOutcome> {
    const { session } = this.options;
    const { orders, slots, places } = session.parts;
    // A report that was proved since may have shown adapters that a former keeper ordered.
    return orders.begin(OrderKind.Load, this.ref(), () => slots.occupied <= places());
  }

  private look(): Promise<OrderOutcome> {
    return this.options.session.parts.orders.look(OrderKind.Load, this.ref());
  }

  /**
   * What is ordered. An order that names no version asks for the newest: repeated after a newer one was declared, it would
   * begin another load.
   */
  private ref(): OrderedRef {
    const { slot } = this.options;
    return { ...refOf(slot), version: slot.version };
  }

  private async waitForProof(): Promise<boolean> {
    const { session } = this.options;
    const { timers } = session.parts;
    const { proofs } = session;
    while (proofs === session.proofs && !session.isOver) {
      if (this.isLate) this.rejectWaiting('There was no answer to its load.');
      await timers.sleep(BUSY_MS);
    }
    return this.isAwaited;
  }

  private async pause(outcome: OrderOutcome): Promise<void> {
    const { session, slot, times } = this.options;
    const { timers } = session.parts;
    if (!FOLLOWED.has(outcome)) this.rejectWaiting(`Its load is ${outcome}.`);
    if (this.isLate) this.rejectWaiting('It did not load in time.');
    const pollMs = this.isAwaited ? POLL_MS : SLOW_POLL_MS;
    const untilGuess = this.startedAt + times.expectedMs(slot.key) * FIRST_LOOK_SHARE - timers.now();
    await timers.sleep(this.isFirstLook ? Math.max(pollMs, untilGuess) : pollMs);
    this.isFirstLook = false;
  }

  private arrive(): void {
    const { session, slot, times, wanted } = this.options;
    const { slots, timers, log, replica, onArrival } = session.parts;
    slots.mark(slot, SlotState.Held);
    slot.isReplacement = false;
    const tookMs = timers.now() - this.startedAt;
    if (wanted !== undefined) {
      log.detail('adapter.loaded', `Loaded ${slot.key}.`, {
        replica: replica.id,
        adapter: slot.key,
        version: slot.version,
        tookMs: Math.round(tookMs),
        queuedMs: Math.round(this.startedAt - wanted.askedAt),
        wasHeldBefore: times.wasLoaded(slot.key),
      });
      times.learn(slot.key, tookMs);
      wanted.resolve();
    }
    onArrival(slot);
  }

  /** The engine has not accepted the load: the slot is as it was before. */
  private giveBack(outcome: OrderOutcome): void {
    const { session, slot, previousVersion } = this.options;
    const { slots, onHoldings, onRoom } = session.parts;
    if (previousVersion === undefined) session.free(slot.key, `its load ended as ${outcome}`);
    else {
      slots.mark(slot, slot.isReplacement ? SlotState.Held : SlotState.Doubted);
      slot.version = previousVersion;
      slot.isReplacement = false;
      onHoldings();
    }
    this.rejectWaiting(`Loading ${slot.key} ended as ${outcome}.`);
    onRoom();
  }

  /** The requests that wait go elsewhere; the load itself is followed on. */
  private rejectWaiting(reason: string): void {
    this.isAwaited = false;
    this.options.wanted?.reject(new AdapterUnavailable(reason));
  }
}
