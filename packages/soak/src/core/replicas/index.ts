/** Replicas, in processes of their own. */
export type {
  Abandonment,
  Arrival,
  ReplicaCommand,
  ReplicaCrash,
  ReplicaFall,
  ReplicaNews,
  ReplicaOptions,
} from './messages.js';
export {
  Behaviour,
  CRASHING_PATH,
  FIRST_VERSION,
  Holdable,
  incarnationId,
  REPLICA_HEADER,
} from './messages.js';
export type { Interruption, VersionChange, ReplicaFleetOptions } from './fleet.js';
export { ReplicaFleet } from './fleet.js';
