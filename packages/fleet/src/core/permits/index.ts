/** Leave to load from weight stores. */
export { createPermitOwners } from './owners.js';
export type {
  GrantedPermit,
  PermitDesk,
  PermitOwners,
  PermitOwnersOptions,
  PermitTimes,
  PermitUser,
} from './types.js';
export { DEFAULT_PERMIT_TIMES, storeResource } from './types.js';
