/**
 * Ownership of engines and other resources by daemons, computed from the host list and limited by a lease.
 */
export { authoritySpanMs, claimBoundMs, takeOverBoundMs } from './bounds.js';
export { createOwnership } from './ownership.js';
export { OwnerTable } from './owner-table.js';
export { DEFAULT_OWNERSHIP_TIMES } from './settings.js';
export { Arbitration, Authority } from './types.js';
export type {
  ManagedOwnership,
  OwnedResource,
  Ownership,
  OwnershipMembership,
  OwnershipOptions,
  OwnershipTimes,
} from './types.js';
