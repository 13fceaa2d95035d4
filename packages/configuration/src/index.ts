/** Entry of the configuration package. */
export * from './core/adapters/index.js';
export * from './core/checks/index.js';
export * from './core/documents/index.js';
export * from './core/model/index.js';
export * from './core/packing/index.js';
export * from './core/schema/index.js';
export * from './core/source/index.js';
