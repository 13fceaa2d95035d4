/** Ownership of engines by daemons: leases, and the conditions under which they may be claimed and used. */
export { FleetSettling } from './fleet-settling.js';
export type { EngineLease, EngineLeasesOptions, FleetMembership } from './engine-leases.js';
export { EngineLeases } from './engine-leases.js';
export type { RendezvousMember } from './rendezvous.js';
export { rendezvousOwner, rendezvousOwners } from './rendezvous.js';
export { PauseDetector } from './pause-detector.js';
