/** Repeated sends. */
export type { BudgetBounds, RepeatBudgetOptions } from './budget.js';
export { RepeatBudget } from './budget.js';
export { RepeatPermit } from './permit.js';
export { SlidingSum } from './sliding-sum.js';
