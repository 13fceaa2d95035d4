/**
 * The view: this daemon's copy of the platform's records, read from the store by one daemon and shared with
 * the others.
 */
export type { EpochStart, SnapshotListener } from './replicated-store.js';
export type { DeclaredVersion, ReplicaListener } from './registry.js';
export { ReplicaRegistry } from './registry.js';
export type { Listing, TakeOver } from './store-watcher.js';
export { StoreWatcher } from './store-watcher.js';
export type {
  AdapterVersion,
  Change,
  Delta,
  EntryWrite,
  ResidentModel,
  RecordSource,
  ReplicaEntry,
  ReplicaStart,
  ResidentAdapter,
  ViewRecord,
} from './types.js';
export type { Position } from './position.js';
export { isAfter, NO_POSITION } from './position.js';
export { ItemRefusal, RecordKind, replicaId, ReplicaState } from './types.js';
export { ReplicatedStore } from './replicated-store.js';
