/** Plans of runs. */
export { createPlan } from './plan.js';
export type { Fault, SoakPlan, SoakSize } from './types.js';
export { FaultKind } from './types.js';
