/** The platform of a run. */
export type { DaemonAddress, SoakRoute } from './site.js';
export {
  CALLER_HOST,
  claimNetworks,
  daemonAddress,
  daemonNameOf,
  DRAIN_MS,
  ENGINE_SERVICE,
  ENGINE_SLOTS,
  GRACE_S,
  listReplica,
  PLAIN_SERVICE,
  PLAIN_SLOTS,
  putConfiguration,
  REPEAT_BOUNDS,
  ROUTES,
  settingsOf,
  startStore,
} from './site.js';
