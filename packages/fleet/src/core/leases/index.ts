/**
 * Entry of the leases folder: slot leases as their holders use them, and the messages between holders and
 * owners.
 */
export type { DispatcherOptions, RunningDispatcher } from './dispatcher.js';
export { createDispatcher } from './dispatcher.js';
export * from './messages.js';
export type { EngineState, SiteBook, SiteStateOptions } from './site.js';
export { createSiteBook } from './site.js';
export type { DispatchGrant, DispatchWant, Dispatcher, LeaseTimes } from './types.js';
export { DEFAULT_LEASE_TIMES } from './types.js';
