/** Fleet on a virtual clock whose daemons request retries of one service all the time. */
import type { RetryPermit } from '@celeryyoke/routing';
import { RetryBudget } from '@celeryyoke/routing';

import type { TestDaemon } from '../fleet/daemons.js';
import { createFleetShare, TestFleet } from '../fleet/daemons.js';
import { timersOf } from '../fleet/network.js';
import type { RetryBounds, RetryWindow } from './rule.js';
import { RetryRecord } from './rule.js';

const STEP_MS = 20;
const MS_PER_SECOND = 1000;
export const SEEDS = 3;

/** Runs a fleet whose daemons retry as often as their budgets allow. */
export class RetryingFleet {
  readonly fleet: TestFleet;

  readonly record = new RetryRecord();

  /** Whether a daemon that starts does so for the first time, rather than after a restart. */
  isFirstStart = true;

  /** Whether daemons retry. */
  isRetrying = true;

  /** Time from the moment a retry is sent to its arrival, in milliseconds; it arrives also if its process ends. */
  arrivalDelayMs = 0;

  /** Requests of all callers, spread evenly over the daemons that run. */
  requestsPerSecond = 0;

  /** Time at which the load begins to change, in milliseconds. */
  calmUntil = 0;

  /** Requests that are due and have not been sent. */
  private dueRequests = 0;

  private readonly budgets = new Map<string, RetryBudget>();

  private lastId = 0;

  private sentRequests = 0;

  constructor(
    private readonly bounds: RetryBounds,
    zones = SEEDS,
  ) {
    this.fleet = new TestFleet(zones, SEEDS, (daemon) => this.addBudget(daemon));
  }

  /** Starts daemons from 0 on, spread evenly over some time, while the running ones retry. */
  async startStaggered(count: number, forMs: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      await this.fleet.start(index);
      await this.run(forMs / count);
    }
  }

  /** Starts a daemon again whose process has ended. */
  async restart(index: number): Promise<void> {
    this.isFirstStart = false;
    await this.fleet.start(index);
  }

  /** Changes the number of requests a second of all callers. */
  setLoad(perSecond: number): void {
    this.requestsPerSecond = perSecond;
  }

  /** Lets daemons retry from now on, or not any more. */
  toggleRetries(): void {
    this.isRetrying = !this.isRetrying;
  }

  /** Advances the clock while every daemon retries as often as its budget allows. */
  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.sendRequests(STEP_MS);
      if (this.isRetrying) for (const { address } of this.fleet.running()) this.retryWhileAllowed(address);
      await this.fleet.timers.advance(Math.min(STEP_MS, ms - passed));
    }
  }

  /** Largest number of retries in a window. */
  mostRetries(): number {
    return this.record.windows(this.bounds)[0]?.retries ?? 0;
  }

  /** Window that exceeds its allowance most, or comes closest to it. */
  worstWindow(): RetryWindow {
    return this.record.windows(this.bounds)[0] ?? { from: 0, retries: 0, requests: 0, allowed: 0 };
  }

  /** Number of retries since a time, in milliseconds. */
  retriesSince(from: number): number {
    return this.record.retryTimes().filter((at) => at >= from).length;
  }

  /** Sends the requests of one step; those that no daemon can take are lost, and count all the same. */
  private sendRequests(ms: number): void {
    const { fleet } = this;
    const open = fleet.running().filter(({ address }) => !fleet.network.isFrozen(address));
    this.dueRequests += (this.requestsPerSecond * ms) / MS_PER_SECOND;
    for (; this.dueRequests >= 1; this.dueRequests -= 1) {
      this.sentRequests += 1;
      this.record.recordRequest(fleet.timers.now());
      const daemon = open[this.sentRequests % Math.max(1, open.length)];
      if (daemon !== undefined) this.budgets.get(daemon.address)!.countRequest();
    }
  }

  private retryWhileAllowed(address: string): void {
    if (this.fleet.network.isFrozen(address)) return;
    const budget = this.budgets.get(address)!;
    for (let permit = budget.reserve(); permit !== undefined; permit = budget.reserve()) {
      permit.send();
      if (this.arrivalDelayMs === 0) this.arrive(permit);
      else this.fleet.timers.after(this.arrivalDelayMs, () => this.arrive(permit));
    }
  }

  private arrive(permit: RetryPermit): void {
    permit.settle();
    this.lastId += 1;
    // The first attempt of each request arrived long ago, so that this one counts as a retry.
    this.record.recordArrival(`r${this.lastId}`, Number.MIN_SAFE_INTEGER);
    this.record.recordArrival(`r${this.lastId}`, this.fleet.timers.now());
  }

  private addBudget(daemon: TestDaemon): void {
    const { address } = daemon;
    const timers = timersOf(this.fleet.network, address);
    const share = createFleetShare(this.fleet, daemon, this.isFirstStart, this.bounds.windowMs);
    const budget = new RetryBudget({
      bounds: this.bounds,
      share: () => share.ownShare(),
      resumedAt: () => Number.NEGATIVE_INFINITY,
      timers,
    });
    this.budgets.set(address, budget);
  }
}
