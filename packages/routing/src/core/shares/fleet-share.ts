/**
 * Computes the share of a fleet-wide allowance (a quota, a rate, a retry budget) that a daemon may use
 * without asking the others, from the part of the fleet that it knows.
 *
 * Daemons that have never met can't count each other, but all are configured with the same few seeds. So a
 * part of the fleet may use the allowance in proportion to the seeds that it contains, and the shares add up
 * to no more than the whole, whatever each daemon knows.
 */
import type { TimerService } from '@celeryyoke/core';

import type { Cluster, MemberRecord } from '../cluster/index.js';
import { SlidingMax } from './sliding-max.js';

/**
 * Time after process start in which daemons that were not met yet count as partitioned off rather than gone.
 */
export const DISCOVERY_MS = 30_000;

/** What a {@link FleetShare} reads. */
export interface FleetShareOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'aliveAddresses' | 'aliveOrSilentCount' | 'member' | 'onMemberChange'>;
  /** Addresses of the daemons that the configuration names. */
  readonly seeds: () => readonly string[];
  /** Whether this daemon's view of the fleet was updated a moment ago. */
  readonly isUpToDate: () => boolean;
  /** Whether the whole fleet starts for the first time, before any caller has used an allowance. */
  readonly isFirstStart: boolean;
  /** Longest time for which past use counts against an allowance, in milliseconds. */
  readonly windowMs: number;
  readonly timers: TimerService;
}

/**
 * Computes the shares of this daemon, of a daemon that can't reach the deciding one, and of this side of a
 * partition. All divide by the members that may be running, as a silent one may still use its share.
 */
export class FleetShare {
  private readonly memberMax: SlidingMax;

  /** Monotonic time of process start, in milliseconds. */
  private readonly startedAt: number;

  /**
   * Monotonic time up to which the use of this daemon's previous process may still count, in milliseconds.
   */
  private readonly previousUseUntil: number;

  /** Monotonic time at which the last new member became known, in milliseconds. */
  private lastJoinAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: FleetShareOptions) {
    const { cluster, timers, isFirstStart, windowMs } = options;
    this.startedAt = timers.now();
    this.memberMax = new SlidingMax(windowMs);
    this.memberMax.add(cluster.aliveOrSilentCount(), timers.now());
    this.previousUseUntil = isFirstStart ? Number.NEGATIVE_INFINITY : this.startedAt + windowMs;
    cluster.onMemberChange((_record, before) => this.recordMemberChange(before));
  }

  /**
   * Returns the share that this daemon may use without asking anyone. It is 0 until no member has joined for
   * a window, as daemons that this one does not know yet divide by the members that they know.
   * @returns From 0 to 1; the shares of all daemons add up to 1 at most.
   */
  ownShare(): number {
    const { timers, isUpToDate, windowMs } = this.options;
    const now = timers.now();
    const isGrowing = now - this.lastJoinAt < windowMs;
    if (now < this.previousUseUntil || isGrowing || this.isIsolated() || !isUpToDate()) return 0;
    return this.knownSeedShare() / this.memberMax.add(this.options.cluster.aliveOrSilentCount(), now);
  }

  /**
   * Returns the share that this daemon and those that it reaches may use together, when all follow the same
   * rule.
   * @returns From 0 to 1; the shares of the sides of a partition add up to 1 at most.
   */
  partitionShare(): number {
    const { cluster, isUpToDate } = this.options;
    const reachable = isUpToDate() ? cluster.aliveAddresses().length : 1;
    return this.isolatedShare() * reachable;
  }

  /**
   * Returns the share of one daemon that can't reach the daemon that decides for all.
   * @returns From 0 to 1.
   */
  isolatedShare(): number {
    const { cluster, timers } = this.options;
    const isDiscovering = timers.now() - this.startedAt < DISCOVERY_MS;
    return (isDiscovering ? this.knownSeedShare() : 1) / Math.max(1, cluster.aliveOrSilentCount());
  }

  /** Returns the share of the seeds that this daemon has met; 1 where there are none besides itself. */
  private knownSeedShare(): number {
    const { self, seeds, cluster } = this.options;
    const all = seeds();
    if (all.every((seed) => seed === self)) return 1;
    return all.filter((seed) => cluster.member(seed) !== undefined).length / all.length;
  }

  /** Whether this daemon knows no other although seeds are configured. */
  private isIsolated(): boolean {
    const { self, seeds, cluster } = this.options;
    return cluster.aliveOrSilentCount() <= 1 && seeds().some((seed) => seed !== self);
  }

  private recordMemberChange(before: MemberRecord | undefined): void {
    const { cluster, timers } = this.options;
    const now = timers.now();
    if (before === undefined) this.lastJoinAt = now;
    this.memberMax.add(cluster.aliveOrSilentCount(), now);
  }
}
