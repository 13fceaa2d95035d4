/**
 * Orders to one engine: under this daemon's token, on a connection of their own, with a log line for each that fails, and
 * what a failure tells.
 */
import type { DecisionLog, Facts, TimerService } from '@celeryyoke/core';

import type { ReplicaEntry } from '../view/index.js';
import type {
  AdapterRef,
  EngineConnection,
  EngineControl,
  EngineOrder,
  EngineReport,
  OrderKind,
} from './types.js';
import { adapterKey, OrderOutcome } from './types.js';

/** Time without an answer to an order after which the engine counts as unreachable, in milliseconds; it answers in some. */
const SILENCE_MS = 400;
/** Time for which an engine that could not be reached is left alone, in milliseconds. */
const REST_MS = 400;

/** Outcomes that are no answer of the engine. */
const UNANSWERED: ReadonlySet<OrderOutcome> = new Set([OrderOutcome.Unknown, OrderOutcome.Unreachable]);

/** Options of the orders to an engine. */
export interface EngineOrdersOptions {
  readonly replica: ReplicaEntry;
  /** Address of this daemon. */
  readonly self: string;
  readonly control: EngineControl;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Asked before each order; undefined when this daemon may give none. */
  readonly authority: () => number | undefined;
  /** Called when the engine refused a token. */
  readonly onFenced: (token: number) => void;
  /** Called when the engine says that it started later than this daemon knew. */
  readonly onStart: (bornAt: number) => void;
  /** Called when the engine can't be reached. */
  readonly onUnreachable: () => void;
  /** Called when the connection has ended: what its answers told can't be built on any more. */
  readonly onDisconnect: () => void;
  /** Called when the engine refused an order and holds no model. */
  readonly onEmpty: () => void;
}

/** What an order is about; without an adapter it is the base model. */
export type OrderedRef = Omit<AdapterRef, 'adapter'> & { readonly adapter: string | undefined };

/** The orders to one engine. */
export class EngineOrders {
  /** Monotonic time until which the engine counts as unreachable. */
  private unreachableUntil = Number.NEGATIVE_INFINITY;

  private isLookingAgain = false;

  /** Latest start that was told, as Unix milliseconds. */
  private toldStart = 0;

  private connection: EngineConnection | undefined;

  /** Whether the connection has brought an answer, so that the engine was reached. */
  private hasAnswered = false;

  /**
   * Makes one that has sent nothing.
   * @param options - The engine and how to talk to it.
   */
  constructor(private readonly options: EngineOrdersOptions) {}

  /** Whether the engine could not be reached a moment ago: what waits for it is better served elsewhere. */
  get isUnreachable(): boolean {
    return this.options.timers.now() < this.unreachableUntil;
  }

  /** Whether the connection on which the last report came is still there. */
  get isConnected(): boolean {
    return this.connection?.isOpen ?? false;
  }

  /**
   * Opens a connection where there is none.
   * @returns The connection; no order is given on it before a report, but for loads of a base model.
   */
  connect(): EngineConnection {
    const { control, replica, onDisconnect } = this.options;
    if (this.connection?.isOpen) return this.connection;
    this.hasAnswered = false;
    const connection = control.connect(replica, () => {
      if (this.connection === connection) onDisconnect();
    });
    this.connection = connection;
    return connection;
  }

  /** Ends the connection. */
  disconnect(): void {
    const { connection } = this;
    this.connection = undefined;
    connection?.close();
  }

  /**
   * Asks for a report, on a new connection where there is none.
   * @returns The report.
   * @throws Error when there is none.
   */
  async report(): Promise<EngineReport> {
    const connection = this.connect();
    try {
      const report = await connection.report();
      this.hasAnswered = true;
      return report;
    } catch (err) {
      if (!this.hasAnswered && connection === this.connection) this.rest();
      throw err;
    }
  }

  /**
   * Shows that the answers so far were those to their orders, by a report that comes where one is due.
   * @returns The report; undefined when nothing is shown: the connection has ended, and with it what its answers told.
   */
  async confirm(): Promise<EngineReport | undefined> {
    const { connection } = this;
    if (!connection?.isOpen) return undefined;
    try {
      const report = await connection.report();
      return connection === this.connection && !this.hasStartedAgain(report) ? report : undefined;
    } catch (err) {
      const { log, replica } = this.options;
      log.warn(`The answers of engine ${replica.id} to orders can't be relied on: ${String(err)}.`);
      return undefined;
    }
  }

