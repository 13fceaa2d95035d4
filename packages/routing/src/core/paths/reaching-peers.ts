/** Peers that are alive and, as far as they have said, not cut off from the replicas of a service. */
import type { Cluster } from '../cluster/index.js';
import { MemberState } from '../cluster/index.js';
import type { CutOffTable } from './cut-off-table.js';

/** What tells which peers there are. */
export interface PeerSource {
  /** Address of this daemon. */
  readonly self: string;
  readonly cluster: Pick<Cluster, 'aliveAddresses' | 'state'>;
  readonly table: Pick<CutOffTable, 'isCutOff'>;
}

/** Returns the addresses of such peers. */
export function reachingPeers({ self, cluster, table }: PeerSource, service: string): string[] {
  return cluster
    .aliveAddresses()
    .filter(
      (address) =>
        address !== self && cluster.state(address) === MemberState.Alive && !table.isCutOff(address, service),
    );
}
