/** The previous owner's side of a handover: which resources it has given up, and to which daemon. */
import type { TimerService } from '@celeryyoke/core';

import type { Moment } from '../membership/clocks.js';
import { elapsedSince } from '../membership/clocks.js';
import type { PeerIdentity } from '../peers/index.js';
import type { OwnershipTimes } from './types.js';
import type { Release } from './wire.js';

/** A resource over which this daemon had full authority and that it gave up. */
interface RelinquishedResource {
  /** When the last view that showed this daemon as the owner was read; the release window starts here. */
  viewReadAt: Moment;
  readonly fencingToken: number;
  /** Name and incarnation of the daemon that it was released to. */
  releasedTo?: string;
}

/**
 * Resources that this daemon has given up, with its orders in flight. A resource is released to at most one
 * daemon, after its last order has ended and within one lease of the last view that showed this daemon as the
 * owner.
 */
export class RelinquishedResources {
  private readonly relinquished = new Map<string, RelinquishedResource>();

  private readonly ordersInFlight = new Map<string, number>();

  constructor(
    private readonly timers: TimerService,
    private readonly times: OwnershipTimes,
  ) {}

  /**
   * Counts an order in flight; the resource is not released before it has ended.
   * @returns A function that marks the order as ended; further calls have no effect.
   */
  trackOrder(resource: string): () => void {
    this.ordersInFlight.set(resource, (this.ordersInFlight.get(resource) ?? 0) + 1);
    let hasEnded = false;
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      const remaining = (this.ordersInFlight.get(resource) ?? 1) - 1;
      if (remaining === 0) this.ordersInFlight.delete(resource);
      else this.ordersInFlight.set(resource, remaining);
    };
  }

  /**
   * Records that this daemon will not act on a resource again under the authority that it had.
   * @param viewReadAt - When the last view that showed this daemon as the owner was read.
   * @param fencingToken - Last fencing token of this daemon.
   */
  add(resource: string, viewReadAt: Moment, fencingToken: number): void {
    if (!this.relinquished.has(resource)) this.relinquished.set(resource, { viewReadAt, fencingToken });
  }

  /**
   * Restarts the release window when a later view still shows this daemon, which has departed, as the owner.
   * A resource that has been released is left alone, since it now belongs to the other daemon.
   * @param viewReadAt - When the later view was read.
   */
  extendReleaseWindow(resource: string, viewReadAt: Moment): void {
    const entry = this.relinquished.get(resource);
    if (entry !== undefined && entry.releasedTo === undefined) entry.viewReadAt = viewReadAt;
  }

  /** Forgets a resource that this daemon owns again; its new tenure starts with a wait of its own. */
  remove(resource: string): void {
    this.relinquished.delete(resource);
  }

  /**
   * Releases a resource to a daemon that sees itself as the owner, once no order is in flight. Only one
   * daemon gets it, and only while this daemon's own lease would still be running: until then no other daemon
   * can have completed the take-over wait.
   * @param to - The daemon that requests it.
   * @returns The release, or undefined when the resource can't be released to that daemon now.
   */
  release(resource: string, to: PeerIdentity): Release | undefined {
    const entry = this.relinquished.get(resource);
    if (entry === undefined || this.ordersInFlight.has(resource)) return undefined;
    const leftMs = this.times.leaseMs - elapsedSince(entry.viewReadAt, this.timers);
    const requester = `${to.name}#${to.incarnation}`;
    entry.releasedTo ??= leftMs > 0 ? requester : undefined;
    if (leftMs <= 0 || entry.releasedTo !== requester) return undefined;
    return { resource, leftMs, fencing: entry.fencingToken };
  }

  /** Whether each resource has been released, or can't be any more. */
  isReleaseComplete(): boolean {
    for (const entry of this.relinquished.values()) {
      const isExpired = elapsedSince(entry.viewReadAt, this.timers) > this.times.leaseMs;
      if (entry.releasedTo === undefined && !isExpired) return false;
    }
    return true;
  }

  /** Removes resources whose release window has ended. */
  pruneExpired(): void {
    for (const [resource, entry] of this.relinquished) {
      if (elapsedSince(entry.viewReadAt, this.timers) > this.times.leaseMs)
        this.relinquished.delete(resource);
    }
  }
}
