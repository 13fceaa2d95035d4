/** What is known of one upstream, and how reports change it. */
import type { Log, TimerService } from '@celeryyoke/core';

import { HealthState } from './types.js';

const MAX_PAUSE_FACTOR = 16;
const SMALLEST_WEIGHT = 0.05;

/** Bounds by which an upstream is judged. */
export interface HealthBounds {
  readonly failures: number;
  readonly successes: number;
  readonly pauseMs: number;
  readonly slowStartMs: number;
  /** Whether only probes make an unhealthy upstream healthy. */
  readonly probed: boolean;
}

/** Health of one upstream. */
export class HealthRecord {
  private failuresInRow = 0;

  private successesInRow = 0;

  private unhealthy = false;

  private pauseUntil = 0;

  private pauses = 0;

  private slowSince = -Infinity;

  constructor(
    readonly name: string,
    private readonly bounds: HealthBounds,
    private readonly timers: TimerService,
    private readonly log: Log,
  ) {}

  /** State at this moment. */
  state(): HealthState {
    return this.unhealthy ? HealthState.Unhealthy : HealthState.Healthy;
  }

  /** Whether new work may go there: healthy, or its pause is over and a request may serve as the probe. */
  usable(): boolean {
    return !this.unhealthy || (!this.bounds.probed && this.timers.now() >= this.pauseUntil);
  }

  /** Share of its usual work. */
  weight(): number {
    const { slowStartMs } = this.bounds;
    if (slowStartMs === 0) return 1;
    const share = (this.timers.now() - this.slowSince) / slowStartMs;
    return Math.min(1, Math.max(SMALLEST_WEIGHT, share));
  }

  /** Takes in a success; a passive one never overrules probes. */
  succeed(byProbe: boolean): void {
    this.failuresInRow = 0;
    if (!this.unhealthy) return;
    if (this.bounds.probed && !byProbe) return;
    this.successesInRow += 1;
    if (this.successesInRow < this.bounds.successes) return;
    this.unhealthy = false;
    this.pauses = 0;
    this.startSlowly();
    this.log.info(`Upstream ${this.name} is healthy again.`);
  }

  /** Takes in a failure. */
  fail(): void {
    this.successesInRow = 0;
    this.failuresInRow += 1;
    if (this.unhealthy) {
      if (this.timers.now() >= this.pauseUntil) this.extendPause();
      return;
    }
    if (this.failuresInRow < this.bounds.failures) return;
    this.unhealthy = true;
    this.extendPause();
    this.log.warn(`Upstream ${this.name} is unhealthy after ${this.failuresInRow} failures in a row.`);
  }

  /** Begins the slow start. */
  startSlowly(): void {
    this.slowSince = this.timers.now();
  }

  private extendPause(): void {
    const factor = Math.min(MAX_PAUSE_FACTOR, 2 ** this.pauses);
    this.pauses += 1;
    this.pauseUntil = this.timers.now() + this.bounds.pauseMs * factor;
  }
}
