/**
 * How long callers wait at first: a caller that comes back after a refusal has less time left than that, and its answer
 * is late already.
 */
import type { Route } from '../catalog/index.js';

/** What is left of the longest time with each later request, so that it follows callers that have become less patient. */
const FADE = 0.995;

/** The longest time that callers of each route gave of late. */
export class CallerTimes {
  private readonly longest = new Map<string, number>();

  /**
   * Notes how long a caller waits.
   * @param route - Name of the route.
   * @param waitMs - Milliseconds.
   */
  note(route: string, waitMs: number): void {
    this.longest.set(route, Math.max(waitMs, this.of(route) * FADE));
  }

  /**
   * Tells whether the answer to a request will be late whatever is done: its caller has used up a part of its time.
   * @param route - The route.
   * @param leftMs - Time that the caller still waits, in milliseconds.
   * @returns Whether more than the objective has passed since its first try.
   */
  isLate({ name, objectiveMs }: Pick<Route, 'name' | 'objectiveMs'>, leftMs: number): boolean {
    return this.of(name) - leftMs > objectiveMs;
  }

  /**
   * Tells how long callers of a route wait at first.
   * @param route - Name of the route.
   * @returns Milliseconds; 0 before the first caller.
   */
  of(route: string): number {
    return this.longest.get(route) ?? 0;
  }
}
