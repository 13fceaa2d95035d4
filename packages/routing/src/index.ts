/** Routes requests to replicas, and replicates the state that the daemons of a fleet share for that. */
export * from './core/accounts/index.js';
export * from './core/adapters/index.js';
export * from './core/availability/index.js';
export * from './core/ownership/index.js';
export * from './core/budget/index.js';
export * from './core/catalog/index.js';
export * from './core/channels/index.js';
export * from './core/choice/index.js';
export * from './core/cluster/index.js';
export * from './core/daemon/index.js';
export * from './core/dissemination/index.js';
export * from './core/limits/index.js';
export * from './core/pacing/index.js';
export * from './core/requests/index.js';
export * from './core/shares/index.js';
export * from './core/suspects/index.js';
export * from './core/view/index.js';
