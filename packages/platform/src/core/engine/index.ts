/** Engines. */
export { createHttpEngineClient } from './client.js';
export type { HttpEngineClientOptions } from './client.js';
export { OrderKind, OrderOutcome } from './types.js';
export type {
  CacheEvent,
  EngineClient,
  EngineClientFactory,
  EngineOrder,
  EngineReport,
  GenerateAnswer,
  GenerateCall,
  OrderResult,
  ReportedSlot,
} from './types.js';
