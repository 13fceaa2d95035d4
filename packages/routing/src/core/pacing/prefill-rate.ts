/** Estimates how long engines take to prefill a token, from the first events of their responses. */

import type { PrefillSample } from './types.js';

/** Factor by which each new sample reduces the weight of the earlier ones: about the last hundred count. */
const SAMPLE_DECAY = 0.99;
/** Total weight of the samples from which on the estimate replaces the initial value. */
const MIN_WEIGHT = 20;
/** Longest time to a first event that is used; a longer one shows a queue rather than prefill. */
const MAX_SAMPLE_MS = 1000;
/** Bounds of the estimate. */
const MIN_MS_PER_TOKEN = 0.004;
const MAX_MS_PER_TOKEN = 0.4;

/**
 * Least-squares slope of the time to the first event over the length of the prompt, with decaying weights.
 * Delays that do not depend on the length (queue, network, cached parts of prompts) shift the line but not
 * its slope.
 */
export class PrefillRate {
  private weight = 0;

  private sumTokens = 0;

  private sumMs = 0;

  private sumSquares = 0;

  private sumProducts = 0;

  /**
   * @param initialMsPerToken - Returns the estimate to use until there are enough samples, in milliseconds.
   */
  constructor(private readonly initialMsPerToken: () => number) {}

  /** Adds a sample; one above {@link MAX_SAMPLE_MS} is ignored. */
  addSample({ tokens, ms }: PrefillSample): void {
    if (tokens <= 0 || ms > MAX_SAMPLE_MS) return;
    this.weight = this.weight * SAMPLE_DECAY + 1;
    this.sumTokens = this.sumTokens * SAMPLE_DECAY + tokens;
    this.sumMs = this.sumMs * SAMPLE_DECAY + ms;
    this.sumSquares = this.sumSquares * SAMPLE_DECAY + tokens * tokens;
    this.sumProducts = this.sumProducts * SAMPLE_DECAY + tokens * ms;
  }

  /** Estimated prefill time of a token, in milliseconds. */
  get msPerToken(): number {
    const spread = this.weight * this.sumSquares - this.sumTokens * this.sumTokens;
    if (this.weight < MIN_WEIGHT || spread <= 0) return this.initialMsPerToken();
    const slope = (this.weight * this.sumProducts - this.sumTokens * this.sumMs) / spread;
    return Math.min(MAX_MS_PER_TOKEN, Math.max(MIN_MS_PER_TOKEN, slope));
  }
}
