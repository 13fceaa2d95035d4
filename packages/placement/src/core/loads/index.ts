/** The queue of loads. */
export { createLoadQueue } from './queue.js';
export { PermitOutcome } from './types.js';
export type { EngineOffer, LoadPermit, LoadQueue, LoadQueueOptions } from './types.js';
