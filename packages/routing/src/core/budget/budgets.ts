/** Retry budgets of all services, and a log of how far they are used. */
import type { DecisionLog, TimerHandle } from '@celeryyoke/core';

import type { RetryBudgetOptions } from './budget.js';
import { RetryBudget } from './budget.js';

/** Interval at which the use of the budgets is logged, in milliseconds. */
const REPORT_INTERVAL_MS = 1000;

/** What the budgets of a daemon have in common. */
export interface RetryBudgetsOptions extends RetryBudgetOptions {
  readonly log: DecisionLog;
}

/** Creates the budget of each service when it is first used. */
export class RetryBudgets {
  private readonly byService = new Map<string, RetryBudget>();

  /** Numbers of decisions when the budgets were last logged, by service. */
  private readonly reported = new Map<string, number>();

  private readonly reportTimer: TimerHandle;

  constructor(private readonly options: RetryBudgetsOptions) {
    this.reportTimer = options.timers.repeat(REPORT_INTERVAL_MS, () => this.report());
  }

  /** Returns the budget of a service. */
  of(service: string): RetryBudget {
    const known = this.byService.get(service);
    if (known !== undefined) return known;
    const created = new RetryBudget(this.options);
    this.byService.set(service, created);
    return created;
  }

  /** Logs what the budgets have decided and cancels the timer. */
  stop(): void {
    this.report();
    this.reportTimer.cancel();
  }

  /** Logs the budgets that have decided anything since the last report. */
  private report(): void {
    const { share, log } = this.options;
    for (const [service, budget] of this.byService) {
      if (budget.decisions === (this.reported.get(service) ?? 0)) continue;
      this.reported.set(service, budget.decisions);
      const use = budget.report();
      log.decide(
        'budget.used',
        `${use.reserved} retries of ${service} were allowed, ${use.refused} refused.`,
        {
          service,
          ...use,
          fleetShare: share(),
        },
      );
    }
  }
}
