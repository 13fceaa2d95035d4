/** Which daemons can't reach the replicas of which services, as each of them publishes it. */
import type { TimerService } from '@celeryyoke/core';

import type { Cluster } from '../cluster/index.js';
import { MemberState } from '../cluster/index.js';
import type { DisseminationTree, TopicHandler } from '../dissemination/index.js';
import { Topic } from '../dissemination/index.js';
import type { CutOffRow } from './types.js';

type CutOffFrame = readonly [address: string, version: number, services: readonly string[]];

/** Parts of the daemon that the table uses. */
export interface CutOffTableOptions {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'onMemberChange'>;
  readonly tree: Pick<DisseminationTree, 'register' | 'publish'>;
  readonly timers: TimerService;
}

/** Latest row of each daemon. */
export class CutOffTable {
  private readonly rows = new Map<string, CutOffRow>();

  constructor(private readonly options: CutOffTableOptions) {
    const { cluster, tree } = options;
    tree.register(Topic.CutOff, this.topic());
    cluster.onMemberChange((record, before) => {
      const isNewProcess = before !== undefined && before.incarnation !== record.incarnation;
      if (record.state === MemberState.Ended || isNewProcess) this.rows.delete(record.address);
    });
  }

  /** Whether a daemon can't reach the replicas of a service. */
  isCutOff(address: string, service: string): boolean {
    return this.rows.get(address)?.services.includes(service) ?? false;
  }

  /** Publishes whether this daemon can reach the replicas of a service. */
  setOwn(service: string, isCutOff: boolean): void {
    const { self, tree, timers } = this.options;
    const known = this.rows.get(self);
    const services = (known?.services ?? []).filter((name) => name !== service);
    // Later than what this daemon has published before it was restarted.
    const version = Math.max(timers.wall(), (known?.version ?? 0) + 1);
    const row = { address: self, version, services: isCutOff ? [...services, service] : services };
    this.rows.set(self, row);
    tree.publish(Topic.CutOff, row);
  }

  private merge(row: CutOffRow): boolean {
    const known = this.rows.get(row.address);
    const isOwn = row.address === this.options.self;
    if (isOwn || (known !== undefined && known.version >= row.version)) return false;
    this.rows.set(row.address, row);
    return true;
  }

  private topic(): TopicHandler<CutOffRow> {
    return {
      isUrgent: true,
      keyOf: ({ address }) => address,
      merge: (row) => this.merge(row),
      snapshot: () => [...this.rows.values()].filter(({ services }) => services.length > 0),
      encode: ({ address, version, services }): CutOffFrame => [address, version, services],
      decode: (frame) => {
        const [address, version, services] = frame as CutOffFrame;
        return { address, version, services };
      },
    };
  }
}
