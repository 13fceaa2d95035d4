/** Retry budget of a service, and the sliding sum that it counts with. */
export type { BudgetBounds, RetryBudgetOptions } from './budget.js';
export { RetryBudget } from './budget.js';
export { RetryPermit } from './permit.js';
export { SlidingSum } from './sliding-sum.js';
