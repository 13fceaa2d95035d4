/** Measures how many requests of a caller come to this daemon, let in or not. */
import type { TimerService } from '@celeryyoke/core';

const MS_PER_SECOND = 1000;
const SMOOTHING = 0.5;
/** Requests a second that are counted while requests come now and then. */
const TRACE_RATE = 0.01;

/** Demand of one caller at one daemon. */
export class DemandMeter {
  private smoothRate = 0;

  private smoothPlaces = 0;

  private arrived = 0;

  private refused = 0;

  private peak = 0;

  private begunAt: number;

  private arrivedAt: number;

  /**
   * Makes a meter.
   * @param timers - Time.
   * @param idleAfterMs - Time without requests after which there is no demand.
   */
  constructor(
    private readonly timers: TimerService,
    private readonly idleAfterMs: number,
  ) {
    this.begunAt = timers.now();
    this.arrivedAt = this.begunAt;
  }

  /** Requests a second. */
  get rate(): number {
    return this.isIdle ? 0 : Math.max(this.smoothRate, Math.min(1, this.arrived), TRACE_RATE);
  }

  /** Requests at once. */
  get places(): number {
    return this.isIdle ? 0 : Math.max(this.smoothPlaces, this.peak + this.refused, 1);
  }

  /** Whether no request has come for long. */
  get isIdle(): boolean {
    return this.timers.now() - this.arrivedAt > this.idleAfterMs;
  }

  /** Counts a request. */
  arrive(): void {
    this.arrived += 1;
    this.arrivedAt = this.timers.now();
  }

  /** Counts a request that found no place. */
  refuse(): void {
    this.refused += 1;
  }

  /** Notes how many run now. */
  observe(inUse: number): void {
    this.peak = Math.max(this.peak, inUse);
  }

  /** Ends a stretch of measuring. */
  roll(inUse: number): void {
    const now = this.timers.now();
    const elapsed = now - this.begunAt;
    if (elapsed <= 0) return;
    const rate = (this.arrived / elapsed) * MS_PER_SECOND;
    this.smoothRate = smooth(this.smoothRate, rate);
    this.smoothPlaces = smooth(this.smoothPlaces, this.peak + this.refused);
    this.begunAt = now;
    this.arrived = 0;
    this.refused = 0;
    this.peak = inUse;
  }
}

function smooth(before: number, now: number): number {
  return before + (now - before) * SMOOTHING;
}
