/**
 * Tracks the longest deadline that callers of each route state. What a caller that resumes a stream has left, against the
 * longest that it can have begun with, bounds how long ago the stream began.
 */
import type { CallerDeadline } from './types.js';

/** Longest time from the sending of a request until its arrival, in milliseconds: callers give up what is not read then. */
const MAX_TRANSIT_MS = 1000;

/** A request with which a caller resumes a stream. */
export interface ResumingRequest {
  /** Name of its route. */
  readonly route: string;
  /** Longest time for which a caller of the route is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Name of its client account. */
  readonly account: string | undefined;
  /** What the caller has left, in milliseconds; undefined if it does not state it. */
  readonly waitMs: number | undefined;
  /** Earliest monotonic time of its arrival, in milliseconds. */
  readonly arrivedAt: number;
}

/** Longest deadlines of the callers of each route, for each client account by itself. */
export class CallerDeadlines {
  private readonly routes = new Map<string, Map<string | undefined, number>>();

  /** Records the deadline that a caller states, or that a peer has recorded. */
  record({ route, account, longestMs }: CallerDeadline): void {
    const accounts = this.routes.get(route) ?? new Map<string | undefined, number>();
    this.routes.set(route, accounts);
    accounts.set(account, Math.max(longestMs, accounts.get(account) ?? 0));
  }

  /**
   * Returns the time after which the caller of a resumed stream began: its deadline was no longer than the timeout of the
   * route, or than the longest one that its account's callers have stated.
   * @returns Monotonic milliseconds; undefined if no caller of the route has been seen, or it states no deadline.
   */
  beganAfter({ route, timeoutMs, account, waitMs, arrivedAt }: ResumingRequest): number | undefined {
    const accounts = this.routes.get(route);
    if (accounts === undefined || waitMs === undefined) return undefined;
    const longestMs = Math.max(timeoutMs, accounts.get(account) ?? 0);
    return arrivedAt - MAX_TRANSIT_MS - Math.max(0, longestMs - waitMs);
  }

  /** Drops the routes that are not configured any more. */
  retain(routes: ReadonlySet<string>): void {
    for (const route of this.routes.keys()) if (!routes.has(route)) this.routes.delete(route);
  }

  /** All that was recorded. */
  *all(): Generator<CallerDeadline, void, undefined> {
    for (const [route, accounts] of this.routes)
      for (const [account, longestMs] of accounts) yield { route, account, longestMs };
  }
}
