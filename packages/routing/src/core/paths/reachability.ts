/** Which replicas this daemon has reached over connections of its own, and which not. */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { ReplicaRegistry } from '../view/index.js';

/** What the latest evidence says of the path to one replica. */
interface PathRecord {
  /** Monotonic time of the latest response or established connection, in milliseconds. */
  reachedAt: number;
  /** Monotonic time since which connections have failed, in milliseconds; undefined after a success. */
  failingSince: number | undefined;
}

/** Options of {@link ReachabilityTable}. */
export interface ReachabilityOptions {
  readonly registry: Pick<ReplicaRegistry, 'replica' | 'readyReplicas' | 'onReplica'>;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

/** Evidence about the paths to all replicas, by incarnation. */
export class ReachabilityTable {
  private readonly records = new Map<string, PathRecord>();

  constructor(private readonly options: ReachabilityOptions) {
    options.registry.onReplica((id, entry) => {
      if (entry === undefined) this.records.delete(id);
    });
  }

  /** Records that a replica accepted a connection or responded. */
  recordReached(replica: string): void {
    const record = this.recordOf(replica);
    const { failingSince } = record;
    record.reachedAt = this.options.timers.now();
    record.failingSince = undefined;
    if (failingSince !== undefined)
      this.logChange(replica, 'is reached again', record.reachedAt - failingSince);
  }

  /** Records that no connection to a replica could be established. */
  recordFailure(replica: string, reason: string): void {
    const record = this.recordOf(replica);
    if (record.failingSince !== undefined) return;
    const now = this.options.timers.now();
    record.failingSince = now;
    this.logChange(replica, `can't be reached (${reason})`, now - record.reachedAt);
  }

  /** Whether the latest connection to a replica failed. */
  isFailing(replica: string): boolean {
    return this.records.get(replica)?.failingSince !== undefined;
  }

  private recordOf(replica: string): PathRecord {
    const known = this.records.get(replica);
    if (known !== undefined) return known;
    const created: PathRecord = { reachedAt: this.options.timers.now(), failingSince: undefined };
    this.records.set(replica, created);
    return created;
  }

  private logChange(replica: string, change: string, forMs: number): void {
    const { registry, log } = this.options;
    const service = registry.replica(replica)?.service;
    const all = service === undefined ? [] : registry.readyReplicas(service);
    log.decide('replica.path', `Replica ${replica} ${change}.`, {
      replica,
      service,
      forMs: Math.round(forMs),
      failing: all.filter(({ id }) => this.isFailing(id)).length,
      replicas: all.length,
    });
  }
}
