/**
 * Grants the slots of replicas that must not reject many requests, for all daemons that can reach this one.
 *
 * A rejection shows that fewer slots are free than it counts: it then grants nothing for a while, and fewer slots
 * until rejections have stopped.
 */
import type { TimerService } from '@celeryyoke/core';

import type { SlotGrant, SlotRelease, SlotRequest } from './types.js';

const MS_PER_SECOND = 1000;
/** Time after which to ask again for a slot, in milliseconds. */
const RETRY_MS = 10;
/** Interval at which a limit that rejections have lowered rises by one slot, in milliseconds. */
const RAISE_INTERVAL_MS = 500;
/** Lowest number of rejections per second that sets the pause after one. */
const MIN_REJECTIONS_PER_SECOND = 0.5;

/** What is known of one replica. */
interface ReplicaSlots {
  /** Requests in flight that were granted, by the daemon that has them. */
  readonly held: Map<string, number>;
  /** Slots that may be granted as of the latest rejection; undefined without one. */
  lowered: number | undefined;
  /** Monotonic time of the latest rejection, in milliseconds. */
  rejectedAt: number;
  /** Monotonic time until which nothing is granted, in milliseconds. */
  pausedUntil: number;
}

/** Slots of all replicas that this daemon coordinates. */
export class SlotCoordinator {
  private readonly replicas = new Map<string, ReplicaSlots>();

  /**
   * @param share - Share of the slots that may be granted here; the sides of a partition grant a part each.
   */
  constructor(
    private readonly timers: TimerService,
    private readonly share: () => number,
  ) {}

  /** Grants slots to a daemon. */
  grant(holder: string, { replica, slots, held, wanted }: SlotRequest): SlotGrant {
    const state = this.stateOf(replica);
    state.held.set(holder, held);
    const now = this.timers.now();
    if (now < state.pausedUntil) return { granted: 0, waitMs: state.pausedUntil - now };
    const free = this.limitOf(state, slots) - sumOf(state.held.values());
    const granted = Math.max(0, Math.min(wanted, free));
    state.held.set(holder, held + granted);
    return { granted, waitMs: granted < wanted ? RETRY_MS : 0 };
  }

  /** Records that a daemon's request on a replica has ended, or was rejected. */
  release(holder: string, { replica, rejectionsPerSecond, wasRejected }: SlotRelease): void {
    const state = this.stateOf(replica);
    state.held.set(holder, Math.max(0, (state.held.get(holder) ?? 0) - 1));
    if (!wasRejected) return;
    const now = this.timers.now();
    state.lowered = Math.max(1, sumOf(state.held.values()));
    state.rejectedAt = now;
    state.pausedUntil = now + MS_PER_SECOND / Math.max(MIN_REJECTIONS_PER_SECOND, rejectionsPerSecond);
  }

  /** Removes a daemon whose process has ended. */
  removeHolder(holder: string): void {
    for (const { held } of this.replicas.values()) held.delete(holder);
  }

  /** Removes a replica. */
  forget(replica: string): void {
    this.replicas.delete(replica);
  }

  private limitOf({ lowered, rejectedAt }: ReplicaSlots, slots: number): number {
    const allowed = Math.max(1, Math.floor(slots * this.share()));
    if (lowered === undefined) return allowed;
    const raised = Math.floor((this.timers.now() - rejectedAt) / RAISE_INTERVAL_MS);
    return Math.min(allowed, lowered + raised);
  }

  private stateOf(replica: string): ReplicaSlots {
    const known = this.replicas.get(replica);
    if (known !== undefined) return known;
    const created: ReplicaSlots = {
      held: new Map(),
      lowered: undefined,
      rejectedAt: Number.NEGATIVE_INFINITY,
      pausedUntil: Number.NEGATIVE_INFINITY,
    };
    this.replicas.set(replica, created);
    return created;
  }
}

function sumOf(counts: Iterable<number>): number {
  let sum = 0;
  for (const count of counts) sum += count;
  return sum;
}
