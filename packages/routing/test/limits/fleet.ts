/** Simulates daemons that send an overloaded replica as much as they may, on the virtual clock. */
import { ReplicaLimits, ReplicaRegistry } from '@celeryyoke/routing';

import { createAvailability, log } from '../fakes.js';
import type { TestDaemon } from '../fleet/daemons.js';
import { createFleetShare, TestFleet } from '../fleet/daemons.js';
import { timersOf } from '../fleet/network.js';

export const REPLICA = 'e1';
const STEP_MS = 20;
/** Time from the arrival of a request at the replica to its response. */
const RESPONSE_MS = 30;
/**
 * Users require that no window of this length has more requests than the limit times a factor, and some
 * extra.
 */
const WINDOW_MS = 4000;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;

/** A fleet with one replica that declares a rate limit. */
export class LimitedFleet {
  readonly fleet: TestFleet;

  /** Limit that the replica's responses declare, in requests per second. */
  limitPerSecond: number | undefined;

  /** Monotonic times at which requests reached the replica, in milliseconds. */
  readonly arrivals: number[] = [];

  private readonly limits = new Map<string, ReplicaLimits>();

  constructor(seeds = 3) {
    this.fleet = new TestFleet(3, seeds, (daemon) => this.addLimits(daemon));
  }

  async start(count: number): Promise<void> {
    await this.fleet.startAll(count);
    await this.fleet.timers.advance(3000);
  }

  /** Advances time while every daemon sends as often as its limits allow. */
  async sendAtMaxRate(ms: number): Promise<void> {
    await this.fleet.advanceSending(ms, STEP_MS, (address) => this.send(address));
  }

  /** Returns the highest number of requests in a window from a time on. */
  maxInWindow(fromMs: number): number {
    const arrivals = this.arrivals.filter((at) => at >= fromMs);
    return Math.max(
      0,
      ...arrivals.map((start) => arrivals.filter((at) => at >= start && at < start + WINDOW_MS).length),
    );
  }

  /** Returns the number of requests that is allowed in a window. */
  allowedInWindow(): number {
    return (ALLOWED_FACTOR * this.limitPerSecond! * WINDOW_MS) / 1000 + ALLOWED_EXTRA;
  }

  private async send(address: string): Promise<void> {
    const limits = this.limits.get(address)!;
    const { timers } = this.fleet;
    if (!limits.mayReceive(REPLICA) || !(await limits.admit(REPLICA))) return;
    const sentAt = timers.now();
    this.arrivals.push(sentAt);
    const declaredLimit = this.limitPerSecond;
    timers.after(RESPONSE_MS, () => limits.updateFromResponse(REPLICA, declaredLimit, sentAt));
  }

  private addLimits(daemon: TestDaemon): void {
    const { address, cluster, tree, view } = daemon;
    const timers = timersOf(this.fleet.network, address);
    const registry = new ReplicaRegistry(view, createAvailability(timers), timers);
    const share = createFleetShare(this.fleet, daemon, true, WINDOW_MS);
    registry.replica = () => ({}) as ReturnType<ReplicaRegistry['replica']>;
    this.limits.set(
      address,
      new ReplicaLimits({ self: address, cluster, tree, share, registry, timers, log }),
    );
  }
}
