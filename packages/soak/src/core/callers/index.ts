/** Callers of a run. */
export { Balancer } from './balancer.js';
export type { CallerAttempt, LeavingNotice } from './callers.js';
export { CallerOutcome, Callers } from './callers.js';
export type { ReceivedEvent } from './events.js';
