/**
 * Orders to one engine that it accepts only while this daemon knows all that it has accepted.
 *
 * An engine counts the orders that began something, and refuses one that names another count. Each order here names the
 * count that follows from the answers so far. So an order that is late, that a former owner gave, or that rests on an
 * answer that was lost or belongs to another call is refused by the engine itself, and what it holds is found out anew.
 *
 * What is known rests on one connection. Its end, and any answer that does not fit, make it void: then a report is proved
 * anew, on a new connection where the old one has ended.
 */
import type { TimerService } from '@celeryyoke/core';

import type { ReplicaEntry } from '../view/index.js';
import type { EngineOrders, OrderedRef } from './orders.js';
import type { EngineReport } from './types.js';
import { AdapterUnavailable, OrderKind, OrderOutcome } from './types.js';

/** Pause between two tries to prove a report, in milliseconds: a quarter of the lag of a report. */
const PROOF_PAUSE_MS = 50;
/** Count of an engine that has accepted nothing but the load of its base model. */
const ONLY_ITS_MODEL = 1;

/** How the count goes on after an order that named the right one; undefined when it is not known any more. */
const COUNT_AFTER: Readonly<Record<OrderOutcome, (count: number, kind: OrderKind) => number | undefined>> = {
  [OrderOutcome.Started]: (count) => count + 1,
  // A load that is done was so before and counts for nothing; an unload that is done was begun and done in one.
  [OrderOutcome.Done]: (count, kind) => (kind === OrderKind.Unload ? count + 1 : count),
  [OrderOutcome.Unknown]: () => undefined,
  [OrderOutcome.Busy]: () => undefined,
  [OrderOutcome.Fenced]: (count) => count,
  // Each of these says that something is other than is known here, or that the connection has ended.
  [OrderOutcome.Misdirected]: () => undefined,
  [OrderOutcome.Refused]: () => undefined,
  [OrderOutcome.Unreachable]: () => undefined,
};

/** An engine that holds no model: what was known of it is void. */
export class EngineEmptyError extends Error {}

/** Options of the numbered orders. */
export interface NumberedOrdersOptions {
  readonly replica: ReplicaEntry;
  readonly timers: TimerService;
  readonly orders: EngineOrders;
  /** Whether the engine refuses orders with older tokens, so that no other owner can give any. */
  readonly isFenced: boolean;
  /** Called when the count is needed and not known, and {@link NumberedOrders.prove} must find it out; also more than once. */
  readonly onDoubt: () => void;
}

/** The numbered orders to one engine. */
export class NumberedOrders {
  /** Orders that the engine has accepted; undefined while it is not known. */
  private count: number | undefined;

  /** Whether an unload waits for the runs on its adapter: the engine refuses every other order meanwhile. */
  private isUnloadWaiting = false;

  private isClosed = false;

  /** Orders begun, and whether one is under way: an answer to another one meanwhile may rest on either count. */
  private begun = 0;

  private isBeginning = false;

  /** Settles when the orders that begin something, one at a time, have ended so far. */
  private turn: Promise<unknown> = Promise.resolve();

  /**
   * Makes one that does not know the count yet.
   * @param options - The engine and how to talk to it.
   */
  constructor(private readonly options: NumberedOrdersOptions) {}

  /** Whether the count is known, so that orders can be given. */
  get isExact(): boolean {
    return this.count !== undefined;
  }

  /** Whether an unload waits for the runs on its adapter, so that the engine would refuse every other order. */
  get isBlocked(): boolean {
    return this.isUnloadWaiting;
  }

  /**
   * Gives an order that begins something.
   * @param kind - What to do.
   * @param ref - With what.
   * @param isStillRight - Asked when its turn has come; what was believed when the order was decided may have changed.
   * @returns What became of it. Nothing is sent, and it is busy, while the count is not known or an unload waits for its
   *   runs; nothing is sent, and it is refused, when it is not right any more.
   */
  begin(kind: OrderKind, ref: OrderedRef, isStillRight: () => boolean): Promise<OrderOutcome> {
    return this.inTurn(async () => {
      const { count } = this;
      if (count === undefined) this.doubt();
      if (count === undefined || this.isUnloadWaiting) return OrderOutcome.Busy;
      if (!isStillRight()) return OrderOutcome.Refused;
      this.begun += 1;
      this.isBeginning = true;
      const outcome = await this.options.orders.send(kind, ref, count);
      this.isBeginning = false;
      this.note(outcome, kind, count);
      return (await this.isReliable(outcome)) ? outcome : OrderOutcome.Unknown;
    });
  }

  /**
   * Whether an answer can be built on. Where the engine refuses older tokens, a count that is wrong fits no order. Elsewhere
   * a former owner's order may make it fit, so each answer that changes the count is shown to be the order's own.
   */
  private async isReliable(outcome: OrderOutcome): Promise<boolean> {
    const changesCount = outcome === OrderOutcome.Started || outcome === OrderOutcome.Done;
    if (this.options.isFenced || !changesCount) return true;
    const isShown = (await this.confirm()) !== undefined;
    if (!isShown) this.doubt();
    return isShown;
  }

