/** One daemon's share of a caller's limits: a token bucket and a number of places. */
import type { TimerService } from '@celeryyoke/core';

const MS_PER_SECOND = 1000;
const BURST_SECONDS = 0.25;
const DEFAULT_HOLD_MS = 1000;
const SMOOTHING = 0.2;
const TOKEN_EPSILON = 1e-9;

/** Which limit stands in the way. */
export enum LimitKind {
  Rate = 'rate',
  Concurrency = 'concurrency',
}

/** A request that found no room. */
export interface LimitRefusal {
  readonly kind: LimitKind;
  /** Time after which there should be room, in milliseconds. */
  readonly retryAfterMs: number;
}

/**
 * Computes how many requests may come at once under a rate.
 * @param rate - Requests a second.
 * @returns The size of the token bucket.
 */
export function burstOf(rate: number): number {
  return rate <= 0 ? 0 : Math.max(1, rate * BURST_SECONDS);
}

/** A share of a caller's limits. */
export class LimitShare {
  private rateHeld = 0;

  private placesHeld = 0;

  private tokens = 0;

  private filledAt: number;

  private running = 0;

  private holdMs = DEFAULT_HOLD_MS;

  constructor(private readonly timers: TimerService) {
    this.filledAt = timers.now();
  }

  /** Requests a second. */
  get rate(): number {
    return this.rateHeld;
  }

  /** Requests at once. */
  get places(): number {
    return this.placesHeld;
  }

  /** Requests that run now. */
  get inUse(): number {
    return this.running;
  }

  /** Sets the share; tokens that no longer fit are lost, and new ones must be given along. */
  resize(rate: number, places: number, tokens: number): void {
    this.fill();
    this.rateHeld = rate;
    this.placesHeld = places;
    this.tokens = Math.min(burstOf(rate), this.tokens + tokens);
  }

  /** Takes a token and a place, or tells what is missing. */
  take(): LimitRefusal | undefined {
    this.fill();
    if (this.running >= this.placesHeld) {
      return { kind: LimitKind.Concurrency, retryAfterMs: this.holdMs / Math.max(1, this.running) };
    }
    if (this.tokens < 1 - TOKEN_EPSILON) return { kind: LimitKind.Rate, retryAfterMs: this.nextTokenMs() };
    this.tokens -= 1;
    this.running += 1;
    return undefined;
  }

  /** Gives a place back after a time. */
  release(heldMs: number): void {
    this.running -= 1;
    this.holdMs += (heldMs - this.holdMs) * SMOOTHING;
  }

  private nextTokenMs(): number {
    if (this.rateHeld <= 0) return MS_PER_SECOND;
    return ((1 - this.tokens) / this.rateHeld) * MS_PER_SECOND;
  }

  private fill(): void {
    const now = this.timers.now();
    const gained = ((now - this.filledAt) / MS_PER_SECOND) * this.rateHeld;
    this.filledAt = now;
    this.tokens = Math.min(burstOf(this.rateHeld), this.tokens + gained);
  }
}
