/** A kind of limit that replicas declare in their responses; daemons tell each other its changes. */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { DisseminationTree, Topic, TopicHandler } from '../dissemination/index.js';
import type { ReplicaRegistry } from '../view/index.js';
import type { LimitFrame } from './limit-codec.js';
import { decodeLimit, encodeLimit } from './limit-codec.js';
import { LimitTable } from './limit-table.js';
import type { ReplicaLimitRow } from './types.js';

/** Options of {@link SharedLimits}. */
export interface SharedLimitsOptions {
  /** Topic under which the rows are published. */
  readonly topic: Topic;
  /** What is limited, for the log. */
  readonly unit: string;
  readonly tree: Pick<DisseminationTree, 'register' | 'publish'>;
  readonly registry: Pick<ReplicaRegistry, 'onReplica' | 'replica'>;
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Called when a replica declares no limit any more, or is removed. */
  readonly onEnded: (replica: string) => void;
}

/** Rows of all replicas that have declared such a limit. */
export class SharedLimits {
  private readonly table: LimitTable;

  constructor(private readonly options: SharedLimitsOptions) {
    const { topic, tree, registry, timers, onEnded } = options;
    this.table = new LimitTable(timers);
    tree.register(topic, this.handler());
    registry.onReplica((id, entry) => {
      if (entry !== undefined) return;
      this.table.forget(id);
      onEnded(id);
    });
  }

  /** Returns the row of a replica; undefined when it never declared a limit. */
  get(replica: string): ReplicaLimitRow | undefined {
    return this.table.get(replica);
  }

  /** Returns the limit of a replica per second; undefined when it declares none. */
  rate(replica: string): number | undefined {
    return this.table.rate(replica);
  }

  /**
   * Updates the limit of a replica from a response, and publishes a change.
   * @param ratePerSecond - The limit in the response; undefined when it declares none.
   * @param sentAt - Monotonic time at which the request was sent, in milliseconds.
   */
  updateFromResponse(replica: string, ratePerSecond: number | undefined, sentAt: number): void {
    const row = this.table.updateFromResponse(replica, ratePerSecond, sentAt);
    if (row === undefined) return;
    this.applyChange(row);
    this.options.tree.publish(this.options.topic, row);
  }

  /**
   * Merges a row of another daemon.
   * @returns Whether it replaced the known one.
   */
  merge(row: ReplicaLimitRow): boolean {
    const isNewer = this.table.merge(row);
    if (isNewer) this.applyChange(row);
    return isNewer;
  }

  private applyChange({ replica, ratePerSecond, version }: ReplicaLimitRow): void {
    const { unit, log, onEnded } = this.options;
    if (ratePerSecond === undefined) onEnded(replica);
    const text =
      ratePerSecond === undefined
        ? `Replica ${replica} no longer declares a limit of ${unit}.`
        : `Replica ${replica} declares a limit of ${ratePerSecond} ${unit} per second.`;
    log.decide('replica.limit', text, { replica, unit, ratePerSecond, version });
  }

  private handler(): TopicHandler<ReplicaLimitRow> {
    const { registry } = this.options;
    return {
      isUrgent: true,
      keyOf: ({ replica }) => replica,
      merge: (row) => this.merge(row),
      snapshot: () => this.table.rows().filter(({ replica }) => registry.replica(replica) !== undefined),
      encode: encodeLimit,
      decode: (wire) => decodeLimit(wire as LimitFrame),
    };
  }
}
