/**
 * Reports this daemon's requests in flight to the owners of the engines on which they run.
 *
 * Changes are reported in small batches per owner; full reports follow at an interval, so that an owner that
 * is new, or has missed a report, gets the complete state.
 */
import type { TimerHandle, TimerService } from '@celeryyoke/core';

import type { AdapterLoader } from '../adapters/index.js';
import type { EngineLeases } from '../ownership/index.js';
import type { AdapterInFlight, InFlightReport, InFlightTable, ReplicaInFlight } from '../choice/index.js';
import { encodeInFlight } from '../choice/index.js';
import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';

/** Time for which changes are collected before they are reported, in milliseconds. */
const BATCH_MS = 15;
/** Interval of full reports, in milliseconds. */
const FULL_REPORT_MS = 1000;

/** What the reporter uses of the daemon. */
export interface InFlightReporterOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'send'>;
  readonly leases: Pick<EngineLeases, 'leaseOf'>;
  readonly loader: Pick<AdapterLoader, 'setRunning' | 'recordUses'>;
  readonly inFlight: InFlightTable;
  readonly timers: TimerService;
}

interface ReportDraft {
  readonly replicas: ReplicaInFlight[];
  readonly adapters: AdapterInFlight[];
}

/** Follows the table of requests in flight and reports it to the owners of engines. */
export class InFlightReporter {
  /** Adapters whose counts have changed since they were last reported, by replica. */
  private readonly changed = new Map<string, Set<string>>();

  /** Owners to which the last full report listed requests. */
  private informedOwners: readonly string[] = [];

  private flushTimer: TimerHandle | undefined;

  private readonly fullReportTimer: TimerHandle;

  constructor(private readonly options: InFlightReporterOptions) {
    const { inFlight, timers } = options;
    inFlight.onChange((replica, key) => this.recordChange(replica, key));
    this.fullReportTimer = timers.repeat(FULL_REPORT_MS, () => this.reportAll());
  }

  /** Cancels the timers. */
  stop(): void {
    this.fullReportTimer.cancel();
    this.flushTimer?.cancel();
  }

  /**
   * Removes and returns the unreported changes on a replica, to be sent along with another message to its
   * owner.
   */
  takeChanges(replica: string): InFlightReport {
    const { inFlight } = this.options;
    const keys = [...(this.changed.get(replica) ?? [])];
    this.changed.delete(replica);
    const adapters = keys.map((key) => inFlight.collectOwnAdapterUse(replica, key));
    return { isWhole: false, replicas: [inFlight.ownCountsOf(replica)], adapters };
  }

  /**
   * Reports all requests on a replica to its new owner, which might otherwise unload an adapter that it
   * considers unused.
   */
  reportToOwner(replica: string): void {
    const { inFlight } = this.options;
    for (const key of inFlight.ownAdapterKeys(replica)) this.recordChange(replica, key);
    if (inFlight.ownCountsOf(replica).running > 0) this.recordChange(replica, undefined);
  }

  private recordChange(replica: string, key: string | undefined): void {
    const { leases, self, timers, loader, inFlight } = this.options;
    const owner = leases.leaseOf(replica)?.holder;
    if (owner === undefined) return;
    if (owner === self) {
      if (key !== undefined) this.countLocally(replica, key);
      loader.setRunning(replica, () => inFlight.runningByAdapter(replica));
      return;
    }
    const keys = this.changed.get(replica) ?? new Set<string>();
    this.changed.set(replica, keys);
    if (key !== undefined) keys.add(key);
    this.flushTimer ??= timers.after(BATCH_MS, () => this.flush());
  }

  private countLocally(replica: string, key: string): void {
    const { begun } = this.options.inFlight.collectOwnAdapterUse(replica, key);
    if (begun > 0) this.options.loader.recordUses(replica, key, begun);
  }

  private flush(): void {
    this.flushTimer = undefined;
    const reports = new Map<string, ReportDraft>();
    for (const replica of [...this.changed.keys()]) {
      const owner = this.options.leases.leaseOf(replica)?.holder;
      const { replicas, adapters } = this.takeChanges(replica);
      if (owner !== undefined && owner !== this.options.self) addToReport(reports, owner, replicas, adapters);
    }
    this.send(reports, false);
  }

  private reportAll(): void {
    const { inFlight, leases, self } = this.options;
    const reports = new Map<string, ReportDraft>();
    // An owner that received reports of requests must also receive the report that none are left.
    for (const owner of this.informedOwners) addToReport(reports, owner, [], []);
    for (const replica of inFlight.ownReplicas()) {
      const owner = leases.leaseOf(replica)?.holder;
      if (owner === undefined || owner === self) continue;
      this.changed.delete(replica);
      const adapters = inFlight
        .ownAdapterKeys(replica)
        .map((key) => inFlight.collectOwnAdapterUse(replica, key));
      addToReport(reports, owner, [inFlight.ownCountsOf(replica)], adapters);
    }
    this.send(reports, true);
    this.informedOwners = [...reports]
      .filter(([, { replicas }]) => replicas.length > 0)
      .map(([owner]) => owner);
  }

  private send(reports: ReadonlyMap<string, ReportDraft>, isWhole: boolean): void {
    for (const [owner, { replicas, adapters }] of reports) {
      const report: InFlightReport = { isWhole, replicas, adapters };
      this.options.cluster.send(owner, MessageType.InFlightReport, encodeInFlight(report));
    }
  }
}

function addToReport(
  reports: Map<string, ReportDraft>,
  owner: string,
  replicas: readonly ReplicaInFlight[],
  adapters: readonly AdapterInFlight[],
): void {
  const report = reports.get(owner) ?? { replicas: [], adapters: [] };
  reports.set(owner, report);
  report.replicas.push(...replicas);
  report.adapters.push(...adapters);
}
