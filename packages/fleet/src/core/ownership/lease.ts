/** Lease on the host list view: whether the view is fresh and, if it is not, whether peers confirm it. */
import type { TimerService } from '@celeryyoke/core';

import type { Moment } from '../membership/clocks.js';
import { elapsedSince, readClocks } from '../membership/clocks.js';
import { CONFIRMING_SHARE } from '../membership/index.js';
import type { OwnershipMembership, OwnershipTimes } from './types.js';

/** If more ticks than this are missed, a stale view counts as unconfirmed in between. */
const MAX_MISSED_TICKS = 5;

/** A period without a fresh view. */
interface StalePeriod {
  readonly since: Moment;
  /** Whether enough of the fleet confirmed the view throughout (`CONFIRMING_SHARE`). */
  isConfirmed: boolean;
}

/** Age of the view when it was last checked. */
interface ViewObservation {
  readonly observedAt: Moment;
  readonly ageMs: number;
}

/**
 * Tracks the lease that each read of the host list renews. While the view is stale, it also tracks whether
 * peers have confirmed it without interruption, so that no other owner can have appeared unnoticed.
 */
export class ViewLease {
  private lastObservation: ViewObservation | undefined;

  private stalePeriod: StalePeriod | undefined;

  private majoritySince: Moment | undefined;

  constructor(
    private readonly membership: OwnershipMembership,
    private readonly timers: TimerService,
    private readonly times: OwnershipTimes,
  ) {}

  /** Whether the view is at most one lease old and this process has not just been paused. */
  isFresh(): boolean {
    return this.membership.ageMs() <= this.times.leaseMs && !this.membership.needsConfirmation();
  }

  /** Whether the view is stale, but most of the fleet has had no newer one since it became stale. */
  isConfirmedStale(): boolean {
    const { membership, stalePeriod, timers, times } = this;
    if (membership.needsConfirmation() || membership.ageMs() <= times.leaseMs) return false;
    const isWithinLimit =
      stalePeriod === undefined || elapsedSince(stalePeriod.since, timers) <= times.staleLimitMs;
    return isWithinLimit && stalePeriod?.isConfirmed !== false && this.isConfirmedByPeers();
  }

  isRenewedSince(moment: Moment): boolean {
    return this.membership.ageMs() < elapsedSince(moment, this.timers);
  }

  /**
   * Whether more than half of the fleet, this daemon included, has listed the same entry hosts for a whole
   * lease. An owner that continues without the list needs two thirds of the fleet to agree with it, and
   * notices within that time when a peer no longer does.
   */
  hasMajority(): boolean {
    this.updateMajority();
    const { majoritySince, timers, times } = this;
    return majoritySince !== undefined && elapsedSince(majoritySince, timers) >= times.leaseMs;
  }

  /**
   * Updates the stale period and the majority; called at each tick and at each renewal of the view.
   * @returns Whether the view has been renewed after a stale period in which peers did not confirm it
   * throughout.
   */
  update(): boolean {
    const { membership, timers, times } = this;
    this.updateMajority();
    const at = readClocks(timers);
    const ageMs = membership.ageMs();
    const sinceLastMs =
      this.lastObservation === undefined ? Infinity : elapsedSince(this.lastObservation.observedAt, timers);
    const ageBeforeMs =
      this.lastObservation === undefined ? Infinity : this.lastObservation.ageMs + sinceLastMs;
    this.lastObservation = { observedAt: at, ageMs };
    if (this.stalePeriod === undefined && ageBeforeMs <= times.leaseMs) return false;
    this.stalePeriod ??= { since: at, isConfirmed: true };
    const { stalePeriod } = this;
    if (sinceLastMs > MAX_MISSED_TICKS * times.tickMs || !this.isConfirmedByPeers())
      stalePeriod.isConfirmed = false;
    if (elapsedSince(stalePeriod.since, timers) > times.staleLimitMs) stalePeriod.isConfirmed = false;
    if (ageMs > times.leaseMs) return false;
    this.stalePeriod = undefined;
    return !stalePeriod.isConfirmed;
  }

  private isConfirmedByPeers(): boolean {
    const { agreeing, known } = this.membership.viewAgreement();
    return agreeing >= CONFIRMING_SHARE * known;
  }

  private updateMajority(): void {
    const { agreeing, known } = this.membership.viewAgreement();
    if (agreeing <= known / 2) this.majoritySince = undefined;
    else this.majoritySince ??= readClocks(this.timers);
  }
}
