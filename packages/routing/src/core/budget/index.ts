/** Retry budgets of services, and the sliding sum that they count with. */
export { BucketedCounts } from './bucketed-counts.js';
export type { BudgetBounds, BudgetUse, RetryBudgetOptions } from './budget.js';
export { RetryBudget } from './budget.js';
export type { RetryBudgetsOptions } from './budgets.js';
export { RetryBudgets } from './budgets.js';
export type { AttemptTarget, LateArrivalsOptions } from './late-arrivals.js';
export { LateArrival, LateArrivals } from './late-arrivals.js';
export { RetryPermit } from './permit.js';
export { SlidingSum } from './sliding-sum.js';
