/** Limits of requests and of rejections that overloaded replicas declare, enforced over the whole fleet. */
export { LimitTable } from './limit-table.js';
export type { ReplicaLimitsOptions } from './replica-limits.js';
export { ReplicaLimits } from './replica-limits.js';
export { AttemptPacer } from './attempt-pacer.js';
export { SlotCoordinator } from './slot-coordinator.js';
export type { SlotPermit, SlotPermitsOptions } from './slot-permits.js';
export { SlotPermits, WITHOUT_SLOT } from './slot-permits.js';
export type { ReplicaLimitRow, AttemptPermit, SlotGrant, SlotRelease, SlotRequest } from './types.js';
