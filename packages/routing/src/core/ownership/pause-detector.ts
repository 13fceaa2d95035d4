/**
 * Detects that the process or its machine was paused, so that nothing acts on state from before the pause.
 */
import type { TimerHandle, TimerService } from '@celeryyoke/core';

/** How often the clocks are compared, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/**
 * Gap between two checks that counts as a pause, in milliseconds; garbage collection and start-up stay below
 * it.
 */
const PAUSE_THRESHOLD_MS = 350;
/**
 * Time after a pause in which messages from peers are expected to arrive again, in milliseconds; longer than
 * the interval of heartbeats.
 */
const RECOVERY_MS = 500;

/**
 * Compares the time between its checks on two clocks: the monotonic clock, and the time of day, which goes on
 * while the machine is suspended.
 */
export class PauseDetector {
  private lastAt: number;

  private lastWall: number;

  /** Monotonic time at which the recovery from the last pause ends, in milliseconds. */
  private recoveredAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time at which the last pause was detected, in milliseconds. */
  private pausedUntil = Number.NEGATIVE_INFINITY;

  /** Monotonic time at which the last suspension was detected, in milliseconds. */
  private suspendedUntil = Number.NEGATIVE_INFINITY;

  private longestDelayMs = 0;

  private checkTimer: TimerHandle | undefined;

  /**
   * Creates a detector; {@link PauseDetector.start} begins the checks.
   * @param timers - Clocks that are compared, and the timer of the checks.
   * @param onPause - Called with the length of a pause in milliseconds.
   */
  constructor(
    private readonly timers: TimerService,
    private readonly onPause: (ms: number) => void,
  ) {
    this.lastAt = timers.now();
    this.lastWall = timers.wall();
  }

  /**
   * Whether a pause ended so recently that the state of the fleet may still be out of date. Compares the
   * clocks first, so that a pause since the last check counts.
   */
  get isRecovering(): boolean {
    this.check();
    return this.timers.now() < this.recoveredAt;
  }

  /**
   * Monotonic time at which the last pause ended, in milliseconds: what was read before then may be older than the
   * monotonic clock shows. Compares the clocks first.
   */
  get resumedAt(): number {
    this.check();
    return this.pausedUntil;
  }

  /**
   * Monotonic time at which the last suspension ended, in milliseconds: the monotonic clock stood still during it.
   * Compares the clocks first. A step of the time of day counts as a suspension.
   */
  get suspensionEndedAt(): number {
    this.check();
    return this.suspendedUntil;
  }

  /**
   * Returns the longest delay of a check since the last call of this method, and resets it.
   * @returns The delay in milliseconds, whether from a busy event loop or from a pause.
   */
  takeLongestDelayMs(): number {
    const { longestDelayMs } = this;
    this.longestDelayMs = 0;
    return longestDelayMs;
  }

  start(): void {
    this.checkTimer = this.timers.repeat(CHECK_INTERVAL_MS, () => this.check());
  }

  stop(): void {
    this.checkTimer?.cancel();
  }

  private check(): void {
    const now = this.timers.now();
    const wall = this.timers.wall();
    const wallGap = wall - this.lastWall;
    const gap = Math.max(now - this.lastAt, wallGap);
    if (wallGap - (now - this.lastAt) >= PAUSE_THRESHOLD_MS) this.suspendedUntil = now;
    this.lastAt = now;
    this.lastWall = wall;
    this.longestDelayMs = Math.max(this.longestDelayMs, gap - CHECK_INTERVAL_MS);
    if (gap < PAUSE_THRESHOLD_MS) return;
    this.pausedUntil = now;
    this.recoveredAt = now + RECOVERY_MS;
    this.onPause(gap);
  }
}
