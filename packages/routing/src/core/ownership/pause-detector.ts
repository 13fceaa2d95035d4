/** Notices that the process or its machine stood still, so that nothing acts on what it believed before. */
import type { TimerHandle, TimerService } from '@celeryyoke/core';

/** How often the clocks are compared, in milliseconds. */
const LOOK_MS = 100;
/** Gap that counts as a pause, in milliseconds; garbage collection and start-up stay below it. */
const PAUSE_MS = 350;
/** Time after a pause until peers have been heard again, in milliseconds: two heartbeats. */
const RECOVERY_MS = 500;

/** Compares the monotonic clock with its own ticks and with the time of day, which goes on in a suspended machine. */
export class PauseDetector {
  private lastAt: number;

  private lastWall: number;

  private clearAt = Number.NEGATIVE_INFINITY;

  private longestDelay = 0;

  private handle: TimerHandle | undefined;

  /**
   * Makes a watch that has not started.
   * @param timers - Time.
   * @param onPause - Called with the length of a pause in milliseconds.
   */
  constructor(
    private readonly timers: TimerService,
    private readonly onPause: (ms: number) => void,
  ) {
    this.lastAt = timers.now();
    this.lastWall = timers.wall();
  }

  /** Whether a pause ended so recently that beliefs are not renewed yet; looks at the clocks itself. */
  get isRecovering(): boolean {
    this.look();
    return this.timers.now() < this.clearAt;
  }

  /**
   * Tells the longest delay of the event loop since the last question.
   * @returns Milliseconds.
   */
  takeLongestDelay(): number {
    const { longestDelay } = this;
    this.longestDelay = 0;
    return longestDelay;
  }

  /** Starts to compare. */
  start(): void {
    this.handle = this.timers.repeat(LOOK_MS, () => this.look());
  }

  /** Stops. */
  stop(): void {
    this.handle?.cancel();
  }

  private look(): void {
    const now = this.timers.now();
    const wall = this.timers.wall();
    const gap = Math.max(now - this.lastAt, wall - this.lastWall);
    this.lastAt = now;
    this.lastWall = wall;
    this.longestDelay = Math.max(this.longestDelay, gap - LOOK_MS);
    if (gap < PAUSE_MS) return;
    this.clearAt = now + RECOVERY_MS;
    this.onPause(gap);
  }
}
