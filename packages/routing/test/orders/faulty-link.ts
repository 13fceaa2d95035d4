/**
 * Simulated network link between one daemon and an engine, on which orders and responses are delayed and
 * lost.
 */
import type { TimerService } from '@celeryyoke/core';
import type {
  EngineConnection,
  EngineControl,
  EngineOrder,
  EngineReport,
  ReplicaEntry,
} from '@celeryyoke/routing';
import { OrderOutcome } from '@celeryyoke/routing';

import type { SimulatedEngine } from './simulated-engine.js';
import type { Random } from './random.js';

/** Time after which a call without a response is abandoned, in milliseconds. */
const CALL_TIMEOUT_MS = 800;
/** Longest one-way delay without faults, in milliseconds. */
const MAX_LATENCY_MS = 3;
/** Time after which a connection that can't be set up is abandoned, in milliseconds. */
const CONNECT_TIMEOUT_MS = 500;

/** Fault that affects a call. */
enum Fault {
  None,
  /** The connection can't be set up; nothing was sent. */
  NoConnection,
  /** The connection is reset before the engine has received the call. */
  ResetBefore,
  /** The call is lost silently. */
  CallLost,
  /** The engine has received the call; the connection is reset before the response arrives. */
  ResetAfter,
  /** The engine has received the call; the response is lost silently. */
  ResponseLost,
  /** The call is delayed, but arrives within the call timeout. */
  SlowCall,
  /** The response is delayed, but arrives within the call timeout. */
  SlowResponse,
}

const FAULTS = [
  Fault.NoConnection,
  Fault.ResetBefore,
  Fault.CallLost,
  Fault.ResetAfter,
  Fault.ResponseLost,
  Fault.SlowCall,
  Fault.SlowResponse,
] as const;

/** Possible contents of a misattributed response. */
const MISATTRIBUTED_OUTCOMES = [OrderOutcome.Done, OrderOutcome.Started, OrderOutcome.Busy] as const;

/** Options of {@link FaultyLink}. */
export interface FaultyLinkOptions {
  readonly timers: TimerService;
  readonly engine: SimulatedEngine;
  readonly random: Random;
  /** Returns the current share of calls affected by a fault. */
  readonly faultShare: () => number;
  /**
   * Returns whether the next order receives the response to another call in place of its own. No real
   * connection does that by itself.
   */
  readonly isNextMisattributed: () => boolean;
  /**
   * Returns whether the engine answers the next call twice; the second response takes the place of the next
   * call's.
   */
  readonly isNextDuplicated: () => boolean;
}

/** Response of an engine on an order connection. */
type EngineResponse = OrderOutcome | EngineReport;

/** Link of one daemon to the engine. */
export class FaultyLink implements EngineControl {
  /** Whether the daemon has crashed: calls in transit still arrive, responses are dropped. */
  hasCrashed = false;

  constructor(readonly options: FaultyLinkOptions) {}

  connect(_replica: ReplicaEntry, onClosed: () => void): EngineConnection {
    return new FaultyConnection(this, onClosed);
  }

  report(replica: ReplicaEntry): Promise<EngineReport> {
    return this.connect(replica, () => undefined).report();
  }
}

/**
 * Connection that delivers responses in order, whichever call they belong to, and ends when the engine
 * restarts.
 */
class FaultyConnection implements EngineConnection {
  isOpen = true;

  /** Incarnation of the engine that the connection was set up with; undefined until the first call. */
  private incarnation: number | undefined;

  /** Responses that have been sent but not read. */
  private readonly unread: EngineResponse[] = [];

  private lastCall: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly link: FaultyLink,
    private readonly onClosed: () => void,
  ) {}

  async order(order: EngineOrder): Promise<OrderOutcome> {
    const { engine, random, isNextMisattributed } = this.link.options;
    const response = await this.call(() => engine.handleOrder(order));
    if (response !== undefined && response !== OrderOutcome.Unreachable && isNextMisattributed())
      return random.pick(MISATTRIBUTED_OUTCOMES);
    if (typeof response === 'string') return response;
    // The body of a report is not a valid response to an order.
    this.close();
    return OrderOutcome.Unknown;
  }

  async report(): Promise<EngineReport> {
    const response = await this.call(() => this.link.options.engine.report());
    if (typeof response === 'object') return response;
    this.close();
    throw new Error('The response is not a report.');
  }

  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.onClosed();
  }

  /**
   * Makes a call after the previous ones have ended.
   * @returns Undefined when there is no response.
   */
  private call(response: () => EngineResponse): Promise<EngineResponse | undefined> {
    const call = this.lastCall.then(() => this.exchange(response));
    this.lastCall = call;
    return call;
  }

  private async exchange(response: () => EngineResponse): Promise<EngineResponse | undefined> {
    const { engine, timers } = this.link.options;
    if (!this.isOpen) return OrderOutcome.Unreachable;
    const fault = engine.isDown || this.hasEngineEnded ? Fault.NoConnection : this.drawFault();
    if (fault === Fault.NoConnection) return this.failToConnect();
    this.incarnation ??= engine.incarnation;
    await timers.sleep(fault === Fault.SlowCall ? this.longDelay() : this.shortDelay());
    if (fault === Fault.ResetBefore) return this.reset();
    if (fault === Fault.CallLost || this.hasEngineEnded) return this.timeOut();
    const read = this.deliver(response());
    if (this.link.hasCrashed || fault === Fault.ResponseLost || this.hasEngineEnded) return this.timeOut();
    await timers.sleep(fault === Fault.SlowResponse ? this.longDelay() : this.shortDelay());
    return fault === Fault.ResetAfter ? this.reset() : read;
  }

  /** Whether the engine incarnation that the connection was set up with has ended. */
  private get hasEngineEnded(): boolean {
    const { engine } = this.link.options;
    return engine.isDown || (this.incarnation !== undefined && this.incarnation !== engine.incarnation);
  }

  /** Queues the engine's response to a call and returns the response that is read in its place. */
  private deliver(response: EngineResponse): EngineResponse {
    this.unread.push(response);
    const read = this.unread.shift()!;
    if (this.link.options.isNextDuplicated()) this.unread.push(response);
    return read;
  }

  private reset(): undefined {
    this.close();
  }

  private async failToConnect(): Promise<OrderOutcome.Unreachable> {
    const { random, timers } = this.link.options;
    await timers.sleep(random.chance(0.5) ? this.shortDelay() : CONNECT_TIMEOUT_MS);
    this.close();
    return OrderOutcome.Unreachable;
  }

  private async timeOut(): Promise<undefined> {
    await this.link.options.timers.sleep(CALL_TIMEOUT_MS);
    this.close();
  }

  private drawFault(): Fault {
    const { random, faultShare } = this.link.options;
    return random.chance(faultShare()) ? random.pick(FAULTS) : Fault.None;
  }

  private shortDelay(): number {
    return this.link.options.random.between(0, MAX_LATENCY_MS);
  }

  /** Draws a long delay. Both directions together stay below the call timeout. */
  private longDelay(): number {
    return this.link.options.random.between(MAX_LATENCY_MS, CALL_TIMEOUT_MS - 2 * MAX_LATENCY_MS);
  }
}
