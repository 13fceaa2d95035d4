/** A soak of the real programs as separate processes, with faults from outside. */
export * from './core/checks/index.js';
export * from './core/plan/index.js';
export * from './core/run/index.js';
