/**
 * Sends orders to one engine such that it accepts them only if this daemon knows every order it has accepted
 * before.
 *
 * An engine counts the accepted orders that had an effect, and refuses an order that carries a different
 * count. Each order sent here carries the count that follows from the responses so far. An order that is
 * late, comes from a former owner, or is based on a response that was lost or belongs to another call is
 * therefore refused by the engine itself, and its state is read again.
 *
 * This knowledge is tied to one connection. When the connection ends or a response does not fit, the count is
 * discarded and a new report is verified, on a new connection if the old one has ended.
 */
import type { TimerService } from '@celeryyoke/core';

import type { ReplicaEntry } from '../view/index.js';
import type { EngineOrders, OrderTarget } from './orders.js';
import type { EngineReport } from './types.js';
import { AdapterUnavailable, OrderKind, OrderOutcome } from './types.js';

/** Delay between attempts to verify a report, in milliseconds: a quarter of the lag of reports. */
const SYNCHRONIZE_RETRY_MS = 50;
/** Sequence number of an engine that has accepted nothing but the load of its base model. */
const MODEL_ONLY_SEQUENCE = 1;

/** Sequence number after an order that carried the right one; undefined when it is no longer known. */
const SEQUENCE_AFTER: Readonly<
  Record<OrderOutcome, (sequence: number, kind: OrderKind) => number | undefined>
> = {
  [OrderOutcome.Started]: (sequence) => sequence + 1,
  // A load that is already done had no effect and is not counted. An unload that is done took effect at once.
  [OrderOutcome.Done]: (sequence, kind) => (kind === OrderKind.Unload ? sequence + 1 : sequence),
  [OrderOutcome.Unknown]: () => undefined,
  [OrderOutcome.Busy]: () => undefined,
  [OrderOutcome.Fenced]: (sequence) => sequence,
  // Either the engine's state differs from what is known here, or the connection has ended.
  [OrderOutcome.Misdirected]: () => undefined,
  [OrderOutcome.Refused]: () => undefined,
  [OrderOutcome.Unreachable]: () => undefined,
  [OrderOutcome.Withheld]: (sequence) => sequence,
};

/** Thrown when the engine holds no base model, so that all that is known about it is invalid. */
export class EngineEmptyError extends Error {}

/** Options of {@link SequencedOrders}. */
export interface SequencedOrdersOptions {
  readonly replica: ReplicaEntry;
  readonly timers: TimerService;
  readonly orders: EngineOrders;
  /**
   * Whether the engine rejects orders with older fencing tokens, so that it accepts orders of no other owner.
   */
  readonly isFenced: boolean;
  /**
   * Called when the sequence number is needed but unknown, so that {@link SequencedOrders.synchronize} must
   * run. May be called repeatedly.
   */
  readonly onInvalidated: () => void;
}

/** Sends orders to one engine and tracks its sequence number. */
export class SequencedOrders {
  /** Number of accepted orders that had an effect on the engine; undefined while unknown. */
  private sequence: number | undefined;

  /**
   * Whether an unload waits for requests on its adapter to end. The engine refuses all other orders
   * meanwhile.
   */
  private isUnloadPending = false;

  private isClosed = false;

  /**
   * Number of submitted orders, and whether one is in progress. A poll that overlaps with a submitted order
   * may have been answered before or after it, under either sequence number.
   */
  private submitted = 0;

  private isSubmitting = false;

  /** Settles when all orders submitted so far, which run one at a time, have ended. */
  private lastTask: Promise<unknown> = Promise.resolve();

  constructor(private readonly options: SequencedOrdersOptions) {}

  /** Whether the sequence number is known, so that orders can be sent. */
  get isSynchronized(): boolean {
    return this.sequence !== undefined;
  }

  /**
   * Whether an unload waits for requests on its adapter to end, so that the engine would refuse all other
   * orders.
   */
  get isBlocked(): boolean {
    return this.isUnloadPending;
  }

  /**
   * Submits an order that changes the engine's state, after the orders submitted before it have ended.
   * @param isStillValid - Called just before sending, as the assumptions behind the order may have changed by
   *   then.
   * @returns The outcome. Without sending: busy while the sequence number is unknown or an unload is pending,
   *   refused when the order is no longer valid.
   */
  submit(kind: OrderKind, target: OrderTarget, isStillValid: () => boolean): Promise<OrderOutcome> {
    return this.runExclusively(async () => {
      const { sequence } = this;
      if (sequence === undefined) this.invalidate();
      if (sequence === undefined || this.isUnloadPending) return OrderOutcome.Busy;
      if (!isStillValid()) return OrderOutcome.Refused;
      this.submitted += 1;
      this.isSubmitting = true;
      const outcome = await this.options.orders.send(kind, target, sequence);
      this.isSubmitting = false;
      this.updateSequence(outcome, kind, sequence);
      return (await this.isConfirmed(outcome)) ? outcome : OrderOutcome.Unknown;
    });
  }

  /**
   * Returns whether a response can be relied on. Where the engine rejects older fencing tokens, a wrong
   * sequence number never matches the engine's. Elsewhere an order of a former owner can make it match, so each
   * response that an order has started or is done is confirmed to belong to that order.
   */
  private async isConfirmed(outcome: OrderOutcome): Promise<boolean> {
    const changesSequence = outcome === OrderOutcome.Started || outcome === OrderOutcome.Done;
    if (this.options.isFenced || !changesSequence) return true;
    const isOwnResponse = (await this.confirmResponses()) !== undefined;
    if (!isOwnResponse) this.invalidate();
    return isOwnResponse;
  }

