/**
 * Sends orders to one engine over a dedicated connection and under this daemon's fencing token. Logs every
 * failed order and draws the conclusions from it: token refused, engine unreachable, restarted or empty.
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

/**
 * Time without a response to an order after which the engine counts as unreachable, in milliseconds. Engines
 * normally respond within a few milliseconds.
 */
const UNRESPONSIVE_AFTER_MS = 400;
/** Time for which an unreachable engine is avoided, in milliseconds. */
const UNREACHABLE_BACKOFF_MS = 400;

/** Outcomes that are not a response of the engine. */
const WITHOUT_RESPONSE: ReadonlySet<OrderOutcome> = new Set([
  OrderOutcome.Unknown,
  OrderOutcome.Unreachable,
  OrderOutcome.Withheld,
]);

/** Options of {@link EngineOrders}. */
export interface EngineOrdersOptions {
  readonly replica: ReplicaEntry;
  /** Address of this daemon. */
  readonly self: string;
  readonly control: EngineControl;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Returns the current token, before each order; undefined when this daemon must not send any. */
  readonly fencingToken: () => number | undefined;
  /** Called in the step that sends an order. */
  readonly onOrder: () => void;
  /** Whether what the engine has declared allows orders now. */
  readonly acceptsOrders: () => boolean;
  /** Called when the engine has refused a token. */
  readonly onFenced: (token: number) => void;
  /** Called when the engine reports a later start than the one known to this daemon. */
  readonly onRestart: (bornAt: number) => void;
  /** Called when the engine is unreachable. */
  readonly onUnreachable: () => void;
  /** Called when the connection has ended, so that earlier responses can no longer be relied on. */
  readonly onDisconnect: () => void;
  /** Called when the engine has refused an order and holds no base model. */
  readonly onEmpty: () => void;
}

/** Subject of an order: an adapter, or the base model itself when no adapter is given. */
export type OrderTarget = Omit<AdapterRef, 'adapter'> & { readonly adapter: string | undefined };

/** Client for orders to one engine. */
export class EngineOrders {
  /** Monotonic time until which the engine counts as unreachable. */
  private unreachableUntil = Number.NEGATIVE_INFINITY;

  private isCheckingForRestart = false;

  /** Latest restart passed to `onRestart`, as Unix milliseconds. */
  private latestReportedStart = 0;

  private connection: EngineConnection | undefined;

  /** Whether a response has arrived on the current connection, so that the engine was reachable. */
  private hasResponded = false;

  constructor(private readonly options: EngineOrdersOptions) {}

  /**
   * Whether the engine was unreachable a moment ago, so that waiting requests are better served elsewhere.
   */
  get isUnreachable(): boolean {
    return this.options.timers.now() < this.unreachableUntil;
  }

  /** Whether what the engine has declared allows orders now. */
  get areAccepted(): boolean {
    return this.options.acceptsOrders();
  }

  /** Whether the connection of the last report is still open. */
  get isConnected(): boolean {
    return this.connection?.isOpen ?? false;
  }

  /**
   * Returns the open connection, or opens one. Only base model loads may be ordered on it before its first
   * report.
   */
  connect(): EngineConnection {
    const { control, replica, onDisconnect } = this.options;
    if (this.connection?.isOpen) return this.connection;
    this.hasResponded = false;
    const connection = control.connect(replica, () => {
      if (this.connection === connection) onDisconnect();
    });
    this.connection = connection;
    return connection;
  }

  /** Closes the connection. */
  disconnect(): void {
    const { connection } = this;
    this.connection = undefined;
    connection?.close();
  }

  /**
   * Requests a report, opening a connection if there is none.
   * @throws Error when there is no report.
   */
  async report(): Promise<EngineReport> {
    const connection = this.connect();
    try {
      const report = await connection.report();
      this.hasResponded = true;
      return report;
    } catch (err) {
      if (!this.hasResponded && connection === this.connection) this.markUnreachable();
      throw err;
    }
  }

