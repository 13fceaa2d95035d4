/**
 * Spaces the prompts that are sent to one engine.
 *
 * An engine prefills in chunks between the tokens of all its streams, so prompts that arrive together widen
 * every gap of every stream there, while each of these prompts could wait. So within the longest allowed gap, no more tokens are sent than the
 * engine prefills in a share of that time.
 */
import { PrefillRate } from './prefill-rate.js';
import type { AdmissionRequest, Prompt } from './types.js';

/** The fields of an admission request that the pacer reads. */
type PacedPrompt = Prompt & Pick<AdmissionRequest, 'prefillSamples'>;

/**
 * Share of the longest allowed gap that may go to prefill. The rest is for the streams' own tokens and for
 * what is reported to the owner late.
 */
const PREFILL_SHARE = 0.85;
/** Time constant with which the engine's prefill load decays. */
const USE_DECAY_MS = 2000;

interface ScheduledPrompt {
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly tokens: number;
}

/** Computes the delay of each prompt for one engine. */
export class PromptPacer {
  /** Prompts that start within the longest allowed gap or later, in the order of their times. */
  private scheduled: ScheduledPrompt[] = [];

  private readonly rate: PrefillRate;

  /** Prefill that was requested, in milliseconds, decaying over {@link USE_DECAY_MS}. */
  private prefillMs = 0;

  private lastRequestAt = 0;

  /**
   * @param initialMsPerToken - Prefill time of a token until enough is measured on this engine.
   */
  constructor(initialMsPerToken: () => number) {
    this.rate = new PrefillRate(initialMsPerToken);
  }

  /**
   * Schedules a prompt. Its prefill widens one gap of each running stream, so its caller waits no longer for that than
   * the callers of these streams would together.
   * @param running - Streams on the engine, this one included.
   * @param now - Monotonic milliseconds.
   * @returns Time for which the sender must delay it, in milliseconds.
   */
  delayMs(
    { tokens, maxGapMs: gapLimitMs, maxDelayMs, prefillSamples }: PacedPrompt,
    running: number,
    now: number,
  ): number {
    for (const sample of prefillSamples) this.rate.addSample(sample);
    this.scheduled = this.scheduled.filter(({ at }) => at > now - gapLimitMs);
    const maxTokens = (gapLimitMs * PREFILL_SHARE) / this.rate.msPerToken;
    const savedMs = tokens * this.rate.msPerToken * running;
    const allowedDelayMs = Math.min(maxDelayMs, savedMs) * this.delayShare(tokens, now);
    const at = Math.min(this.earliestStart(tokens, maxTokens, gapLimitMs, now), now + allowedDelayMs);
    this.insert({ at, tokens });
    return at - now;
  }

  /**
   * Returns the share, from 0 to 1, of its longest delay that a prompt may be delayed. Delays flatten a
   * burst, but where prompts arrive about as fast as the engine prefills, the backlog never drains, and every
   * caller would wait for its delay while no stream has shorter gaps.
   */
  private delayShare(tokens: number, now: number): number {
    this.prefillMs *= Math.exp((this.lastRequestAt - now) / USE_DECAY_MS);
    this.lastRequestAt = now;
    const use = this.prefillMs / USE_DECAY_MS;
    this.prefillMs += tokens * this.rate.msPerToken;
    return Math.max(0, 1 - use / PREFILL_SHARE);
  }

  /** Returns the earliest time at which a prompt fits behind the scheduled ones; a large one goes alone. */
  private earliestStart(tokens: number, maxTokens: number, windowMs: number, now: number): number {
    let remaining = maxTokens - tokens;
    for (let index = this.scheduled.length - 1; index >= 0; index -= 1) {
      const { at, tokens: scheduledTokens } = this.scheduled[index]!;
      remaining -= scheduledTokens;
      if (remaining < 0) return Math.max(now, at + windowMs, this.scheduled.at(-1)!.at);
    }
    return Math.max(now, this.scheduled.at(-1)?.at ?? now);
  }

  private insert(prompt: ScheduledPrompt): void {
    let index = this.scheduled.length;
    while (index > 0 && this.scheduled[index - 1]!.at > prompt.at) index -= 1;
    this.scheduled.splice(index, 0, prompt);
  }
}
