/** Daemons that have given up everything for good, before the host list shows it. */
import type { TimerService } from '@celeryyoke/core';

import type { Moment } from '../membership/clocks.js';
import { elapsedSince } from '../membership/clocks.js';
import type { OwnershipMembership, OwnershipTimes } from './types.js';
import { authoritySpanMs } from './bounds.js';

/** One departure. */
interface Departure {
  readonly incarnation: number | undefined;
  /** When the daemon was asked last, and said that it has given up. */
  confirmedFrom: Moment;
}

/**
 * The departures that this daemon knows of. Each counts for one authority span from the last question that confirmed
 * it: a later start of the same host waits longer than that before it acts, so the two can't overlap.
 */
export class Departures {
  private readonly departures = new Map<string, Departure>();

  constructor(
    private readonly membership: OwnershipMembership,
    private readonly timers: TimerService,
    private readonly times: OwnershipTimes,
  ) {}

  /**
   * Notes that a daemon has confirmed its departure.
   * @param name - The daemon.
   * @param asked - When it was asked.
   */
  confirm(name: string, asked: Moment): void {
    this.departures.set(name, { incarnation: this.membership.incarnationOf(name), confirmedFrom: asked });
  }

  /** Whether a daemon's departure counts at this moment. */
  has(name: string): boolean {
    const departure = this.departures.get(name);
    if (departure === undefined) return false;
    const isSameStart = this.membership.incarnationOf(name) === departure.incarnation;
    return isSameStart && elapsedSince(departure.confirmedFrom, this.timers) < authoritySpanMs(this.times);
  }

  /** Forgets what does not count any more. */
  prune(): void {
    for (const name of this.departures.keys()) if (!this.has(name)) this.departures.delete(name);
  }

  /** Names of the departed. */
  names(): readonly string[] {
    return [...this.departures.keys()].filter((name) => this.has(name));
  }
}
