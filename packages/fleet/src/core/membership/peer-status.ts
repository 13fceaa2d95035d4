/** Tracks the incarnation, last heartbeat and published view of each peer. */
import type { TimerService } from '@celeryyoke/core';

import type { PeerEvent } from '../peers/index.js';
import { PeerEventKind } from '../peers/index.js';

/** Status of one peer. */
interface PeerStatus {
  incarnation: number | undefined;
  lastSeenAt: number;
  isLinkLost: boolean;
  /** Digest of the live entry hosts in the peer's view; empty until it was published. */
  digest: string;
}

/** Status of the peers by name, updated from link events and heartbeats. */
export class PeerStatusTable {
  private readonly peers = new Map<string, PeerStatus>();

  constructor(
    private readonly timers: TimerService,
    private readonly suspectMs: number,
  ) {}

  /**
   * Updates the status of a peer from an event of its link.
   * @returns Whether the peer's incarnation changed.
   */
  recordEvent({ kind, name, peer }: PeerEvent): boolean {
    const known = this.peers.get(name) ?? {
      incarnation: undefined,
      lastSeenAt: -Infinity,
      isLinkLost: false,
      digest: '',
    };
    this.peers.set(name, known);
    known.isLinkLost = kind === PeerEventKind.Lost;
    if (peer === undefined || known.isLinkLost) return false;
    known.lastSeenAt = this.timers.now();
    const isNew = known.incarnation !== peer.incarnation;
    known.incarnation = peer.incarnation;
    return isNew;
  }

  /** Records the digest of the live entry hosts in a peer's view. */
  setDigest(name: string, digest: string): void {
    const known = this.peers.get(name);
    if (known !== undefined) known.digest = digest;
  }

  /** Whether a peer responds to heartbeats and its view has the same live entry hosts. */
  hasSameEntries(name: string, digest: string): boolean {
    return this.isResponsive(name) && this.peers.get(name)?.digest === digest;
  }

  /** Last known incarnation of a peer; undefined when it was never authenticated. */
  incarnationOf(name: string): number | undefined {
    return this.peers.get(name)?.incarnation;
  }

  /** Whether a peer to which a link is kept has exchanged a heartbeat within `suspectMs`. */
  isResponsive(name: string): boolean {
    const known = this.peers.get(name);
    return known !== undefined && this.timers.now() - known.lastSeenAt <= this.suspectMs;
  }

  /** Whether the last connection to a peer failed or could not be established. */
  isLinkLost(name: string): boolean {
    return this.peers.get(name)?.isLinkLost ?? false;
  }

  /**
   * Removes the peers that are no longer listed.
   * @param isListed - Whether a peer is still listed.
   */
  retain(isListed: (name: string) => boolean): void {
    for (const name of this.peers.keys()) if (!isListed(name)) this.peers.delete(name);
  }
}
