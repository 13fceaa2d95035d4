/** Adapters on engines: who holds what, loads and victims. */
export { HoldingsBook } from './holdings.js';
export type { KeeperOptions } from './keeper.js';
export { Keeper } from './keeper.js';
export type { EnsureWanted, LoaderOptions } from './loader.js';
export { Loader } from './loader.js';
export { SlotState, SlotTable } from './slots.js';
export type {
  AdapterRef,
  EngineConnection,
  EngineControl,
  EngineOrder,
  EngineReport,
  EnsureAdapter,
  Holdings,
  Room,
  RoomLine,
  Urgency,
} from './types.js';
export { adapterKey, AdapterUnavailable, OrderKind, OrderOutcome } from './types.js';