  /**
   * Sends an order on the connection that there is.
   * @param kind - What to do.
   * @param ref - With what.
   * @param expected - Orders that must have begun something on the engine before; undefined when any will do.
   * @returns What became of it; unknown when this daemon may give none, unreachable when there is no connection.
   */
  async send(kind: OrderKind, ref: OrderedRef, expected?: number): Promise<OrderOutcome> {
    const { authority, self, timers } = this.options;
    const { connection } = this;
    const token = authority();
    if (token === undefined) return OrderOutcome.Unknown;
    if (!connection?.isOpen) return OrderOutcome.Unreachable;
    const { model, adapter, version } = ref;
    const order: EngineOrder = { kind, model, adapter, version, holder: self, token, expected };
    const startedAt = timers.now();
    const outcome = await connection.order(order);
    const tookMs = timers.now() - startedAt;
    if (!UNANSWERED.has(outcome)) this.hasAnswered = true;
    if (outcome === OrderOutcome.Done || outcome === OrderOutcome.Started)
      this.noteAnswer(order, outcome, tookMs);
    else this.noteFailure(order, outcome, tookMs);
    return outcome;
  }

  /**
   * Tells whether a report is one of a later start; if so, that is told, and this engine is gone.
   * @param report - The report.
   */
  hasStartedAgain({ bornAt }: EngineReport): boolean {
    const { replica, onStart } = this.options;
    if (bornAt === undefined || replica.bornAt === undefined || bornAt <= replica.bornAt) return false;
    if (bornAt > this.toldStart) onStart(bornAt);
    this.toldStart = Math.max(this.toldStart, bornAt);
    return true;
  }

  private noteAnswer(order: EngineOrder, outcome: OrderOutcome, tookMs: number): void {
    const { replica, log } = this.options;
    if (!log.hasDetails) return;
    log.detail(
      'order.answered',
      `An order to ${replica.id} ended: ${outcome}.`,
      this.facts(order, outcome, tookMs),
    );
  }

  private noteFailure(order: EngineOrder, outcome: OrderOutcome, tookMs: number): void {
    const { replica, log, onFenced } = this.options;
    const { token } = order;
    log.decide(
      'order.failed',
      `An order to ${replica.id} ended: ${outcome}.`,
      this.facts(order, outcome, tookMs),
    );
    if (outcome === OrderOutcome.Fenced) onFenced(token);
    if (outcome === OrderOutcome.Misdirected || outcome === OrderOutcome.Refused) void this.lookAgain();
    const isSilent = outcome === OrderOutcome.Unknown && tookMs > SILENCE_MS;
    const wasNeverReached = outcome === OrderOutcome.Unreachable && !this.hasAnswered;
    if (wasNeverReached || isSilent) this.rest();
  }

  private facts(order: EngineOrder, outcome: OrderOutcome, tookMs: number): Facts {
    const { kind, model, adapter, version, token, expected } = order;
    return {
      replica: this.options.replica.id,
      order: kind,
      adapter: adapter === undefined ? model : adapterKey(model, adapter),
      version,
      token,
      expected,
      outcome,
      tookMs: Math.round(tookMs),
    };
  }

  private rest(): void {
    const { timers, onUnreachable } = this.options;
    this.unreachableUntil = timers.now() + REST_MS;
    onUnreachable();
  }

  /** An engine that refuses an order as it lacks what is believed of it may have started again; its report tells. */
  private async lookAgain(): Promise<void> {
    const { control, replica, log, onEmpty } = this.options;
    if (this.isLookingAgain) return;
    this.isLookingAgain = true;
    try {
      const report = await control.report(replica);
      if (!this.hasStartedAgain(report) && report.models.length === 0) onEmpty();
    } catch (err) {
      log.debug(`Engine ${replica.id} gives no report: ${String(err)}.`);
    } finally {
      this.isLookingAgain = false;
    }
  }
}
