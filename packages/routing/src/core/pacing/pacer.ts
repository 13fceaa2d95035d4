/**
 * Spaces out the prompts of one engine.
 *
 * An engine reads prompts in pieces between the tokens of all its streams, so prompts that come together stretch every
 * pause of every stream there: 10,000 tokens at once made up to 19 streams late, while each of these prompts had half a
 * second to spare. So no more is sent within the longest pause than the engine reads in a part of it.
 */
import { ReadingRate } from './reading-rate.js';
import type { PromptTurn } from './types.js';

/**
 * Part of the longest pause that may go to reading; the rest is for the tokens of the streams themselves and for what is
 * known late.
 */
const READING_SHARE = 0.7;

interface Sent {
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly tokens: number;
}

/** The prompts of one engine. */
export class PromptPacer {
  /** Prompts sent or promised within the longest pause, in the order of their times. */
  private recent: Sent[] = [];

  private readonly rate: ReadingRate;

  /**
   * Makes one that has sent nothing.
   * @param guess - Milliseconds for a token before enough is known of this engine.
   */
  constructor(guess: () => number) {
    this.rate = new ReadingRate(guess);
  }

  /**
   * Gives a prompt its time.
   * @param turn - The prompt and its bounds.
   * @param now - Monotonic milliseconds.
   * @returns How long to hold it back, in milliseconds.
   */
  delayMs({ tokens, maxPauseMs, patienceMs, readings }: PromptTurn, now: number): number {
    for (const reading of readings) this.rate.note(reading);
    this.recent = this.recent.filter(({ at }) => at > now - maxPauseMs);
    const most = (maxPauseMs * READING_SHARE) / this.rate.msPerToken;
    const at = Math.min(this.earliest(tokens, most, maxPauseMs, now), now + patienceMs);
    this.insert({ at, tokens });
    return at - now;
  }

  /** The first moment at which a prompt fits behind those before it; a large one goes when it is alone. */
  private earliest(tokens: number, most: number, windowMs: number, now: number): number {
    let room = most - tokens;
    for (let index = this.recent.length - 1; index >= 0; index -= 1) {
      const { at, tokens: sent } = this.recent[index]!;
      room -= sent;
      if (room < 0) return Math.max(now, at + windowMs, this.recent.at(-1)!.at);
    }
    return Math.max(now, this.recent.at(-1)?.at ?? now);
  }

  private insert(sent: Sent): void {
    let index = this.recent.length;
    while (index > 0 && this.recent[index - 1]!.at > sent.at) index -= 1;
    this.recent.splice(index, 0, sent);
  }
}
