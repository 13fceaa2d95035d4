/** Custody: which two daemons hold the records of each bucket of keys. */
export { createCustody } from './custody.js';
export { isSameTerm } from './bucket.js';
export { createComputedCustody } from './computed.js';
export { chooseCustodians, DEFAULT_MAX_CUSTODIANS } from './rendezvous.js';
export type {
  Custody,
  CustodyCargo,
  CustodyOptions,
  CustodyStatus,
  CustodyTerm,
  DaemonRef,
} from './types.js';
