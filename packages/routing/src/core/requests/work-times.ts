/** Measures how long responses take on each route: an attempt that begins too late can't be served in time. */
import type { TimerService } from '@celeryyoke/core';

/** Time after which the fastest response of a route is measured anew, in milliseconds. */
const PERIOD_MS = 10_000;

/** Times of one response, in milliseconds since the request was sent. */
export interface ResponseTimes {
  /** Until its first byte. */
  readonly firstByteMs: number;
  /** Until its end. */
  readonly totalMs: number;
}

const UNKNOWN: ResponseTimes = { firstByteMs: 0, totalMs: 0 };

/** Fastest responses of one route in the current period and the one before it. */
interface Periods {
  /** Monotonic time at which the current period began, in milliseconds. */
  startedAt: number;
  current: ResponseTimes | undefined;
  previous: ResponseTimes | undefined;
}

function fastest(
  one: ResponseTimes | undefined,
  other: ResponseTimes | undefined,
): ResponseTimes | undefined {
  if (one === undefined || other === undefined) return one ?? other;
  return {
    firstByteMs: Math.min(one.firstByteMs, other.firstByteMs),
    totalMs: Math.min(one.totalMs, other.totalMs),
  };
}

/**
 * Fastest recent responses of each route. A request that has less time left than these took can't be served; any other
 * one may be.
 */
export class WorkTimes {
  private readonly routes = new Map<string, Periods>();

  constructor(private readonly timers: Pick<TimerService, 'now'>) {}

  /**
   * Records a successful response.
   * @param route - Name of the route.
   */
  record(route: string, times: ResponseTimes): void {
    const periods = this.currentPeriods(route);
    periods.current = fastest(periods.current, times);
    this.routes.set(route, periods);
  }

  /**
   * Returns the shortest times that responses of a route have taken lately; 0 if none has ended.
   * @param route - Name of the route.
   */
  shortest(route: string): ResponseTimes {
    const { current, previous } = this.currentPeriods(route);
    return fastest(current, previous) ?? UNKNOWN;
  }

  private currentPeriods(route: string): Periods {
    const now = this.timers.now();
    const periods = this.routes.get(route);
    if (periods === undefined || now - periods.startedAt >= 2 * PERIOD_MS)
      return { startedAt: now, current: undefined, previous: undefined };
    if (now - periods.startedAt < PERIOD_MS) return periods;
    return { startedAt: periods.startedAt + PERIOD_MS, current: undefined, previous: periods.current };
  }
}
