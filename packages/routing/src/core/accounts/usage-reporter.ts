/** Reports to the owners of accounts the usage that this daemon admitted without asking them. */
import type { TimerHandle, TimerService } from '@celeryyoke/core';

import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';
import type { UsageReport } from './quota-messages.js';
import { encodeUsage } from './quota-messages.js';

/** Time for which usage is collected before it is reported, in milliseconds. */
const BATCH_MS = 20;
/** Timeout of the owner's receipt, in milliseconds. */
const RECEIPT_TIMEOUT_MS = 300;
/** Delay before unacknowledged usage is reported again, in milliseconds. */
const RETRY_DELAY_MS = 200;
/**
 * Time for which an owner counts as unreachable after a report that it did not acknowledge, in milliseconds.
 */
const UNREACHABLE_MS = 1000;

/** What the reporter uses of the daemon. */
export interface UsageReporterOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'request'>;
  readonly timers: TimerService;
  readonly ownerOf: (account: string) => string;
  /** Whether this daemon knows the fleet well enough to determine owners; usage is held back until then. */
  readonly areOwnersKnown: () => boolean;
  /** Called with the owner's receipt, still encoded. */
  readonly onReceipt: (receipt: unknown) => void;
  /** Called with the usage of an account that this daemon owns itself. */
  readonly onOwnUsage: (report: UsageReport) => void;
}

/** Collects usage by account and reports it in batches until the owner acknowledges it. */
export class UsageReporter {
  private readonly pending = new Map<string, number>();

  /** Units reported but not yet acknowledged, by account. */
  private readonly unacknowledged = new Map<string, number>();

  private readonly unreachableUntil = new Map<string, number>();

  private flushTimer: TimerHandle | undefined;

  constructor(private readonly options: UsageReporterOptions) {}

  /** Cancels the next report. */
  stop(): void {
    this.flushTimer?.cancel();
  }

  /**
   * Adds usage to the next report.
   * @param units - Below 0 for a refund.
   */
  add(account: string, units: number): void {
    this.pending.set(account, (this.pending.get(account) ?? 0) + units);
    this.schedule(BATCH_MS);
  }

  /** Whether the owner of an account has recently failed to acknowledge a report. */
  isUnreachable(account: string): boolean {
    const until = this.unreachableUntil.get(this.options.ownerOf(account));
    return until !== undefined && this.options.timers.now() < until;
  }

  /** Units of an account that its owner has not acknowledged, reported or not. */
  unconfirmedUnits(account: string): number {
    return (this.pending.get(account) ?? 0) + (this.unacknowledged.get(account) ?? 0);
  }

  private schedule(ms: number): void {
    this.flushTimer ??= this.options.timers.after(ms, () => this.flush());
  }

  private flush(): void {
    this.flushTimer = undefined;
    if (!this.options.areOwnersKnown()) {
      this.schedule(BATCH_MS);
      return;
    }
    const byOwner = new Map<string, UsageReport[]>();
    for (const [account, units] of this.pending) {
      const owner = this.options.ownerOf(account);
      byOwner.set(owner, [...(byOwner.get(owner) ?? []), { account, units }]);
    }
    this.pending.clear();
    for (const [owner, reports] of byOwner) void this.report(owner, reports);
  }

  private async report(owner: string, reports: readonly UsageReport[]): Promise<void> {
    const { self, cluster, timers, onOwnUsage, onReceipt } = this.options;
    if (owner === self) {
      for (const report of reports) onOwnUsage(report);
      return;
    }
    for (const { account, units } of reports) this.addUnacknowledged(account, units);
    try {
      onReceipt(
        await cluster.request(owner, MessageType.QuotaUsage, encodeUsage(reports), RECEIPT_TIMEOUT_MS),
      );
      this.unreachableUntil.delete(owner);
    } catch {
      // The owner may have received the report and only the receipt was lost. Reporting again may count usage
      // twice, which never exceeds the quota; not reporting again might.
      this.unreachableUntil.set(owner, timers.now() + UNREACHABLE_MS);
      for (const { account, units } of reports)
        this.pending.set(account, (this.pending.get(account) ?? 0) + units);
      this.schedule(RETRY_DELAY_MS);
    } finally {
      for (const { account, units } of reports) this.addUnacknowledged(account, -units);
    }
  }

  private addUnacknowledged(account: string, units: number): void {
    const sum = (this.unacknowledged.get(account) ?? 0) + units;
    if (sum === 0) this.unacknowledged.delete(account);
    else this.unacknowledged.set(account, sum);
  }
}
