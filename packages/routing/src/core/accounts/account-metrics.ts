/** Counters of requests by client account. */
import type { Counter, Metrics } from '@celeryyoke/core';

import type { AuthOutcome } from './authentication.js';

/** Accounts with counters of their own; the others share one. */
const MAX_ACCOUNTS = 20;
const OTHER = 'other';

/** The accounts' figures. */
export class AccountMetrics {
  private readonly charges = new Map<string, Counter>();

  private readonly accounts = new Set<string>();

  private readonly refusals = new Map<AuthOutcome, Counter>();

  /**
   * Registers the figures.
   * @param metrics - Where they are kept.
   */
  constructor(private readonly metrics: Metrics) {}

  /**
   * Notes a request that was charged to its account, or refused.
   * @param account - Name of the account.
   * @param isAdmitted - Whether the quota had room for it.
   */
  charged(account: string, isAdmitted: boolean): void {
    const name = this.seriesOf(account);
    const key = `${name} ${isAdmitted}`;
    let counter = this.charges.get(key);
    if (counter === undefined) {
      const labels = { account: name, outcome: isAdmitted ? 'admitted' : 'overQuota' };
      counter = this.metrics.counter('router_account_requests_total', 'Requests of client accounts.', labels);
      this.charges.set(key, counter);
    }
    counter.add();
  }

  /**
   * Notes a request without a valid key.
   * @param outcome - Why it was refused.
   */
  unauthorized(outcome: AuthOutcome): void {
    let counter = this.refusals.get(outcome);
    if (counter === undefined) {
      counter = this.metrics.counter('router_unauthorized_total', 'Requests without a valid key.', {
        outcome,
      });
      this.refusals.set(outcome, counter);
    }
    counter.add();
  }

  private seriesOf(account: string): string {
    if (this.accounts.has(account)) return account;
    if (this.accounts.size >= MAX_ACCOUNTS) return OTHER;
    this.accounts.add(account);
    return account;
  }
}
