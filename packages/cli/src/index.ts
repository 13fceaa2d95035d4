/** Entry of the cli package. */
export { COMMANDS } from './cli/commands.js';
export * from './core/program/index.js';
export * from './core/sites/index.js';
