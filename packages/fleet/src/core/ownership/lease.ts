/** The lease on the host list: whether this daemon's view is fresh, and what is known when it is not. */
import type { TimerService } from '@celeryyoke/core';

import type { Moment } from '../membership/clocks.js';
import { elapsedSince, readClocks } from '../membership/clocks.js';
import { CONFIRMING_SHARE } from '../membership/index.js';
import type { OwnershipMembership, OwnershipTimes } from './types.js';

/** Ticks that may be missed until a stale view counts as unconfirmed in between. */
const MISSED_TICKS = 5;

/** A time without a fresh view. */
interface Lapse {
  readonly since: Moment;
  /** Whether most of the fleet confirmed the view all the while. */
  isConfirmed: boolean;
}

/** The last look at the view. */
interface Look {
  readonly at: Moment;
  readonly ageMs: number;
}

/** The lease on the host list. */
export class ViewLease {
  private last: Look | undefined;

  private lapse: Lapse | undefined;

  private majoritySince: Moment | undefined;

  constructor(
    private readonly membership: OwnershipMembership,
    private readonly timers: TimerService,
    private readonly times: OwnershipTimes,
  ) {}

  /** Whether the view is fresh at this moment. */
  isFresh(): boolean {
    return this.membership.ageMs() <= this.times.leaseMs && !this.membership.needsConfirmation();
  }

  /** Whether the view is stale, but most of the fleet has no newer one and had none since it became stale. */
  isConfirmedStale(): boolean {
    const { membership, lapse, timers, times } = this;
    if (membership.needsConfirmation() || membership.ageMs() <= times.leaseMs) return false;
    const isShort = lapse === undefined || elapsedSince(lapse.since, timers) <= times.staleLimitMs;
    return isShort && lapse?.isConfirmed !== false && this.isConfirmedNow();
  }

  /** Whether the view was read after a moment. */
  isRenewedSince(moment: Moment): boolean {
    return this.membership.ageMs() < elapsedSince(moment, this.timers);
  }

  /**
   * Whether more than half of the fleet, this daemon included, has listed the same entry hosts for a whole lease.
   * An owner that goes on without the list has two thirds on its side, and notices within that time when one turns.
   */
  hasMajority(): boolean {
    this.countMajority();
    const { majoritySince, timers, times } = this;
    return majoritySince !== undefined && elapsedSince(majoritySince, timers) >= times.leaseMs;
  }

  /**
   * Looks at the view; called at each tick and at each renewal.
   * @returns Whether the view has been renewed after a time for which nothing is known.
   */
  look(): boolean {
    const { membership, timers, times } = this;
    this.countMajority();
    const at = readClocks(timers);
    const ageMs = membership.ageMs();
    const unseen = this.last === undefined ? Infinity : elapsedSince(this.last.at, timers);
    const ageBefore = this.last === undefined ? Infinity : this.last.ageMs + unseen;
    this.last = { at, ageMs };
    if (this.lapse === undefined && ageBefore <= times.leaseMs) return false;
    this.lapse ??= { since: at, isConfirmed: true };
    const { lapse } = this;
    if (unseen > MISSED_TICKS * times.tickMs || !this.isConfirmedNow()) lapse.isConfirmed = false;
    if (elapsedSince(lapse.since, timers) > times.staleLimitMs) lapse.isConfirmed = false;
    if (ageMs > times.leaseMs) return false;
    this.lapse = undefined;
    return !lapse.isConfirmed;
  }

  private isConfirmedNow(): boolean {
    const { agreeing, known } = this.membership.viewAgreement();
    return agreeing >= CONFIRMING_SHARE * known;
  }

  private countMajority(): void {
    const { agreeing, known } = this.membership.viewAgreement();
    if (agreeing <= known / 2) this.majoritySince = undefined;
    else this.majoritySince ??= readClocks(this.timers);
  }
}
