/** Tracks daemons that have given up all their resources before the host list shows them as gone. */
import type { TimerService } from '@celeryyoke/core';

import type { Moment } from '../membership/clocks.js';
import { elapsedSince } from '../membership/clocks.js';
import type { OwnershipMembership, OwnershipTimes } from './types.js';
import { authoritySpanMs } from './bounds.js';

interface Departure {
  readonly incarnation: number | undefined;
  /** When the last request was sent to which the daemon responded that it has departed. */
  confirmedAt: Moment;
}

/**
 * Departures known to this daemon. Each stays active for one authority span ({@link authoritySpanMs}) after
 * the last request that confirmed it was sent. A new process on the same host waits longer than that before
 * it acts, so it never acts while the departure is still active.
 */
export class Departures {
  private readonly departures = new Map<string, Departure>();

  constructor(
    private readonly membership: OwnershipMembership,
    private readonly timers: TimerService,
    private readonly times: OwnershipTimes,
  ) {}

  /**
   * Records that a daemon has confirmed its departure.
   * @param requestedAt - When the request was sent.
   */
  confirm(name: string, requestedAt: Moment): void {
    this.departures.set(name, { incarnation: this.membership.incarnationOf(name), confirmedAt: requestedAt });
  }

  /** Whether a departure applies now: it has not expired, and the daemon has the same incarnation. */
  isActive(name: string): boolean {
    const departure = this.departures.get(name);
    if (departure === undefined) return false;
    const isSameStart = this.membership.incarnationOf(name) === departure.incarnation;
    return isSameStart && elapsedSince(departure.confirmedAt, this.timers) < authoritySpanMs(this.times);
  }

  pruneExpired(): void {
    for (const name of this.departures.keys()) if (!this.isActive(name)) this.departures.delete(name);
  }

  activeNames(): readonly string[] {
    return [...this.departures.keys()].filter((name) => this.isActive(name));
  }
}
