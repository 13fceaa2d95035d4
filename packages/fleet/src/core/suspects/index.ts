/** Requests that crash upstreams. */
export { createSuspectRegistry } from './registry.js';
export type { IsolationPass, Quarantine, SuspectRegistry, SuspectRegistryOptions } from './types.js';
