/** What replicas declare about whether they accept requests. */
export type { Availability, ReplicaDeclaration } from './types.js';
export { AvailabilityState, DeclarationSource } from './types.js';
export type { ReplicaAvailabilityOptions } from './availability.js';
export { ReplicaAvailability } from './availability.js';
