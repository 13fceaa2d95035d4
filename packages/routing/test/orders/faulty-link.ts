/** The way of one daemon's orders to an engine, on which orders and answers are held up and lost. */
import type { TimerService } from '@celeryyoke/core';
import type {
  EngineConnection,
  EngineControl,
  EngineOrder,
  EngineReport,
  ReplicaEntry,
} from '@celeryyoke/routing';
import { OrderOutcome } from '@celeryyoke/routing';

import type { OrderedEngine } from './simulated-engine.js';
import type { Random } from './random.js';

/** Time after which a call without an answer is given up, in milliseconds. */
const CALL_LIMIT_MS = 800;
/** Longest ordinary time of one way, in milliseconds. */
const ORDINARY_MS = 3;
/** Time after which a connection that is not set up is given up, in milliseconds. */
const CONNECT_LIMIT_MS = 500;

/** What happens to a call. */
enum Fate {
  Ordinary,
  /** No connection: not a byte was sent. */
  NoConnection,
  /** The connection is reset under way, before the engine has it. */
  ResetBefore,
  /** It gets lost, and nothing tells so. */
  Lost,
  /** The engine has it; the connection is reset before the answer. */
  ResetAfter,
  /** The engine has it; the answer gets lost, and nothing tells so. */
  AnswerLost,
  /** The call takes long, but less than it is waited for. */
  SlowCall,
  /** The answer takes long, but less than it is waited for. */
  SlowAnswer,
}

const TROUBLES = [
  Fate.NoConnection,
  Fate.ResetBefore,
  Fate.Lost,
  Fate.ResetAfter,
  Fate.AnswerLost,
  Fate.SlowCall,
  Fate.SlowAnswer,
] as const;

/** What the answer to another order may say. */
const OTHER_ANSWERS = [OrderOutcome.Done, OrderOutcome.Started, OrderOutcome.Busy] as const;

/** Options of a way. */
export interface WayOptions {
  readonly timers: TimerService;
  readonly engine: OrderedEngine;
  readonly random: Random;
  /** Share of the calls that something happens to, at this moment. */
  readonly trouble: () => number;
  /** Whether the next order gets the answer to another call in place of its own; no connection does so by itself. */
  readonly isOther: () => boolean;
  /** Whether the engine answers the next call twice; the second answer comes where the next one is expected. */
  readonly isTwice: () => boolean;
}

/** What an engine may answer on a connection of its orders. */
type Answer = OrderOutcome | EngineReport;

/** The way. */
export class Way implements EngineControl {
  /** Whether the daemon at its beginning has ended: what is under way arrives, answers reach nobody. */
  hasEnded = false;

  /**
   * Makes a way.
   * @param options - The engine at its end, and what goes wrong.
   */
  constructor(readonly options: WayOptions) {}

  connect(_replica: ReplicaEntry, onClosed: () => void): EngineConnection {
    return new WayConnection(this, onClosed);
  }

  report(replica: ReplicaEntry): Promise<EngineReport> {
    return this.connect(replica, () => undefined).report();
  }
}

/** A connection: answers come in their order, whichever call they belong to, and it ends with the engine's start. */
class WayConnection implements EngineConnection {
  isOpen = true;

  /** The start that it was set up with; undefined until its first call. */
  private life: number | undefined;

  /** Answers that have been sent and not been read. */
  private readonly unread: Answer[] = [];

  private turn: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly way: Way,
    private readonly onClosed: () => void,
  ) {}

  async order(order: EngineOrder): Promise<OrderOutcome> {
    const { engine, random, isOther } = this.way.options;
    const answer = await this.call(() => engine.take(order));
    if (answer !== undefined && answer !== OrderOutcome.Unreachable && isOther())
      return random.pick(OTHER_ANSWERS);
    if (typeof answer === 'string') return answer;
    // The body of a report is no answer to an order.
    this.close();
    return OrderOutcome.Unknown;
  }

  async report(): Promise<EngineReport> {
    const answer = await this.call(() => this.way.options.engine.report());
    if (typeof answer === 'object') return answer;
    this.close();
    throw new Error('No report.');
  }

  close(): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.onClosed();
  }

  /** Makes a call when the ones before have ended; undefined when there is no answer. */
  private call(answer: () => Answer): Promise<Answer | undefined> {
    const answered = this.turn.then(() => this.callNow(answer));
    this.turn = answered;
    return answered;
  }

  private async callNow(answer: () => Answer): Promise<Answer | undefined> {
    const { engine, timers } = this.way.options;
    if (!this.isOpen) return OrderOutcome.Unreachable;
    const fate = engine.isDown || this.hasLostEngine ? Fate.NoConnection : this.draw();
    if (fate === Fate.NoConnection) return this.noConnection();
    this.life ??= engine.life;
    await timers.sleep(fate === Fate.SlowCall ? this.long() : this.short());
    if (fate === Fate.ResetBefore) return this.broken();
    if (fate === Fate.Lost || this.hasLostEngine) return this.silence();
    const read = this.pass(answer());
    if (this.way.hasEnded || fate === Fate.AnswerLost || this.hasLostEngine) return this.silence();
    await timers.sleep(fate === Fate.SlowAnswer ? this.long() : this.short());
    return fate === Fate.ResetAfter ? this.broken() : read;
  }

  /** Whether the process that it was set up with has ended. */
  private get hasLostEngine(): boolean {
    const { engine } = this.way.options;
    return engine.isDown || (this.life !== undefined && this.life !== engine.life);
  }

  /** Takes the engine's answer to a call, and hands out the one that is read in its place. */
  private pass(answer: Answer): Answer {
    this.unread.push(answer);
    const read = this.unread.shift()!;
    if (this.way.options.isTwice()) this.unread.push(answer);
    return read;
  }

  private broken(): undefined {
    this.close();
  }

  private async noConnection(): Promise<OrderOutcome.Unreachable> {
    const { random, timers } = this.way.options;
    await timers.sleep(random.chance(0.5) ? this.short() : CONNECT_LIMIT_MS);
    this.close();
    return OrderOutcome.Unreachable;
  }

  private async silence(): Promise<undefined> {
    await this.way.options.timers.sleep(CALL_LIMIT_MS);
    this.close();
  }

  private draw(): Fate {
    const { random, trouble } = this.way.options;
    return random.chance(trouble()) ? random.pick(TROUBLES) : Fate.Ordinary;
  }

  private short(): number {
    return this.way.options.random.between(0, ORDINARY_MS);
  }

  /** Both ways together stay below the time for which a call is waited. */
  private long(): number {
    return this.way.options.random.between(ORDINARY_MS, CALL_LIMIT_MS - 2 * ORDINARY_MS);
  }
}
