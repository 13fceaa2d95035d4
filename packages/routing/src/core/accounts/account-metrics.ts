/** Counters of requests by client account, and of rejected credentials by reason. */
import type { Counter, Metrics } from '@celeryyoke/core';

import type { AuthOutcome } from './authentication.js';

/** Maximum number of accounts with a label value of their own; all further accounts share one value. */
const MAX_LABELLED_ACCOUNTS = 20;
const OTHER_ACCOUNTS_LABEL = 'other';

/** Counts requests by account, and rejected credentials by reason. */
export class AccountMetrics {
  private readonly requestCounters = new Map<string, Counter>();

  private readonly labelledAccounts = new Set<string>();

  private readonly unauthorizedCounters = new Map<AuthOutcome, Counter>();

  constructor(private readonly metrics: Metrics) {}

  /** Counts a request that the quota of its account admitted or refused. */
  countRequest(account: string, isAdmitted: boolean): void {
    const name = this.labelOf(account);
    const key = `${name} ${isAdmitted}`;
    let counter = this.requestCounters.get(key);
    if (counter === undefined) {
      const labels = { account: name, outcome: isAdmitted ? 'admitted' : 'overQuota' };
      counter = this.metrics.counter('router_account_requests_total', 'Requests of client accounts.', labels);
      this.requestCounters.set(key, counter);
    }
    counter.add();
  }

  /** Counts a request that was rejected for its credentials. */
  countUnauthorized(outcome: AuthOutcome): void {
    let counter = this.unauthorizedCounters.get(outcome);
    if (counter === undefined) {
      counter = this.metrics.counter('router_unauthorized_total', 'Requests without a valid key.', {
        outcome,
      });
      this.unauthorizedCounters.set(outcome, counter);
    }
    counter.add();
  }

  private labelOf(account: string): string {
    if (this.labelledAccounts.has(account)) return account;
    if (this.labelledAccounts.size >= MAX_LABELLED_ACCOUNTS) return OTHER_ACCOUNTS_LABEL;
    this.labelledAccounts.add(account);
    return account;
  }
}
