/** The effective configuration and its look-ups. */
export { Fencing } from './types.js';
export { createConfigHolder } from './holder.js';
export type { ConfigHolderOptions } from './holder.js';
export { joinAdapterKey, splitAdapterKey } from './keys.js';
export type { AdapterKeyParts } from './keys.js';
export { createSnapshot } from './snapshot.js';
export type {
  AdapterConfig,
  AdapterFamilyConfig,
  AdapterList,
  CallerConfig,
  ConfigHolder,
  ConfigSnapshot,
  DomainConfig,
  EngineConfig,
  EventAdapterConfig,
  EventConfig,
  ModelConfig,
  NonIdempotentRoute,
  PlainServiceConfig,
  PolicyConfig,
  ResolvedAdapter,
  ServiceUpstreamConfig,
  SiteConfig,
  StoreConfig,
} from './types.js';
