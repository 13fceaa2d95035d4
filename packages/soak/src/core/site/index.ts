/** The platform of a run. */
export type { StoreDrill } from './drills.js';
export { StoreDrills } from './drills.js';
export type { DaemonAddress, SoakRoute } from './site.js';
export {
  CALLER_HOST,
  claimNetworks,
  daemonAddress,
  daemonNameOf,
  discardHistory,
  DRAIN_MS,
  ENGINE_SERVICE,
  ENGINE_SLOTS,
  GRACE_S,
  HEARTBEAT_MS,
  listReplica,
  PLAIN_SERVICE,
  PLAIN_SLOTS,
  putConfiguration,
  REPEAT_BOUNDS,
  ROUTES,
  settingsOf,
  startStore,
  versionPrefix,
} from './site.js';
