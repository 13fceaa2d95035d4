/**
 * What part of an allowance of the whole fleet a daemon may use by what it knows of the fleet.
 *
 * Daemons that have never met do not know each other's number, but all know the same few seeds: a part of the fleet may use
 * the allowance in proportion to the seeds that belong to it. So the parts add up to no more than the whole, whatever each
 * daemon knows.
 */
import type { TimerService } from '@celeryyoke/core';

import type { Cluster, MemberRecord } from '../cluster/index.js';
import { SlidingMax } from './sliding-max.js';

/**
 * Time after its start in which a daemon takes those that it has not met for cut off rather than gone, in milliseconds.
 */
export const CUT_OFF_MS = 30_000;

/** Options of a share. */
export interface FleetShareOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'alive' | 'possible' | 'member' | 'onMemberChange'>;
  /** Addresses of daemons that there should be. */
  readonly seeds: () => readonly string[];
  /** Whether this daemon has heard of the fleet a moment ago. */
  readonly isUpToDate: () => boolean;
  /** Whether the whole fleet starts for the first time, before any caller. */
  readonly isFirstStart: boolean;
  /** Longest time for which what was used of an allowance counts, in milliseconds. */
  readonly windowMs: number;
  readonly timers: TimerService;
}

/** The parts of one daemon and of the daemons that reach it. */
export class FleetShare {
  private readonly members: SlidingMax;

  /** Monotonic milliseconds. */
  private readonly startedAt: number;

  /** Monotonic time up to which a former life of this daemon may have used its part, in milliseconds. */
  private readonly usedBeforeUntil: number;

  /** Monotonic time at which a member became known that was not, in milliseconds. */
  private grewAt = Number.NEGATIVE_INFINITY;

  /**
   * Makes a share that follows the members of the fleet.
   * @param options - What is known of the fleet.
   */
  constructor(private readonly options: FleetShareOptions) {
    const { cluster, timers, isFirstStart, windowMs } = options;
    this.startedAt = timers.now();
    this.members = new SlidingMax(windowMs);
    this.members.note(cluster.possible(), timers.now());
    this.usedBeforeUntil = isFirstStart ? Number.NEGATIVE_INFINITY : this.startedAt + windowMs;
    cluster.onMemberChange((_record, before) => this.noteMember(before));
  }

  /**
   * The part that this daemon may use without asking anyone: nothing until the fleet has stopped growing for a window, as
   * those that are not known yet divide by those that they know.
   * @returns From 0 to 1; those of all daemons add up to 1 at most.
   */
  own(): number {
    const { timers, isUpToDate, windowMs } = this.options;
    const now = timers.now();
    const isGrowing = now - this.grewAt < windowMs;
    if (now < this.usedBeforeUntil || isGrowing || this.isAlone() || !isUpToDate()) return 0;
    return this.metSeeds() / this.members.note(this.options.cluster.possible(), now);
  }

  /**
   * The part that the daemons may use together that reach this one and follow the same rule.
   * @returns From 0 to 1; those of the sides of a partition add up to 1 at most.
   */
  side(): number {
    const { cluster, isUpToDate } = this.options;
    const reached = isUpToDate() ? cluster.alive().length : 1;
    return this.one() * reached;
  }

  /**
   * The part of one daemon that can't reach the one which decides for all.
   * @returns From 0 to 1.
   */
  one(): number {
    const { cluster, timers } = this.options;
    const isMeeting = timers.now() - this.startedAt < CUT_OFF_MS;
    return (isMeeting ? this.metSeeds() : 1) / Math.max(1, cluster.possible());
  }

  /** Part of the seeds that this daemon has met; 1 where there are none besides itself. */
  private metSeeds(): number {
    const { self, seeds, cluster } = this.options;
    const all = seeds();
    if (all.every((seed) => seed === self)) return 1;
    return all.filter((seed) => cluster.member(seed) !== undefined).length / all.length;
  }

  /** Whether this daemon meets none of those that there should be. */
  private isAlone(): boolean {
    const { self, seeds, cluster } = this.options;
    return cluster.possible() <= 1 && seeds().some((seed) => seed !== self);
  }

  private noteMember(before: MemberRecord | undefined): void {
    const { cluster, timers } = this.options;
    const now = timers.now();
    if (before === undefined) this.grewAt = now;
    this.members.note(cluster.possible(), now);
  }
}
