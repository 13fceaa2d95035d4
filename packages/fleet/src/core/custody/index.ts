/** Custody of buckets of records. */
export { createCustody } from './custody.js';
export { isSameTerm } from './bucket.js';
export { createComputedCustody } from './computed.js';
export { chooseKeepers, DEFAULT_KEEPERS } from './rendezvous.js';
export type {
  Custody,
  CustodyCargo,
  CustodyOptions,
  CustodyStatus,
  CustodyTerm,
  KeeperRef,
} from './types.js';
