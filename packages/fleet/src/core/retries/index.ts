/** Retries. */
export { createRetryBudget } from './budget.js';
export type { RetryBudget, RetryBudgetOptions, RetryLeave, RetryWant } from './types.js';
