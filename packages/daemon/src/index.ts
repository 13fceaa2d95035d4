/** Entry of the daemon package, for benches and tests that run daemons in their own process. */
export * from './core/daemon/index.js';
export * from './core/status/index.js';
