/** Polls the reports of an engine, bounds the age of their content and tracks whether the engine responds. */
import type { Log, Task, TimerService } from '@celeryyoke/core';
import { runTask } from '@celeryyoke/core';
import type { EngineClient, EngineReport } from '@celeryyoke/platform';

/** The engine counts as unhealthy after this many consecutive failed reads. */
const MAX_MISSED_REPORTS = 5;
/** Timeout of a read, in polling intervals. */
const REPORT_TIMEOUT_INTERVALS = 4;

/** A report with a bound on its age. */
export interface TimedReport {
  readonly report: EngineReport;
  /** Monotonic milliseconds; the report shows the engine as it was at this time or later. */
  readonly observedAt: number;
}

export interface ReportPollerOptions {
  readonly engine: string;
  readonly client: EngineClient;
  readonly timers: TimerService;
  readonly log: Log;
  /** Polling interval. */
  readonly reportMs: number;
  /** Assumed minimum age of a report's content, whatever age the engine states. */
  readonly reportLagMs: number;
  readonly onReport: (timed: TimedReport) => void;
  /** Called when `isHealthy` changes. */
  readonly onHealthChange: () => void;
}

/** Polls the reports of one engine. */
export class ReportPoller {
  private readonly task: Task<never>;

  private waiters: (() => void)[] = [];

  private consecutiveMisses = 0;

  private hasReport = false;

  constructor(private readonly options: ReportPollerOptions) {
    this.task = runTask((signal) => this.poll(signal));
  }

  /** Whether the engine has reported and its recent reads have not all failed. */
  isHealthy(): boolean {
    return this.hasReport && this.consecutiveMisses < MAX_MISSED_REPORTS;
  }

  /** Whether enough reads have ended to say if the engine is healthy. */
  isHealthKnown(): boolean {
    return this.hasReport || this.consecutiveMisses >= MAX_MISSED_REPORTS;
  }

  /** Resolves when the next report has been processed, or when the poller stops. */
  nextReport(): Promise<void> {
    return new Promise((resolve) => {
      this.waiters.push(resolve);
    });
  }

  async stop(): Promise<void> {
    await this.task.stop();
    this.resolveWaiters();
  }

  private *poll(signal: AbortSignal): Generator<unknown, never> {
    const { client, timers, reportMs } = this.options;
    for (;;) {
      const askedAt = timers.now();
      try {
        const report = (yield client.report(reportMs * REPORT_TIMEOUT_INTERVALS)) as EngineReport;
        this.handleReport(report, askedAt);
      } catch (err) {
        signal.throwIfAborted();
        this.handleFailure(err);
      }
      yield timers.sleep(reportMs, signal);
    }
  }

  private handleReport(report: EngineReport, askedAt: number): void {
    const { reportLagMs, onReport, onHealthChange } = this.options;
    const wasHealthy = this.isHealthy();
    this.hasReport = true;
    this.consecutiveMisses = 0;
    onReport({ report, observedAt: askedAt - Math.max(report.ageMs, reportLagMs) });
    if (!wasHealthy) onHealthChange();
    this.resolveWaiters();
  }

  private handleFailure(err: unknown): void {
    const { engine, log, onHealthChange } = this.options;
    this.consecutiveMisses += 1;
    if (this.consecutiveMisses !== MAX_MISSED_REPORTS) return;
    log.warn(`Engine ${engine} counts as unhealthy: ${err instanceof Error ? err.message : String(err)}.`);
    onHealthChange();
  }

  private resolveWaiters(): void {
    const waiters = this.waiters.splice(0);
    for (const waiter of waiters) waiter();
  }
}
