/** Adapters on engines: tracks which are resident where, loads and evicts them. */
export { observeReports } from './observed-control.js';
export { ResidencyTable } from './residency.js';
export type { EngineOwnerOptions } from './engine-owner.js';
export { EngineOwner } from './engine-owner.js';
export type { EnsureRequest, AdapterLoaderOptions } from './adapter-loader.js';
export { AdapterLoader } from './adapter-loader.js';
export { COLD_LOAD_ESTIMATE_MS, WARM_LOAD_ESTIMATE_MS } from './load-times.js';
export { SlotState, SlotTable } from './slots.js';
export type {
  AdapterRef,
  EngineConnection,
  EngineControl,
  IdentityCheck,
  EngineOrder,
  EngineReport,
  EnsureAdapter,
  EngineResidency,
  SlotAvailability,
  Urgency,
} from './types.js';
export { adapterKey, AdapterUnavailable, OrderKind, OrderOutcome } from './types.js';
