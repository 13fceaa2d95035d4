/** What peers announce, and which of them are not asked for a while. */
import { hash32 } from '@celeryyoke/core';

import type { Announcement, DistributionSettings, PeerConfigStatus } from './types.js';

/** A peer's announcement. */
export interface PeerAnnouncement extends Announcement {
  readonly peer: string;
}

interface HeardAnnouncement extends PeerAnnouncement {
  readonly heardAt: number;
}

/** Options of the book. */
export interface PeerBookOptions {
  readonly settings: DistributionSettings;
  /** Reads the monotonic clock in milliseconds. */
  readonly now: () => number;
  /** Live daemons other than this one. */
  readonly livePeers: () => readonly string[];
  readonly self: string;
}

/** Daemons that share one reader of a part, about. */
const ASKERS_PER_READER = 32;

/** Sorts names by the hash of each with a text, highest first. */
function rank(names: readonly string[], text: string): string[] {
  const weighed = names.map((name) => ({ name, weight: hash32(`${text}/${name}`) }));
  weighed.sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1));
  return weighed.map(({ name }) => name);
}

/** The book of one daemon. */
export class PeerBook {
  private readonly heard = new Map<string, HeardAnnouncement>();

  private readonly avoidedUntil = new Map<string, number>();

  constructor(private readonly options: PeerBookOptions) {}

  /** Notes an announcement. */
  note(peer: string, announcement: Announcement): void {
    this.heard.set(peer, { ...announcement, peer, heardAt: this.options.now() });
  }

  /** Stops asking a peer for a while. */
  avoid(peer: string): void {
    this.avoidedUntil.set(peer, this.options.now() + this.options.settings.avoidMs);
  }

  /** Announcements that still count, newest revision first. */
  announced(): PeerAnnouncement[] {
    const { now, settings } = this.options;
    const oldest = now() - settings.peerMemoryMs;
    for (const [peer, { heardAt }] of this.heard) if (heardAt < oldest) this.heard.delete(peer);
    return [...this.heard.values()].sort((left, right) => right.revision - left.revision);
  }

  /** The announcement with the least schema; undefined when no peer was heard. */
  leastSchema(): PeerAnnouncement | undefined {
    return this.announced().reduce<PeerAnnouncement | undefined>(
      (least, one) => (least === undefined || one.schema < least.schema ? one : least),
      undefined,
    );
  }

  /** Peers that have a set in force, in an order of this daemon's own, so that askers spread. */
  holdersOf(digest: string, part: string): string[] {
    const holders = this.announced().filter((one) => one.digest === digest);
    const names = holders.map(({ peer }) => peer).filter((peer) => !this.isAvoided(peer));
    return rank(names, `${part}/${this.options.self}`);
  }

  /**
   * The daemon that reads a part from the service on behalf of this one. Every daemon computes the same few
   * readers of a part, so that the service's reads hardly grow with the fleet, and spreads over them by its own
   * name, so that no reader is asked by all.
   */
  readerOf(part: string): string {
    const { livePeers, self } = this.options;
    const ranked = rank([self, ...livePeers()], part);
    const readers = ranked.slice(0, Math.ceil(ranked.length / ASKERS_PER_READER));
    if (readers.includes(self)) return self;
    return readers[hash32(self) % readers.length]!;
  }

  /** Whether a peer is not asked now. */
  isAvoided(peer: string): boolean {
    return (this.avoidedUntil.get(peer) ?? -Infinity) > this.options.now();
  }

  /** The announcements as an operator sees them. */
  status(): PeerConfigStatus[] {
    return this.announced().map(({ peer, revision, digest, since }) => ({
      peer,
      revision,
      digest,
      since: since === 0 ? '' : new Date(since).toISOString(),
    }));
  }
}
