/** Callers of a run. */
export { Balancer } from './balancer.js';
export type { CallerAttempt } from './callers.js';
export { CallerOutcome, Callers } from './callers.js';
