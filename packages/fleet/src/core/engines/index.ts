/** Entry of the engines folder: the owners of the engines whose lease this daemon holds. */
export { engineResource } from './orders.js';
export { createEngineOwners } from './owners.js';
export type { EngineOwners, EngineOwnersOptions, OwnedEngine } from './types.js';
