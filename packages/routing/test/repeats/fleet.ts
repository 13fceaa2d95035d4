/** Daemons that ask for repeats of one service all the time, on the virtual clock. */
import { RepeatBudget } from '@celeryyoke/routing';

import type { TestDaemon } from '../fleet/daemons.js';
import { shareOf, TestFleet } from '../fleet/daemons.js';
import { timersOf } from '../fleet/network.js';
import type { RepeatBounds } from './rule.js';
import { RepeatRecord } from './rule.js';

const STEP_MS = 20;
export const SEEDS = 3;

/** A fleet whose daemons repeat as often as they may. */
export class RepeatingFleet {
  readonly fleet: TestFleet;

  readonly record = new RepeatRecord();

  /** Whether daemons that start do so together with the whole fleet. */
  isFirstStart = true;

  private readonly budgets = new Map<string, RepeatBudget>();

  private lastId = 0;

  constructor(
    private readonly bounds: RepeatBounds,
    zones = SEEDS,
  ) {
    this.fleet = new TestFleet(zones, SEEDS, (daemon) => this.addBudget(daemon));
  }

  /** Starts daemons from 0 on, evenly spread over some time, while those that run repeat. */
  async startOneAfterAnother(count: number, forMs: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      await this.fleet.start(index);
      await this.play(forMs / count);
    }
  }

  /** Lets time go by while every daemon repeats as often as it may. */
  async play(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      for (const { address } of this.fleet.running()) this.repeat(address);
      await this.fleet.timers.advance(Math.min(STEP_MS, ms - passed));
    }
  }

  /** Most repeats in a window. */
  worst(): number {
    return this.record.windows(this.bounds)[0]?.repeats ?? 0;
  }

  /** Repeats since a moment, in milliseconds. */
  since(moment: number): number {
    return this.record.repeats().filter((at) => at >= moment).length;
  }

  private repeat(address: string): void {
    if (this.fleet.network.isFrozen(address)) return;
    const now = this.fleet.timers.now();
    const budget = this.budgets.get(address)!;
    for (let permit = budget.reserve(); permit !== undefined; permit = budget.reserve()) {
      permit.settle();
      this.lastId += 1;
      // The first arrival of each request is long past.
      this.record.arrive(`r${this.lastId}`, Number.MIN_SAFE_INTEGER);
      this.record.arrive(`r${this.lastId}`, now);
    }
  }

  private addBudget(daemon: TestDaemon): void {
    const { address } = daemon;
    const timers = timersOf(this.fleet.network, address);
    const share = shareOf(this.fleet, daemon, this.isFirstStart, this.bounds.windowMs);
    const budget = new RepeatBudget({ bounds: this.bounds, share: () => share.own(), timers });
    this.budgets.set(address, budget);
  }
}
