/** Repeated sends. */
export type { BudgetBounds } from './budget.js';
export { RepeatBudget } from './budget.js';
export { SlidingSum } from './sliding-sum.js';
