/** Repeated sends. */
export type { BudgetBounds, RepeatBudgetOptions } from './budget.js';
export { RepeatBudget } from './budget.js';
export { SlidingMax } from './sliding-max.js';
export { SlidingSum } from './sliding-sum.js';
