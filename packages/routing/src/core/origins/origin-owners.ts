/** Assigns the record of each stream to some daemons, so that it outlives the daemon that made it. */
import { hash32 } from '@celeryyoke/core';

import type { Cluster } from '../cluster/index.js';
import { rendezvousOwners } from '../ownership/index.js';

/** Daemons that hold a record. */
const OWNERS = 3;
/** Parts that streams are divided into; they bound how many daemons each daemon sends records to. */
const PARTITIONS = 16;

/** Owners of records among the daemons that this daemon knows to be alive; cached until that list changes. */
export class OriginOwners {
  private lastAlive: readonly string[] = [];

  private readonly byPartition = new Map<number, readonly string[]>();

  constructor(private readonly cluster: Pick<Cluster, 'aliveAddresses' | 'member'>) {}

  /**
   * Returns the addresses of the daemons that hold the records of streams.
   * @param request - Fingerprint of their request.
   */
  ownersOf(request: string): readonly string[] {
    const alive = this.cluster.aliveAddresses();
    if (alive !== this.lastAlive) {
      this.lastAlive = alive;
      this.byPartition.clear();
    }
    const partition = hash32(request) % PARTITIONS;
    const cached = this.byPartition.get(partition);
    if (cached !== undefined) return cached;
    const members = alive.map((address) => ({ address, zone: this.cluster.member(address)?.zone }));
    const owners = rendezvousOwners(`origins-${partition}`, members, OWNERS);
    this.byPartition.set(partition, owners);
    return owners;
  }
}
