/**
 * Where a caller's stream stands, over all the upstream streams that feed it.
 *
 * An engine that can resume numbers its tokens from 0 by the `id` of the event. So a token that comes twice is
 * known and left out, one that is missing is noticed, and another stream can go on with the right one.
 */
import { NO_ID } from '@celeryyoke/core';

/** What becomes of an event. */
export enum Verdict {
  Pass = 'pass',
  /** The caller has it already. */
  Drop = 'drop',
  /** Events before it are missing. */
  Gap = 'gap',
}

/** The position of one caller's stream. */
export class StreamPosition {
  /** Number of the next token, which is how many the caller has. */
  next = 0;

  /** Data events without a number that the caller got since its last token. */
  private extras = 0;

  /** Events without a number that the current stream repeats. */
  private repeats = 0;

  /** All data events that the caller has. */
  events = 0;

  /** Whether another stream can go on where this one broke, or begin anew as the caller has nothing. */
  get canGoOn(): boolean {
    return this.next > 0 || this.events === 0;
  }

  /** Notes that another upstream stream begins at the next token. */
  restart(): void {
    this.repeats = this.extras;
  }

  /**
   * Decides about a data event.
   * @param id - Its number.
   * @returns What becomes of it.
   */
  judge(id: number): Verdict {
    if (id === NO_ID) return this.judgeExtra();
    if (id < this.next) return Verdict.Drop;
    if (id > this.next) return Verdict.Gap;
    this.next += 1;
    this.events += 1;
    this.extras = 0;
    this.repeats = 0;
    return Verdict.Pass;
  }

  private judgeExtra(): Verdict {
    if (this.repeats > 0) {
      this.repeats -= 1;
      return Verdict.Drop;
    }
    this.extras += 1;
    this.events += 1;
    return Verdict.Pass;
  }
}
