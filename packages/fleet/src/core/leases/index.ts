/**
 * Entry of the leases folder: slot leases as their holders use them, and the messages between holders and
 * owners.
 */
export type { DispatcherOptions, RunningDispatcher } from './dispatcher.js';
export { createDispatcher } from './dispatcher.js';
export * from './messages.js';
export type { EngineState, SiteState, SiteStateOptions } from './site.js';
export { createSiteState } from './site.js';
export type { DispatchGrant, DispatchRequest, Dispatcher, LeaseTimes } from './types.js';
export { DEFAULT_LEASE_TIMES } from './types.js';
