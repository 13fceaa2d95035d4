/** Entry of the placement package. */
export * from './core/events/index.js';
export * from './core/loads/index.js';
export * from './core/policy/index.js';
export * from './core/slots/index.js';
