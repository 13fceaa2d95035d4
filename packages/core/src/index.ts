/** Entry of the core package: what every other package builds on. */
export * from './core/audit/index.js';
export * from './core/buffers/index.js';
export * from './core/codec/index.js';
export * from './core/errors/index.js';
export * from './core/events/index.js';
export * from './core/hash/index.js';
export * from './core/http/index.js';
export * from './core/kernel/index.js';
export * from './core/log/index.js';
export * from './core/metrics/index.js';
export * from './core/settings/index.js';
export * from './core/suspects/index.js';
export * from './core/task/index.js';
export * from './core/time/index.js';