  /**
   * Repeats an order that the engine has accepted, to learn whether it is done.
   * @param kind - What was ordered.
   * @param ref - With what.
   * @returns How it stands; busy when that can't be said now.
   */
  async look(kind: OrderKind, ref: OrderedRef): Promise<OrderOutcome> {
    return kind === OrderKind.Load ? this.lookAtLoad(ref) : this.lookAtUnload(ref);
  }

  /** A repeated load names the count too: one that is late must not begin anew on an engine that has lost all. */
  private async lookAtLoad(ref: OrderedRef): Promise<OrderOutcome> {
    const { count, begun, isBeginning } = this;
    if (count === undefined) {
      this.doubt();
      return OrderOutcome.Busy;
    }
    const outcome = await this.options.orders.send(OrderKind.Load, ref, count);
    const isCountOwn = !isBeginning && begun === this.begun;
    if (outcome === OrderOutcome.Busy && isCountOwn && !this.isUnloadWaiting) this.doubt();
    return outcome;
  }

  private async lookAtUnload(ref: OrderedRef): Promise<OrderOutcome> {
    if (this.count === undefined) {
      this.doubt();
      return OrderOutcome.Busy;
    }
    const outcome = await this.options.orders.send(OrderKind.Unload, ref);
    if (outcome === OrderOutcome.Done) this.isUnloadWaiting = false;
    return outcome;
  }

  /**
   * Shows that the answers so far were those to their orders. To be asked before a slot counts as free: an answer that
   * only takes up room does no harm when it belongs to another order, as the count does not fit then.
   * @returns The engine's report, some hundred milliseconds old; undefined when nothing is shown.
   */
  async confirm(): Promise<EngineReport | undefined> {
    const { orders } = this.options;
    if (!orders.isConnected) this.doubt();
    return orders.confirm();
  }

  /**
   * Finds out what the engine holds and how many orders it has accepted. A report is some hundred milliseconds old; it
   * is exact when the engine then accepts an order, which changes nothing, under the report's count. From then on it
   * refuses what earlier owners ordered.
   * @param model - A base model that the engine holds.
   * @param take - Takes the report that was proved, before any order is given that rests on it.
   * @throws EngineEmptyError when the engine holds no model.
   * @throws AdapterUnavailable when the engine is another one, or another daemon gives it orders.
   */
  prove(model: string, take: (report: EngineReport) => void): Promise<void> {
    return this.inTurn(() => this.proveNow(model, take));
  }

  /**
   * Proves that an engine has accepted nothing but the load of its base model, so that no report need be waited for.
   * @param model - The model.
   * @returns Whether that is so.
   */
  proveFresh(model: string): Promise<boolean> {
    return this.inTurn(async () => {
      const isDone = (await this.sendModel(model, ONLY_ITS_MODEL)) === OrderOutcome.Done;
      const isFresh = isDone && (await this.confirm()) !== undefined;
      if (isFresh && !this.isClosed) this.count = ONLY_ITS_MODEL;
      return isFresh;
    });
  }

  /** Gives no order until a report has been proved anew, and has that done. */
  doubt(): void {
    if (this.isClosed) return;
    this.count = undefined;
    this.options.onDoubt();
  }

  /** The connection has ended: the next order, or look at one, has a report proved first. An idle engine is left alone. */
  lapse(): void {
    this.count = undefined;
  }

  /** Gives no order any more. */
  close(): void {
    this.isClosed = true;
    this.count = undefined;
  }

  private async proveNow(model: string, take: (report: EngineReport) => void): Promise<void> {
    const { replica, orders, timers } = this.options;
    let isFenceRaised = false;
    while (!this.isClosed) {
      const report = await orders.report();
      if (orders.hasStartedAgain(report)) throw new AdapterUnavailable('The engine has started again.');
      if (report.models.length === 0) throw new EngineEmptyError(`Engine ${replica.id} holds no model.`);
      const outcome = await this.sendModel(model, report.sequence);
      if (this.isClosed) break;
      if (outcome === OrderOutcome.Done) {
        this.count = report.sequence;
        this.isUnloadWaiting = false;
        take(report);
        return;
      }
      if (outcome !== OrderOutcome.Busy && orders.isConnected)
        throw new AdapterUnavailable(`The report’s proof ended as ${outcome}.`);
      // An order that is refused leaves the fence as it was, so that a former owner could go on.
      if (!isFenceRaised && orders.isConnected)
        isFenceRaised = (await this.sendModel(model, undefined)) === OrderOutcome.Done;
      await timers.sleep(PROOF_PAUSE_MS);
    }
    throw new AdapterUnavailable('The engine was given up.');
  }

  private sendModel(model: string, count: number | undefined): Promise<OrderOutcome> {
    return this.options.orders.send(OrderKind.Load, { model, adapter: undefined, version: undefined }, count);
  }

  private note(outcome: OrderOutcome, kind: OrderKind, count: number): void {
    const next = COUNT_AFTER[outcome](count, kind);
    if (kind === OrderKind.Unload && outcome === OrderOutcome.Started) this.isUnloadWaiting = true;
    if (next === undefined) this.doubt();
    // It may have been doubted meanwhile, as the connection has ended.
    else if (this.count === count) this.count = next;
  }

  private inTurn<T>(task: () => Promise<T>): Promise<T> {
    const ended = this.turn.then(task);
    this.turn = ended.catch(() => undefined);
    return ended;
  }
}
