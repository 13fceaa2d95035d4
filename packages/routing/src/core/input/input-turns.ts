/** Shares each turn of the event loop between the connections whose bytes are parsed. */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

/** Least time for parsing in a turn, in milliseconds; sockets are read and connections accepted between two turns. */
const TURN_MS = 2;
/** Time of one connection in a turn, before others that wait, in milliseconds. */
const SHARE_MS = 0.5;
/** Largest number of bytes parsed in a share that counts as slow; requests in ordinary chunks get through more. */
const SLOW_SHARE_BYTES = 4096;
/** Number of slow shares from which on what a connection holds is slow to parse; a stall of the process makes one slow. */
const SLOW_SHARES = 4;
/** Largest number of connections that hold what is slow to parse; it is parsed also after their callers have left. */
const MAX_SLOW = 16;

/** Input of one connection. */
export interface TurnTaker {
  /** Number of bytes that are to be parsed. */
  readonly heldBytes: number;
  /**
   * Parses until there is nothing to parse or the time is over.
   * @param endAt - Monotonic time, in milliseconds.
   * @returns Whether there is more to parse.
   */
  parseUntil(endAt: number): boolean;
  /** Closes the connection. */
  abort(): void;
}

/** Decides which connections are parsed when. */
export class InputTurns {
  /** Inputs that have not been parsed since they last had nothing to parse. */
  private readonly fresh = new Set<TurnTaker>();

  /** Inputs that have used their share of a turn. */
  private readonly continued = new Set<TurnTaker>();

  /** Number of slow shares that each has used, until it has nothing to parse. */
  private readonly slowShares = new Map<TurnTaker, number>();

  /** Inputs that are slow to parse, in the order in which they became so. */
  private readonly slow = new Set<TurnTaker>();

  /** Whether the next input is one that has used a share, also where a turn had time for one input only. */
  private isContinuedNext = false;

  /** Monotonic time at which the time of this turn is used up, in milliseconds; undefined while nothing is parsed. */
  private endAt: number | undefined;

  /** Monotonic time at which the next turn was scheduled, in milliseconds. */
  private scheduledAt = 0;

  constructor(
    private readonly timers: Pick<TimerService, 'now'>,
    private readonly log: Pick<DecisionLog, 'debug'>,
  ) {}

  /** Parses an input: at once while this turn has time for it, or else in a later turn. */
  request(input: TurnTaker): void {
    if (this.fresh.has(input) || this.continued.has(input)) return;
    const now = this.timers.now();
    if (this.endAt === undefined) {
      this.endAt = now + TURN_MS;
      this.schedule();
    }
    const isFree = this.fresh.size + this.continued.size === 0;
    if (isFree && now < this.endAt) this.parse(input, now);
    else this.fresh.add(input);
  }

  /** Monotonic time, in milliseconds. */
  now(): number {
    return this.timers.now();
  }

  /** Takes back a request. */
  cancel(input: TurnTaker): void {
    this.fresh.delete(input);
    this.continued.delete(input);
    this.finish(input);
  }

  private finish(input: TurnTaker): void {
    this.slowShares.delete(input);
    this.slow.delete(input);
  }

  private schedule(): void {
    this.scheduledAt = this.timers.now();
    setImmediate(() => this.takeTurn());
  }

  private takeTurn(): void {
    this.endAt = undefined;
    if (this.fresh.size + this.continued.size === 0) return;
    let now = this.timers.now();
    // Inputs get half of a long turn, so that they do not pile up beside other work.
    this.endAt = now + Math.max(TURN_MS, now - this.scheduledAt);
    for (const input of this.inTurn()) {
      this.parse(input, now);
      now = this.timers.now();
      if (now >= this.endAt) break;
    }
    this.schedule();
  }

  /** Takes inputs out: fresh ones and those that go on by turns, so that neither keep the others waiting. */
  private *inTurn(): Generator<TurnTaker> {
    while (this.fresh.size + this.continued.size > 0) {
      const inputs = this.isContinuedNext ? this.continued : this.fresh;
      this.isContinuedNext = !this.isContinuedNext;
      const [input] = inputs;
      if (input === undefined) continue;
      inputs.delete(input);
      yield input;
    }
  }

  private parse(input: TurnTaker, now: number): void {
    const { heldBytes } = input;
    if (!input.parseUntil(Math.min(this.endAt!, now + SHARE_MS))) {
      this.finish(input);
      return;
    }
    this.continued.add(input);
    if (heldBytes - input.heldBytes <= SLOW_SHARE_BYTES) this.countSlowShare(input);
  }

  private countSlowShare(input: TurnTaker): void {
    const count = (this.slowShares.get(input) ?? 0) + 1;
    this.slowShares.set(input, count);
    if (count < SLOW_SHARES) return;
    this.slow.add(input);
    if (this.slow.size > MAX_SLOW) this.abortOldest();
  }

  private abortOldest(): void {
    const [oldest] = this.slow;
    if (oldest === undefined) return;
    this.cancel(oldest);
    oldest.abort();
    this.log.debug(`A connection is closed: ${MAX_SLOW} others have sent more that is slow to parse.`);
  }
}
