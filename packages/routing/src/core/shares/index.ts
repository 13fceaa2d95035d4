/** Shares of allowances that the whole fleet has together. */
export type { FleetShareOptions } from './fleet-share.js';
export { DISCOVERY_MS, FleetShare } from './fleet-share.js';
export { SlidingMax } from './sliding-max.js';
