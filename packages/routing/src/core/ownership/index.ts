/** Who gives orders to which engine. */
export type { EngineLease, EngineLeasesOptions, FleetView } from './engine-leases.js';
export { EngineLeases } from './engine-leases.js';
export { PauseDetector } from './pause-detector.js';