  /**
   * Confirms that the responses so far belonged to their orders, by a report that arrives where one is due.
   * @returns The report; undefined when the responses could not be confirmed. If the connection has ended,
   *   they can no longer be relied on.
   */
  async confirmResponses(): Promise<EngineReport | undefined> {
    const { connection } = this;
    if (!connection?.isOpen) return undefined;
    try {
      const report = await connection.report();
      return connection === this.connection && !this.detectRestart(report) ? report : undefined;
    } catch (err) {
      const { log, replica } = this.options;
      log.warn(`Responses of engine ${replica.id} to orders could not be confirmed: ${String(err)}.`);
      return undefined;
    }
  }

  /**
   * Sends an order on the open connection.
   * @param expected - Sequence number that the engine must have reached; undefined skips the check.
   * @returns The outcome; unknown when this daemon must not send orders, unreachable when there is no open
   *   connection, withheld when the engine takes none.
   */
  async send(kind: OrderKind, target: OrderTarget, expected?: number): Promise<OrderOutcome> {
    const { fencingToken, self, timers } = this.options;
    const { connection } = this;
    const token = fencingToken();
    if (token === undefined) return OrderOutcome.Unknown;
    if (!connection?.isOpen) return OrderOutcome.Unreachable;
    const { model, adapter, version } = target;
    const order: EngineOrder = { kind, model, adapter, version, holder: self, token, expected };
    const startedAt = timers.now();
    this.options.onOrder();
    const outcome = await connection.order(order);
    const tookMs = timers.now() - startedAt;
    if (!WITHOUT_RESPONSE.has(outcome)) this.hasResponded = true;
    if (outcome === OrderOutcome.Done || outcome === OrderOutcome.Started)
      this.logSuccess(order, outcome, tookMs);
    else if (outcome !== OrderOutcome.Withheld) this.handleFailure(order, outcome, tookMs);
    return outcome;
  }

  /**
   * Returns whether a report comes from a later incarnation of the engine; if so, this incarnation is gone
   * and the restart is passed on.
   */
  detectRestart({ bornAt }: EngineReport): boolean {
    const { replica, onRestart } = this.options;
    if (bornAt === undefined || replica.bornAt === undefined || bornAt <= replica.bornAt) return false;
    if (bornAt > this.latestReportedStart) onRestart(bornAt);
    this.latestReportedStart = Math.max(this.latestReportedStart, bornAt);
    return true;
  }

  private logSuccess(order: EngineOrder, outcome: OrderOutcome, tookMs: number): void {
    const { replica, log } = this.options;
    if (!log.hasDetails) return;
    log.detail(
      'order.answered',
      `An order to ${replica.id} ended: ${outcome}.`,
      this.facts(order, outcome, tookMs),
    );
  }

  private handleFailure(order: EngineOrder, outcome: OrderOutcome, tookMs: number): void {
    const { replica, log, onFenced } = this.options;
    const { token } = order;
    log.decide(
      'order.failed',
      `An order to ${replica.id} ended: ${outcome}.`,
      this.facts(order, outcome, tookMs),
    );
    if (outcome === OrderOutcome.Fenced) onFenced(token);
    if (outcome === OrderOutcome.Misdirected || outcome === OrderOutcome.Refused) void this.checkForRestart();
    const isUnresponsive = outcome === OrderOutcome.Unknown && tookMs > UNRESPONSIVE_AFTER_MS;
    const hasNeverResponded = outcome === OrderOutcome.Unreachable && !this.hasResponded;
    if (hasNeverResponded || isUnresponsive) this.markUnreachable();
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

  private markUnreachable(): void {
    const { timers, onUnreachable } = this.options;
    this.unreachableUntil = timers.now() + UNREACHABLE_BACKOFF_MS;
    onUnreachable();
  }

  /**
   * Checks the report of an engine that refused an order for lack of something it should hold: it may have
   * restarted.
   */
  private async checkForRestart(): Promise<void> {
    const { control, replica, log, onEmpty } = this.options;
    if (this.isCheckingForRestart) return;
    this.isCheckingForRestart = true;
    try {
      const report = await control.report(replica);
      if (!this.detectRestart(report) && report.models.length === 0) onEmpty();
    } catch (err) {
      log.debug(`Engine ${replica.id} did not return a report: ${String(err)}.`);
    } finally {
      this.isCheckingForRestart = false;
    }
  }
}
