/**
 * Reports this daemon's requests to the owners of the engines on which they run.
 *
 * A change is reported soon after it, together with others for the same owner; the whole now and then, so that an owner
 * that is new, or has missed a report, comes to know all of it.
 */
import type { TimerHandle, TimerService } from '@celeryyoke/core';

import type { Loader } from '../adapters/index.js';
import type { EngineLeases } from '../ownership/index.js';
import type { AdapterInFlight, InFlightReport, InFlightTable, ReplicaInFlight } from '../choice/index.js';
import { encodeInFlight } from '../choice/index.js';
import type { Cluster } from '../cluster/index.js';
import { MessageType } from '../cluster/index.js';

/** Time for which changes are collected, in milliseconds. */
const BATCH_MS = 15;
/** Interval of whole reports, in milliseconds. */
const WHOLE_REPORT_MS = 1000;

/** What the reporter uses of the daemon. */
export interface InFlightReporterOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'send'>;
  readonly leases: Pick<EngineLeases, 'of'>;
  readonly loader: Pick<Loader, 'setRunning' | 'use'>;
  readonly inFlight: InFlightTable;
  readonly timers: TimerService;
}

interface OpenReport {
  readonly replicas: ReplicaInFlight[];
  readonly adapters: AdapterInFlight[];
}

/** Reports requests in flight. */
export class InFlightReporter {
  /** Adapters whose counts have changed since they were reported, by replica. */
  private readonly changed = new Map<string, Set<string>>();

  /** Owners that know of requests of this daemon by the last whole report. */
  private informedOwners: readonly string[] = [];

  private flushTimer: TimerHandle | undefined;

  private readonly ticking: TimerHandle;

  /**
   * Makes a reporter that follows the table.
   * @param options - The daemon's parts.
   */
  constructor(private readonly options: InFlightReporterOptions) {
    const { inFlight, timers } = options;
    inFlight.onChange((replica, key) => this.noteChange(replica, key));
    this.ticking = timers.repeat(WHOLE_REPORT_MS, () => this.reportAll());
  }

  /** Ends the reports. */
  stop(): void {
    this.ticking.cancel();
    this.flushTimer?.cancel();
  }

  /**
   * Takes the changes on one replica out, to be sent along with another message to its owner.
   * @param replica - The replica.
   * @returns The changes that are not reported yet.
   */
  takeChanges(replica: string): InFlightReport {
    const { inFlight } = this.options;
    const keys = [...(this.changed.get(replica) ?? [])];
    this.changed.delete(replica);
    const adapters = keys.map((key) => inFlight.takeOwnUse(replica, key));
    return { isWhole: false, replicas: [inFlight.ownOf(replica)], adapters };
  }

  /**
   * Reports all requests on a replica that has another owner: that one may take an adapter away which it believes unused.
   * @param replica - The replica.
   */
  noteOwner(replica: string): void {
    const { inFlight } = this.options;
    for (const key of inFlight.ownKeys(replica)) this.noteChange(replica, key);
    if (inFlight.ownOf(replica).running > 0) this.noteChange(replica, undefined);
  }

  private noteChange(replica: string, key: string | undefined): void {
    const { leases, self, timers, loader, inFlight } = this.options;
    const owner = leases.of(replica)?.holder;
    if (owner === undefined) return;
    if (owner === self) {
      if (key !== undefined) this.countHere(replica, key);
      loader.setRunning(replica, () => inFlight.runningByAdapter(replica));
      return;
    }
    const keys = this.changed.get(replica) ?? new Set<string>();
    this.changed.set(replica, keys);
    if (key !== undefined) keys.add(key);
    this.flushTimer ??= timers.after(BATCH_MS, () => this.flush());
  }

  private countHere(replica: string, key: string): void {
    const { begun } = this.options.inFlight.takeOwnUse(replica, key);
    if (begun > 0) this.options.loader.use(replica, key, begun);
  }

  private flush(): void {
    this.flushTimer = undefined;
    const reports = new Map<string, OpenReport>();
    for (const replica of [...this.changed.keys()]) {
      const owner = this.options.leases.of(replica)?.holder;
      const { replicas, adapters } = this.takeChanges(replica);
      if (owner !== undefined && owner !== this.options.self) add(reports, owner, replicas, adapters);
    }
    this.send(reports, false);
  }

  private reportAll(): void {
    const { inFlight, leases, self } = this.options;
    const reports = new Map<string, OpenReport>();
    // One that was told of requests hears also that there are none any more.
    for (const owner of this.informedOwners) add(reports, owner, [], []);
    for (const replica of inFlight.ownReplicas()) {
      const owner = leases.of(replica)?.holder;
      if (owner === undefined || owner === self) continue;
      this.changed.delete(replica);
      const adapters = inFlight.ownKeys(replica).map((key) => inFlight.takeOwnUse(replica, key));
      add(reports, owner, [inFlight.ownOf(replica)], adapters);
    }
    this.send(reports, true);
    this.informedOwners = [...reports]
      .filter(([, { replicas }]) => replicas.length > 0)
      .map(([owner]) => owner);
  }

  private send(reports: ReadonlyMap<string, OpenReport>, isWhole: boolean): void {
    for (const [owner, { replicas, adapters }] of reports) {
      const report: InFlightReport = { isWhole, replicas, adapters };
      this.options.cluster.send(owner, MessageType.InFlight, encodeInFlight(report));
    }
  }
}

function add(
  reports: Map<string, OpenReport>,
  owner: string,
  replicas: readonly ReplicaInFlight[],
  adapters: readonly AdapterInFlight[],
): void {
  const report = reports.get(owner) ?? { replicas: [], adapters: [] };
  reports.set(owner, report);
  report.replicas.push(...replicas);
  report.adapters.push(...adapters);
}
