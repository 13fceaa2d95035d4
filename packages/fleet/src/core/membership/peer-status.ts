/** Which peers were heard, and when. */
import type { TimerService } from '@celeryyoke/core';

import type { PeerEvent } from '../peers/index.js';
import { PeerEventKind } from '../peers/index.js';

/** What is known of one peer. */
interface HeardPeer {
  incarnation: number | undefined;
  heardAt: number;
  isLost: boolean;
  /** Digest of the live entry hosts that the peer lists. */
  digest: string;
}

/** The peers that were heard. */
export class HeardPeers {
  private readonly peers = new Map<string, HeardPeer>();

  constructor(
    private readonly timers: TimerService,
    private readonly suspectMs: number,
  ) {}

  /**
   * Takes in news of a link.
   * @param event - The news.
   * @returns Whether the peer's incarnation changed.
   */
  note({ kind, name, peer }: PeerEvent): boolean {
    const known = this.peers.get(name) ?? {
      incarnation: undefined,
      heardAt: -Infinity,
      isLost: false,
      digest: '',
    };
    this.peers.set(name, known);
    known.isLost = kind === PeerEventKind.Lost;
    if (peer === undefined || known.isLost) return false;
    known.heardAt = this.timers.now();
    const isNew = known.incarnation !== peer.incarnation;
    known.incarnation = peer.incarnation;
    return isNew;
  }

  /**
   * Notes which entry hosts a peer lists.
   * @param name - The peer.
   * @param digest - Digest of its live entry hosts.
   */
  noteDigest(name: string, digest: string): void {
    const known = this.peers.get(name);
    if (known !== undefined) known.digest = digest;
  }

  /** Whether a peer answers heartbeats and lists the same entry hosts. */
  agrees(name: string, digest: string): boolean {
    return this.answers(name) && this.peers.get(name)?.digest === digest;
  }

  /** Incarnation of a peer. */
  incarnation(name: string): number | undefined {
    return this.peers.get(name)?.incarnation;
  }

  /** Whether a peer to which a link is kept answers heartbeats. */
  answers(name: string): boolean {
    const known = this.peers.get(name);
    return known !== undefined && this.timers.now() - known.heardAt <= this.suspectMs;
  }

  /** Whether the last link to a peer broke or could not be made. */
  isLost(name: string): boolean {
    return this.peers.get(name)?.isLost ?? false;
  }

  /**
   * Forgets peers.
   * @param isKept - Whether a peer is still listed.
   */
  prune(isKept: (name: string) => boolean): void {
    for (const name of this.peers.keys()) if (!isKept(name)) this.peers.delete(name);
  }
}
