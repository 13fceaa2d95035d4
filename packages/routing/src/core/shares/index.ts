/** Shares of allowances that the whole fleet has together. */
export type { FleetShareOptions } from './fleet-share.js';
export { CUT_OFF_MS, FleetShare } from './fleet-share.js';
export { SlidingMax } from './sliding-max.js';
