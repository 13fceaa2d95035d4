/** Entry of the platform package: clients of everything outside. */
export * from './core/engine/index.js';
export * from './core/hosts/index.js';
export * from './core/http/index.js';
export * from './core/service/index.js';
export * from './core/source/index.js';
