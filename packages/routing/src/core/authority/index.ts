/** Who gives orders to which engine. */
export type { Claim, ClaimsOptions, FleetView } from './claims.js';
export { Claims } from './claims.js';
export { PauseWatch } from './pauses.js';
