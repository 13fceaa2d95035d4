/** Who is the home of each bucket, as the peers' heartbeats tell it. */
import { HostRole } from '@celeryyoke/platform';

import type { Membership } from '../membership/index.js';
import { chooseKeepers, pairOf } from './rendezvous.js';

const BITS = 8;

/** Homes by bucket. */
export class HomeMap {
  private readonly told = new Map<number, string>();

  /** Homes that were named in an answer, until a heartbeat tells better. */
  private readonly hinted = new Map<number, string>();

  constructor(
    private readonly buckets: number,
    private readonly membership: Membership,
    /** Most daemons that keep buckets. */
    private readonly keepers: number,
  ) {}

  /** Finds the home that was told, or else the one that the host list suggests. */
  find(bucket: number): string | undefined {
    const hinted = this.hinted.get(bucket);
    if (hinted !== undefined && this.membership.isReachable(hinted)) return hinted;
    if (this.isTold(bucket)) return this.told.get(bucket);
    const live = this.membership.hosts(HostRole.Entry).filter((host) => this.membership.isLive(host.name));
    return pairOf(bucket, chooseKeepers(live, this.keepers))?.home.name;
  }

  /** Whether a peer that can be reached says that it is the home. */
  isTold(bucket: number): boolean {
    const home = this.told.get(bucket);
    return home !== undefined && this.membership.isReachable(home);
  }

  /** Whether any peer has said that it is the home of any bucket. */
  isAnyTold(): boolean {
    return this.told.size > 0;
  }

  /** Notes a home that an answer named. */
  hint(bucket: number, home: string): void {
    this.hinted.set(bucket, home);
  }

  /** Packs the buckets that a test picks, one bit each. */
  encode(isPicked: (bucket: number) => boolean): Uint8Array {
    const bits = new Uint8Array(Math.ceil(this.buckets / BITS));
    for (let bucket = 0; bucket < this.buckets; bucket += 1) {
      const byte = Math.floor(bucket / BITS);
      if (isPicked(bucket)) bits[byte] = bits[byte]! + 2 ** (bucket % BITS);
    }
    return bits;
  }

  /** Takes in the buckets whose home a peer says it is. */
  absorb(peer: string, bits: Uint8Array): void {
    for (let bucket = 0; bucket < this.buckets; bucket += 1) {
      const byte = bits[Math.floor(bucket / BITS)] ?? 0;
      const isHome = Math.floor(byte / 2 ** (bucket % BITS)) % 2 === 1;
      if (isHome || this.hinted.get(bucket) === peer) this.hinted.delete(bucket);
      if (isHome) this.told.set(bucket, peer);
      else if (this.told.get(bucket) === peer) this.told.delete(bucket);
    }
  }
}
