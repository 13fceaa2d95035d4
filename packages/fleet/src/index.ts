/** Entry of the fleet package. */
export * from './core/custody/index.js';
export * from './core/distribution/index.js';
export * from './core/engines/index.js';
export * from './core/health/index.js';
export * from './core/keys/index.js';
export * from './core/leases/index.js';
export * from './core/limits/index.js';
export * from './core/membership/index.js';
export * from './core/ownership/index.js';
export * from './core/peers/index.js';
export * from './core/permits/index.js';
export * from './core/retries/index.js';
export * from './core/suspects/index.js';
