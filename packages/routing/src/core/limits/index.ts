/** Rate limits that overloaded replicas declare, enforced over the whole fleet. */
export { LimitTable } from './limit-table.js';
export type { ReplicaLimitsOptions } from './replica-limits.js';
export { ReplicaLimits } from './replica-limits.js';
export { AttemptPacer } from './attempt-pacer.js';
export type { ReplicaLimitRow, AttemptPermit } from './types.js';
