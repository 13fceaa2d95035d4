/** Callers of a run. */
export { Balancer } from './balancer.js';
export type { CallerAttempt, LeavingNotice } from './callers.js';
export { CallerOutcome, Callers } from './callers.js';
export type { ConfigProbe } from './config-probes.js';
export { ConfigProbes } from './config-probes.js';
export type { ReceivedEvent } from './events.js';
