/** Entry of the serving package. */
export * from './core/records/index.js';
export * from './core/results/index.js';
export * from './core/server/index.js';
export * from './core/streams/index.js';
