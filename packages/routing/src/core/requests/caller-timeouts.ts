/**
 * Tracks the timeout that callers of each route send with their first attempt. A caller that retries after a
 * refusal has less time left than that, which shows how much of its time it has used up.
 */
import type { Route } from '../catalog/index.js';

/** Decay factor of the longest timeout per request, so that it follows callers that shorten theirs. */
const DECAY_PER_REQUEST = 0.995;

/** Longest recent timeout of the callers of each route. */
export class CallerTimeouts {
  private readonly longest = new Map<string, number>();

  /**
   * Records the timeout of a request.
   * @param route - Name of the route.
   */
  record(route: string, timeoutMs: number): void {
    this.longest.set(route, Math.max(timeoutMs, this.longestMs(route) * DECAY_PER_REQUEST));
  }

  /**
   * Returns whether the response to a request will miss its objective whatever is done, because more time
   * than that has passed since the caller's first attempt.
   * @param remainingMs - Time until the caller's deadline, in milliseconds.
   */
  isLate({ name, objectiveMs }: Pick<Route, 'name' | 'objectiveMs'>, remainingMs: number): boolean {
    return this.longestMs(name) - remainingMs > objectiveMs;
  }

  /**
   * Returns the timeout that callers of a route send with their first attempt.
   * @param route - Name of the route.
   * @returns Milliseconds; 0 before the first request.
   */
  longestMs(route: string): number {
    return this.longest.get(route) ?? 0;
  }
}
