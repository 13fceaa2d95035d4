/** Daemons that press on one replica in need, on the virtual clock. */
import { ReplicaLimits, ReplicaRegistry } from '@celeryyoke/routing';

import { log } from '../fakes.js';
import type { TestDaemon } from '../fleet/daemons.js';
import { createFleetShare, TestFleet } from '../fleet/daemons.js';
import { timersOf } from '../fleet/network.js';

export const REPLICA = 'e1';
const STEP_MS = 20;
/** Time from a request's way to the replica to its answer, in milliseconds. */
const ANSWER_MS = 30;
/** Window of the users' rule, in milliseconds. */
const WINDOW_MS = 4000;
/** What the rule leaves beyond the limit. */
const RULE_OVER = 1.5;
const RULE_SLACK = 5;

/** A fleet before a replica that states a limit. */
export class PressedFleet {
  readonly fleet: TestFleet;

  /** What the replica's answers name. */
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

  /** Lets time go by while every daemon sends as often as it may. */
  async press(ms: number): Promise<void> {
    for (let atMs = 0; atMs < ms; atMs += STEP_MS) {
      for (const { address } of this.fleet.running())
        if (!this.fleet.network.isFrozen(address)) void this.send(address);
      await this.fleet.timers.advance(STEP_MS);
    }
  }

  /** Most requests in a window of the rule from some time on. */
  busiestWindow(fromMs: number): number {
    const counted = this.arrivals.filter((at) => at >= fromMs);
    return Math.max(
      0,
      ...counted.map((start) => counted.filter((at) => at >= start && at < start + WINDOW_MS).length),
    );
  }

  /** What the rule allows in a window. */
  allowed(): number {
    return (RULE_OVER * this.limitPerSecond! * WINDOW_MS) / 1000 + RULE_SLACK;
  }

  private async send(address: string): Promise<void> {
    const limits = this.limits.get(address)!;
    const { timers } = this.fleet;
    if (!limits.mayTake(REPLICA) || !(await limits.admit(REPLICA))) return;
    const sentAt = timers.now();
    this.arrivals.push(sentAt);
    const named = this.limitPerSecond;
    timers.after(ANSWER_MS, () => limits.noteAnswer(REPLICA, named, sentAt));
  }

  private addLimits(daemon: TestDaemon): void {
    const { address, cluster, tree, view } = daemon;
    const timers = timersOf(this.fleet.network, address);
    const registry = new ReplicaRegistry(view, timers);
    const share = createFleetShare(this.fleet, daemon, true, WINDOW_MS);
    registry.replica = () => ({}) as ReturnType<ReplicaRegistry['replica']>;
    this.limits.set(
      address,
      new ReplicaLimits({ self: address, cluster, tree, share, registry, timers, log }),
    );
  }
}
