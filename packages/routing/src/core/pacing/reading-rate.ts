/** How long engines take to read a token of a prompt, learnt from the first events of their answers. */

import type { Reading } from './types.js';

/** What is left of a measurement's weight with each later one: about the last hundred count. */
const FADE = 0.99;
/** Measurements, by weight, from which the guess is replaced. */
const LEAST_WEIGHT = 20;
/** Time to a first event above which it tells of a queue rather than of reading, in milliseconds. */
const MAX_SAMPLE_MS = 1000;
/** Bounds of what is believed, in milliseconds for a token. */
const LEAST_MS = 0.004;
const MOST_MS = 0.4;

/**
 * The slope of the time to the first event over the prompt's length, by least squares with fading weights. What does not
 * depend on the length (a queue, the way, parts that are kept) moves the line and not its slope.
 */
export class ReadingRate {
  private weight = 0;

  private sumTokens = 0;

  private sumMs = 0;

  private sumSquares = 0;

  private sumProducts = 0;

  /**
   * Makes one that has measured nothing.
   * @param guess - Milliseconds for a token before enough is measured.
   */
  constructor(private readonly guess: () => number) {}

  /**
   * Takes a measurement.
   * @param reading - A prompt and its first event.
   */
  note({ tokens, ms }: Reading): void {
    if (tokens <= 0 || ms > MAX_SAMPLE_MS) return;
    this.weight = this.weight * FADE + 1;
    this.sumTokens = this.sumTokens * FADE + tokens;
    this.sumMs = this.sumMs * FADE + ms;
    this.sumSquares = this.sumSquares * FADE + tokens * tokens;
    this.sumProducts = this.sumProducts * FADE + tokens * ms;
  }

  /** Milliseconds for a token. */
  get msPerToken(): number {
    const spread = this.weight * this.sumSquares - this.sumTokens * this.sumTokens;
    if (this.weight < LEAST_WEIGHT || spread <= 0) return this.guess();
    const slope = (this.weight * this.sumProducts - this.sumTokens * this.sumMs) / spread;
    return Math.min(MOST_MS, Math.max(LEAST_MS, slope));
  }
}
