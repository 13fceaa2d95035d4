/**
 * The new owner's side of a handover: requests releases from daemons that may have been the previous owner.
 */
import type { TimerService } from '@celeryyoke/core';

import type { Moment } from '../membership/clocks.js';
import { elapsedSince, readClocks } from '../membership/clocks.js';
import type { PeerBus } from '../peers/index.js';
import type { OwnershipTimes } from './types.js';
import type { Release } from './wire.js';
import { parseReleaseResponse, RELEASE_PROCEDURE } from './wire.js';

export interface ReleaseRequesterOptions {
  readonly bus: PeerBus;
  readonly timers: TimerService;
  readonly times: OwnershipTimes;
  /** Called when a peer responds that it has departed: it has given up all its resources for good. */
  readonly onDeparted: (peer: string, requestedAt: Moment) => void;
  /** Called for each release that is still valid when the response arrives. */
  readonly onReleased: (peer: string, release: Release) => void;
}

/** Calls `ownership.release` on peers, with at most one request in flight to each. */
export class ReleaseRequester {
  private readonly pendingPeers = new Set<string>();

  constructor(private readonly options: ReleaseRequesterOptions) {}

  /**
   * Requests the release of resources from a peer. A failed call is ignored; the next tick sends it again.
   * @param resources - Resources that this daemon is waiting for.
   */
  async requestRelease(peer: string, resources: readonly string[]): Promise<void> {
    if (this.pendingPeers.has(peer)) return;
    this.pendingPeers.add(peer);
    const { bus, timers, times, onDeparted, onReleased } = this.options;
    const requestedAt = readClocks(timers);
    try {
      const request = { resources: [...resources] };
      const response = parseReleaseResponse(
        await bus.call(peer, RELEASE_PROCEDURE, request, { timeoutMs: times.peerTimeoutMs }),
      );
      if (response.departed) onDeparted(peer, requestedAt);
      for (const release of response.released)
        if (this.isStillValid(release, requestedAt)) onReleased(peer, release);
    } catch {
      // The next tick sends the request again; the take-over wait continues meanwhile.
    } finally {
      this.pendingPeers.delete(peer);
    }
  }

  /**
   * Whether the previous owner's lease would still be running. `leftMs` was measured after the request was
   * sent, so counting it from the request underestimates the remaining time.
   */
  private isStillValid({ leftMs }: Release, requestedAt: Moment): boolean {
    const { timers, times } = this.options;
    return elapsedSince(requestedAt, timers) < leftMs * (1 - 2 * times.driftShare);
  }
}
