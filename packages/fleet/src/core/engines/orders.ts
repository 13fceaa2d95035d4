/** Sends orders to an engine. Authority is checked in the same synchronous step that sends the order. */
import type { AuditTrail, Log, TimerService } from '@celeryyoke/core';
import { AuditKind } from '@celeryyoke/core';
import type { EngineClient, OrderKind, OrderResult } from '@celeryyoke/platform';
import { OrderOutcome } from '@celeryyoke/platform';

import type { Ownership } from '../ownership/index.js';
import { Authority } from '../ownership/index.js';

/** Authorities in ascending order of what they allow. */
const AUTHORITY_RANKS: Readonly<Record<Authority, number>> = {
  [Authority.None]: 0,
  [Authority.Waiting]: 1,
  [Authority.Additive]: 2,
  [Authority.Full]: 3,
};

/** Whether the authority that is held allows what needs another. */
export function isSufficient(held: Authority, needed: Authority): boolean {
  return AUTHORITY_RANKS[held] >= AUTHORITY_RANKS[needed];
}

/** Returns the name of the resource under which ownership of an engine is managed. */
export function engineResource(engine: string): string {
  return `engine/${engine}`;
}

export interface OrdersOptions {
  readonly engine: string;
  readonly client: EngineClient;
  readonly ownership: Ownership;
  readonly timers: TimerService;
  readonly audit: AuditTrail;
  readonly log: Log;
}

/** An order that was sent; `sentAt` is in monotonic milliseconds. */
export interface SentOrder {
  readonly sentAt: number;
  readonly result: Promise<OrderResult>;
}

/** Sends the orders of this daemon to one engine and records them in the audit trail. */
export class EngineOrders {
  constructor(private readonly options: OrdersOptions) {}

  /** Whether this daemon has the authority that an order needs at this moment. */
  isAllowed(needed: Authority): boolean {
    const { engine, ownership } = this.options;
    return isSufficient(ownership.authority(engineResource(engine)), needed);
  }

  /**
   * Sends an order if this daemon has the authority for it.
   * @param subject - Key of the adapter, or the role.
   * @param timeoutMs - Time after which the engine no longer carries the order out.
   * @returns The order, or undefined when it was not sent for lack of authority.
   */
  send(kind: OrderKind, subject: string, timeoutMs: number, needed: Authority): SentOrder | undefined {
    const { engine, client, ownership, timers } = this.options;
    if (!this.isAllowed(needed)) return undefined;
    const sentAt = timers.now();
    const fencing = ownership.fencingToken(engineResource(engine));
    const endTracking = ownership.trackOrder(engineResource(engine));
    const result = client.order({ kind, subject, fencing, timeoutMs });
    this.audit(AuditKind.OrderSent, kind, subject, { fencing });
    return { sentAt, result: this.awaitResult(kind, subject, result, endTracking, timeoutMs) };
  }

  private async awaitResult(
    kind: OrderKind,
    subject: string,
    result: Promise<OrderResult>,
    endTracking: () => void,
    timeoutMs: number,
  ): Promise<OrderResult> {
    const { engine, log, timers } = this.options;
    const orderResult = await result;
    // An order of unknown outcome may still be carried out until its timeout has passed.
    if (orderResult.outcome === OrderOutcome.Unknown) timers.after(timeoutMs, endTracking);
    else endTracking();
    this.audit(AuditKind.OrderResult, kind, subject, orderResult);
    if (orderResult.reason !== undefined)
      log.warn(`Order ${kind} ${subject} to ${engine}: ${orderResult.outcome}, ${orderResult.reason}.`);
    return orderResult;
  }

  private audit(change: AuditKind, kind: OrderKind, subject: string, after: unknown): void {
    this.options.audit.record({
      kind: change,
      subject: this.options.engine,
      cause: `${kind} ${subject}`,
      after,
    });
  }
}
