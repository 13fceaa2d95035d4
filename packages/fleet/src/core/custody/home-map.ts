/** Tracks the home of each bucket, as peers report it in heartbeats. */
import { HostRole } from '@celeryyoke/platform';

import type { Membership } from '../membership/index.js';
import { chooseCustodians, pairOf } from './rendezvous.js';

const BITS_PER_BYTE = 8;

/** Homes by bucket: reported in heartbeats, named in responses, or else computed from the host list. */
export class HomeMap {
  private readonly reportedHomes = new Map<number, string>();

  /** Homes that were named in a response, until a heartbeat supersedes them. */
  private readonly hintedHomes = new Map<number, string>();

  constructor(
    private readonly buckets: number,
    private readonly membership: Membership,
    /** Greatest number of daemons that hold buckets. */
    private readonly maxCustodians: number,
  ) {}

  /** Returns the hinted or reported home, or else the one that the host list gives. */
  likelyHome(bucket: number): string | undefined {
    const hinted = this.hintedHomes.get(bucket);
    if (hinted !== undefined && this.membership.isReachable(hinted)) return hinted;
    if (this.hasReportedHome(bucket)) return this.reportedHomes.get(bucket);
    const live = this.membership.hosts(HostRole.Entry).filter((host) => this.membership.isLive(host.name));
    return pairOf(bucket, chooseCustodians(live, this.maxCustodians))?.home.name;
  }

  /** Whether a reachable peer has reported that it is the home. */
  hasReportedHome(bucket: number): boolean {
    const home = this.reportedHomes.get(bucket);
    return home !== undefined && this.membership.isReachable(home);
  }

  /** Whether any peer has reported that it is the home of any bucket. */
  hasAnyReportedHome(): boolean {
    return this.reportedHomes.size > 0;
  }

  /** Records the home that a response named. */
  addHint(bucket: number, home: string): void {
    this.hintedHomes.set(bucket, home);
  }

  /** Encodes the buckets that satisfy a predicate as a bitmap. */
  encode(isPicked: (bucket: number) => boolean): Uint8Array {
    const bits = new Uint8Array(Math.ceil(this.buckets / BITS_PER_BYTE));
    for (let bucket = 0; bucket < this.buckets; bucket += 1) {
      const byte = Math.floor(bucket / BITS_PER_BYTE);
      if (isPicked(bucket)) bits[byte] = bits[byte]! + 2 ** (bucket % BITS_PER_BYTE);
    }
    return bits;
  }

  /** Merges the bitmap of buckets whose home a peer reports to be. */
  merge(peer: string, bits: Uint8Array): void {
    for (let bucket = 0; bucket < this.buckets; bucket += 1) {
      const byte = bits[Math.floor(bucket / BITS_PER_BYTE)] ?? 0;
      const isHome = Math.floor(byte / 2 ** (bucket % BITS_PER_BYTE)) % 2 === 1;
      if (isHome || this.hintedHomes.get(bucket) === peer) this.hintedHomes.delete(bucket);
      if (isHome) this.reportedHomes.set(bucket, peer);
      else if (this.reportedHomes.get(bucket) === peer) this.reportedHomes.delete(bucket);
    }
  }
}
