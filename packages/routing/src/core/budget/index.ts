/** Repeated sends. */
export type { BudgetBounds, RepeatBudgetOptions } from './budget.js';
export { RepeatBudget } from './budget.js';
export { RepeatPermit } from './permit.js';
export type { KnownFleet } from './sharers.js';
export { countSharers } from './sharers.js';
export { SlidingMax } from './sliding-max.js';
export { SlidingSum } from './sliding-sum.js';
