/** What replicas declare about whether they accept what is sent to them. */
export type { Availability, LeavingReplica, ReplicaDeclaration } from './types.js';
export { AvailabilityState, DeclarationSource } from './types.js';
export type { LeavingListener, ReplicaAvailabilityOptions } from './availability.js';
export { ReplicaAvailability } from './availability.js';
