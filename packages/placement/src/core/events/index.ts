/** Events: what loads where and when, so that all of it is ready at the start. */
export { planEvents } from './plan.js';
export { UnplacedReason } from './types.js';
export type { EventPlan, PlanConfig, PlannedLoad, UnplacedLoad } from './types.js';
export { eventWants, reservedKeys } from './wants.js';
export type { EventWantsOptions } from './wants.js';
