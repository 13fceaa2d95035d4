/** Detects that the process was paused, for example by a suspended machine. */
import type { TimerHandle, TimerService } from '@celeryyoke/core';

import type { Moment } from './clocks.js';
import { elapsedSince, readClocks } from './clocks.js';

/** Options of the detector. */
export interface PauseDetectorOptions {
  readonly timers: TimerService;
  readonly tickMs: number;
  readonly pauseMs: number;
  /** Called once for each pause, with its approximate length in milliseconds. */
  readonly onPause: (ms: number) => void;
}

/**
 * Compares the clocks with their readings at the last tick, at each tick and at each call, so that a call
 * detects a pause even before the next tick.
 */
export class PauseDetector {
  private lastTick: Moment;

  private pauseDetectedAt: number | undefined;

  private readonly tick: TimerHandle;

  constructor(private readonly options: PauseDetectorOptions) {
    this.lastTick = readClocks(options.timers);
    this.tick = options.timers.repeat(options.tickMs, () => {
      this.detectPause();
      this.lastTick = readClocks(options.timers);
    });
  }

  /** Whether there was a pause since which the view has not been confirmed; checks the clocks first. */
  needsConfirmation(): boolean {
    this.detectPause();
    return this.pauseDetectedAt !== undefined;
  }

  /**
   * Records that the view was read again or confirmed by peers. Does nothing if the read or the
   * confirmation was started before the last pause was detected.
   * @param startedAt - Monotonic time in milliseconds when it was started.
   */
  recordConfirmation(startedAt: number): void {
    this.detectPause();
    if (this.pauseDetectedAt !== undefined && startedAt >= this.pauseDetectedAt)
      this.pauseDetectedAt = undefined;
  }

  /** Stops the regular checks. */
  stop(): void {
    this.tick.cancel();
  }

  private detectPause(): void {
    const { timers, tickMs, pauseMs, onPause } = this.options;
    const elapsed = elapsedSince(this.lastTick, timers);
    if (elapsed <= tickMs + pauseMs) return;
    this.lastTick = readClocks(timers);
    this.pauseDetectedAt = this.lastTick.now;
    onPause(elapsed);
  }
}