  /**
   * Repeats an order that the engine has accepted, to find out whether it is done.
   * @returns The current outcome; busy when it can't be determined now.
   */
  async poll(kind: OrderKind, target: OrderTarget): Promise<OrderOutcome> {
    return kind === OrderKind.Load ? this.pollLoad(target) : this.pollUnload(target);
  }

  /**
   * A repeated load carries the sequence number too: if it arrives late, it must not start a load on an
   * engine that has lost its state.
   */
  private async pollLoad(target: OrderTarget): Promise<OrderOutcome> {
    const { sequence, submitted, isSubmitting } = this;
    if (sequence === undefined) {
      this.invalidate();
      return OrderOutcome.Busy;
    }
    const outcome = await this.options.orders.send(OrderKind.Load, target, sequence);
    const isOnlyOrder = !isSubmitting && submitted === this.submitted;
    if (outcome === OrderOutcome.Busy && isOnlyOrder && !this.isUnloadPending) this.invalidate();
    return outcome;
  }

  private async pollUnload(target: OrderTarget): Promise<OrderOutcome> {
    if (this.sequence === undefined) {
      this.invalidate();
      return OrderOutcome.Busy;
    }
    const outcome = await this.options.orders.send(OrderKind.Unload, target);
    if (outcome === OrderOutcome.Done) this.isUnloadPending = false;
    return outcome;
  }

  /**
   * Confirms that the responses so far belonged to their orders. Required before a slot is released. A
   * misattributed response that only occupies a slot is harmless, as the sequence number no longer matches
   * then.
   * @returns The engine's report, some hundred milliseconds old; undefined when the responses could not be
   *   confirmed.
   */
  async confirmResponses(): Promise<EngineReport | undefined> {
    const { orders } = this.options;
    if (!orders.isConnected) this.invalidate();
    return orders.confirmResponses();
  }

  /**
   * Reads the engine's state and sequence number from a report and verifies that the report is current.
   * Reports lag by some hundred milliseconds; a report is current if the engine accepts an order without
   * effect under the report's sequence number. From then on the engine refuses orders of earlier owners.
   * @param model - A base model resident on the engine.
   * @param apply - Receives the verified report before any order is sent that is based on it.
   * @throws EngineEmptyError when the engine holds no model.
   * @throws AdapterUnavailable when the engine has restarted or gives an unexpected response, or this daemon no
   *   longer owns it.
   */
  synchronize(model: string, apply: (report: EngineReport) => void): Promise<void> {
    return this.runExclusively(() => this.synchronizeNow(model, apply));
  }

  /**
   * Verifies that an engine has accepted nothing but the load of its base model, which avoids waiting for a
   * report.
   * @returns Whether that is the case.
   */
  synchronizeFresh(model: string): Promise<boolean> {
    return this.runExclusively(async () => {
      const isDone = (await this.sendModelLoad(model, MODEL_ONLY_SEQUENCE)) === OrderOutcome.Done;
      const isFresh = isDone && (await this.confirmResponses()) !== undefined;
      if (isFresh && !this.isClosed) this.sequence = MODEL_ONLY_SEQUENCE;
      return isFresh;
    });
  }

  /** Discards the sequence number and requests synchronization; no order is sent until that has succeeded. */
  invalidate(): void {
    if (this.isClosed) return;
    this.sequence = undefined;
    this.options.onInvalidated();
  }

  /**
   * Discards the sequence number after the connection has ended. The next order or poll triggers
   * synchronization, so an idle engine receives no messages.
   */
  forgetSequence(): void {
    this.sequence = undefined;
  }

  /** Stops sending orders. */
  close(): void {
    this.isClosed = true;
    this.sequence = undefined;
  }

  private async synchronizeNow(model: string, apply: (report: EngineReport) => void): Promise<void> {
    const { replica, orders, timers } = this.options;
    let isTokenRaised = false;
    while (!this.isClosed) {
      const report = await orders.report();
      if (orders.detectRestart(report)) throw new AdapterUnavailable('The engine has restarted.');
      if (report.models.length === 0) throw new EngineEmptyError(`Engine ${replica.id} has no base model.`);
      const outcome = await this.sendModelLoad(model, report.sequence);
      if (this.isClosed) break;
      if (outcome === OrderOutcome.Done) {
        this.sequence = report.sequence;
        this.isUnloadPending = false;
        apply(report);
        return;
      }
      if (outcome !== OrderOutcome.Busy && orders.isConnected)
        throw new AdapterUnavailable(`The order that verifies a report was answered ${outcome}.`);
      // An order that was not accepted does not raise the highest fencing token that the engine has seen, so
      // it would still accept orders of a former owner.
      if (!isTokenRaised && orders.isConnected)
        isTokenRaised = (await this.sendModelLoad(model, undefined)) === OrderOutcome.Done;
      await timers.sleep(SYNCHRONIZE_RETRY_MS);
    }
    throw new AdapterUnavailable('This daemon no longer owns the engine.');
  }

  private sendModelLoad(model: string, sequence: number | undefined): Promise<OrderOutcome> {
    return this.options.orders.send(
      OrderKind.Load,
      { model, adapter: undefined, version: undefined },
      sequence,
    );
  }

  private updateSequence(outcome: OrderOutcome, kind: OrderKind, sequence: number): void {
    const next = SEQUENCE_AFTER[outcome](sequence, kind);
    if (kind === OrderKind.Unload && outcome === OrderOutcome.Started) this.isUnloadPending = true;
    if (next === undefined) this.invalidate();
    // The sequence number may have been discarded meanwhile because the connection ended.
    else if (this.sequence === sequence) this.sequence = next;
  }

  private runExclusively<T>(task: () => Promise<T>): Promise<T> {
    const result = this.lastTask.then(task);
    this.lastTask = result.catch(() => undefined);
    return result;
  }
}
