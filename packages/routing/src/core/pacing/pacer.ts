/**
 * Spaces out the prompts of one engine.
 *
 * An engine reads prompts in pieces between the tokens of all its streams, so prompts that come together stretch every
 * pause of every stream there: 10,000 tokens at once made up to 19 streams late, while each of these prompts had half a
 * second to spare. So no more is sent within the longest pause than the engine reads in a part of it.
 */
import { ReadingRate } from './reading-rate.js';
import type { AdmissionRequest } from './types.js';

/** What the pacer looks at of a request for admission. */
type PacedPrompt = Pick<AdmissionRequest, 'tokens' | 'maxPauseMs' | 'patienceMs' | 'readings'>;

/**
 * Part of the longest pause that may go to reading; the rest is for the tokens of the streams themselves and for what is
 * known late.
 */
const READING_SHARE = 0.85;
/** Time over which it is measured how much of an engine's time goes to reading, in milliseconds. */
const USE_MS = 2000;

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

  /** Reading that was asked for of late, in milliseconds, fading over {@link USE_MS}. */
  private readingMs = 0;

  private askedAt = 0;

  /**
   * Makes one that has sent nothing.
   * @param guess - Milliseconds for a token before enough is known of this engine.
   */
  constructor(guess: () => number) {
    this.rate = new ReadingRate(guess);
  }

  /**
   * Gives a prompt its time.
   * @param prompt - The prompt and its bounds.
   * @param now - Monotonic milliseconds.
   * @returns How long to hold it back, in milliseconds.
   */
  delayMs({ tokens, maxPauseMs, patienceMs, readings }: PacedPrompt, now: number): number {
    for (const reading of readings) this.rate.note(reading);
    this.recent = this.recent.filter(({ at }) => at > now - maxPauseMs);
    const most = (maxPauseMs * READING_SHARE) / this.rate.msPerToken;
    const longestMs = patienceMs * this.slack(tokens, now);
    const at = Math.min(this.earliest(tokens, most, maxPauseMs, now), now + longestMs);
    this.insert({ at, tokens });
    return at - now;
  }

  /**
   * How much of its patience a prompt is to use, from 0 to 1. A burst drains while it is held back; where prompts come
   * about as fast as they can be read, it never does, and all would be late by their waits. With full patience whatever
   * comes, sites under such load earned 0.04 to 0.05 less than without any spacing.
   */
  private slack(tokens: number, now: number): number {
    this.readingMs *= Math.exp((this.askedAt - now) / USE_MS);
    this.askedAt = now;
    const use = this.readingMs / USE_MS;
    this.readingMs += tokens * this.rate.msPerToken;
    return Math.max(0, 1 - use / READING_SHARE);
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
