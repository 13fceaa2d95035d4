/** The share of fleet-wide allowances that a daemon may use without asking the others. */
export type { FleetShareOptions } from './fleet-share.js';
export { DISCOVERY_MS, FleetShare } from './fleet-share.js';
export { SlidingMax } from './sliding-max.js';
