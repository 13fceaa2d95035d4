/** The last owner's side of a hand-over: what it has given up, and to whom. */
import type { TimerService } from '@celeryyoke/core';

import type { Moment } from '../membership/clocks.js';
import { elapsedSince } from '../membership/clocks.js';
import type { PeerIdentity } from '../peers/index.js';
import type { OwnershipTimes } from './types.js';
import type { Release } from './wire.js';

/** A resource that this daemon had full authority over and gave up. */
interface Given {
  /** When the last view that showed this daemon as the owner was read. */
  begun: Moment;
  readonly fencing: number;
  /** The one daemon to which it was released. */
  grantedTo?: string;
}

/** What this daemon has given up. */
export class GivenUp {
  private readonly given = new Map<string, Given>();

  private readonly orders = new Map<string, number>();

  constructor(
    private readonly timers: TimerService,
    private readonly times: OwnershipTimes,
  ) {}

  /**
   * Notes an order under way.
   * @param resource - What it is about.
   * @returns Ends it.
   */
  orderBegan(resource: string): () => void {
    this.orders.set(resource, (this.orders.get(resource) ?? 0) + 1);
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      const left = (this.orders.get(resource) ?? 1) - 1;
      if (left === 0) this.orders.delete(resource);
      else this.orders.set(resource, left);
    };
  }

  /**
   * Notes that this daemon will not act on a resource again under the authority that it had.
   * @param resource - The resource.
   * @param begun - When the last view that showed this daemon as the owner was read.
   * @param fencing - The last fencing number.
   */
  giveUp(resource: string, begun: Moment, fencing: number): void {
    if (!this.given.has(resource)) this.given.set(resource, { begun, fencing });
  }

  /**
   * Holds the place for the next owner: a later view still shows this daemon, which has retired, as the owner. What
   * was released to another daemon is not held any more; its place is that daemon's own.
   * @param resource - The resource.
   * @param begun - When the later view was read.
   */
  hold(resource: string, begun: Moment): void {
    const given = this.given.get(resource);
    if (given !== undefined && given.grantedTo === undefined) given.begun = begun;
  }

  /** Notes that this daemon is the owner again, under a new wait. */
  takeBack(resource: string): void {
    this.given.delete(resource);
  }

  /**
   * Releases a resource to a daemon that sees itself as the owner, once no order is under way. Only one daemon gets it,
   * and only while this daemon's own lease would still have run: until then nobody can have become the owner by waiting.
   * @param resource - The resource.
   * @param to - Who asks.
   * @returns The release, or undefined when there is none to give.
   */
  release(resource: string, to: PeerIdentity): Release | undefined {
    const given = this.given.get(resource);
    if (given === undefined || this.orders.has(resource)) return undefined;
    const leftMs = this.times.leaseMs - elapsedSince(given.begun, this.timers);
    const asker = `${to.name}#${to.incarnation}`;
    given.grantedTo ??= leftMs > 0 ? asker : undefined;
    if (leftMs <= 0 || given.grantedTo !== asker) return undefined;
    return { resource, leftMs, fencing: given.fencing };
  }

  /** Whether everything that can be released has been. */
  isSettled(): boolean {
    for (const given of this.given.values()) {
      const isLapsed = elapsedSince(given.begun, this.timers) > this.times.leaseMs;
      if (given.grantedTo === undefined && !isLapsed) return false;
    }
    return true;
  }

  /** Forgets what can't be released any more. */
  prune(): void {
    for (const [resource, given] of this.given) {
      if (elapsedSince(given.begun, this.timers) > this.times.leaseMs) this.given.delete(resource);
    }
  }
}
