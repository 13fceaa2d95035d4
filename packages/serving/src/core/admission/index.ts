/** Admission: which requests wait, which run, and which are turned away. */
export { FairQueue } from './fair-queue.js';
export type { QueueEntry } from './fair-queue.js';
export { createEngineLimit } from './limit.js';
export type { EngineLimitOptions } from './limit.js';
export { EnginePlaces } from './places.js';
export type { EngineLimit, EnginePlacesOptions, EngineUse } from './places.js';
export { chooseVictim } from './shedding.js';
export type { Place, WaitingRequest } from './types.js';
export { WaitingList } from './waiting.js';
