/** Replicas, in processes of their own. */
export type {
  Abandonment,
  Arrival,
  CrashingPart,
  ReplicaCommand,
  ReplicaCrash,
  ReplicaFall,
  ReplicaNews,
  ReplicaOptions,
} from './messages.js';
export {
  Behaviour,
  CRASHING_PATH,
  EngineEnd,
  FIRST_VERSION,
  Holdable,
  incarnationId,
  nameCrashingPart,
  PROMPT_PARTS_HEADER,
  REPLICA_HEADER,
} from './messages.js';
export type { Interruption, VersionChange, ReplicaFleetOptions } from './fleet.js';
export { ReplicaFleet } from './fleet.js';
