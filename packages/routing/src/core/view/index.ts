/** What the daemons know of the platform, kept fresh by one reader and shared between them. */
export type { DeclaredVersion } from './registry.js';
export { ReplicaRegistry } from './registry.js';
export type { TakeOver } from './store-watcher.js';
export { StoreWatcher } from './store-watcher.js';
export type {
  AdapterVersion,
  Change,
  Delta,
  HeldAdapter,
  HeldModel,
  RecordSource,
  ReplicaEntry,
  ReplicaStart,
  ViewRecord,
} from './types.js';
export { RecordKind, replicaId, ReplicaState } from './types.js';
export { ReplicatedStore } from './replicated-store.js';
