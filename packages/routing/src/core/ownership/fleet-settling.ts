/** Determines when a daemon that has started knows the fleet well enough to decide what is assigned to it. */
import type { TimerService } from '@celeryyoke/core';

/** Shortest time after the start, in milliseconds; connections to the seeds are established by then. */
const MIN_SETTLE_MS = 350;
/** Time for which the set of living daemons must not have changed, in milliseconds; connecting takes less. */
const STABLE_MEMBERSHIP_MS = 200;
/**
 * Shortest time after the start for a daemon that has met no other, in milliseconds. Daemons that are started
 * together are up within half a second of each other, and each that decides alone invalidates the decisions
 * of the others.
 */
const ALONE_SETTLE_MS = 1000;
/** Time after the start from which changes of the membership no longer delay settling, in milliseconds. */
const MAX_SETTLE_MS = 1500;

/** Options of {@link FleetSettling}. */
export interface FleetSettlingOptions {
  /** Addresses of the living daemons. */
  readonly alive: () => readonly string[];
  /** Whether this daemon has received the shared state of the others, or there are no others. */
  readonly hasSharedState: () => boolean;
  readonly timers: TimerService;
}

/**
 * Decides when a starting daemon has settled: its membership has been stable for a while and it has received
 * the shared state, or {@link MAX_SETTLE_MS} have passed.
 */
export class FleetSettling {
  private readonly startedAt: number;

  /** The living daemons at the last check. */
  private lastAlive: readonly string[] = [];

  /** Monotonic time of the last change among the living daemons, in milliseconds. */
  private membershipChangedAt = Number.NEGATIVE_INFINITY;

  /**
   * Counts the time since the start from now on.
   * @param options - The fleet and time.
   */
  constructor(private readonly options: FleetSettlingOptions) {
    this.startedAt = options.timers.now();
  }

  /** Whether this daemon has settled; call it regularly, as it also watches the membership. */
  hasSettled(): boolean {
    const now = this.options.timers.now();
    const alive = this.options.alive();
    if (!isSameList(alive, this.lastAlive)) {
      this.lastAlive = alive;
      this.membershipChangedAt = now;
    }
    const ageMs = now - this.startedAt;
    if (ageMs >= MAX_SETTLE_MS) return true;
    const minAgeMs = alive.length === 1 ? ALONE_SETTLE_MS : MIN_SETTLE_MS;
    return (
      ageMs >= minAgeMs &&
      now - this.membershipChangedAt >= STABLE_MEMBERSHIP_MS &&
      this.options.hasSharedState()
    );
  }
}

function isSameList(left: readonly string[], right: readonly string[]): boolean {
  return left === right || (left.length === right.length && left.every((name, at) => name === right[at]));
}
