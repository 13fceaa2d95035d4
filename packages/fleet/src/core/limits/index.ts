/** Limits of callers. */
export { createCallerLimits } from './limits.js';
export type { CallerLimits, CallerLimitsOptions, LimitPass } from './types.js';
