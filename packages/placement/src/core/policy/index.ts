/** Placement policies. */
export { createNaivePolicy } from './naive.js';
export { createPolicy } from './celeryyoke.js';
export type { PolicyOptions } from './celeryyoke.js';
export { rankCandidates } from './candidates.js';
export { DEFAULT_TUNING } from './tuning.js';
export type { PolicyTuning } from './tuning.js';
export { SlotState } from './types.js';
export type {
  AdapterKey,
  EngineView,
  LoadWant,
  ObservedCount,
  PlacementPolicy,
  RoomView,
  RouteChoice,
  RouteWant,
  SiteView,
  SlotView,
  VictimView,
} from './types.js';
