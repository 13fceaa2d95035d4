/** What the daemons know of the platform, kept fresh by one reader and shared between them. */
export type { DeclaredVersion } from './directory.js';
export { Directory } from './directory.js';
export { Follower } from './follow.js';
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
export { SharedView } from './view.js';
