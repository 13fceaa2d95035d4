/** Generations. */
export { EngineClients } from './clients.js';
export { parseGeneration } from './parse.js';
export { runGeneration } from './run.js';
export type { Generation, GenerationLimits, GenerationServices } from './types.js';
