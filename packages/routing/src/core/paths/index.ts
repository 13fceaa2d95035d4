/** Paths from this daemon to replicas. */
export type { ReachabilityOptions } from './reachability.js';
export { ReachabilityTable } from './reachability.js';
