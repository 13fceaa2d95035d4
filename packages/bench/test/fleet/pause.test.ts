/** Daemons that are paused and wake up late, still believing what they knew before. */
import test from 'ava';
import { Fencing } from '@celeryyoke/configuration';
import type { TimerService } from '@celeryyoke/core';

import { passTime, passTimeUntil } from '../../src/core/fleet/index.js';
import { failuresOf, startFleet, startTraffic } from './support.js';

const PAUSE_MS = 12_000;

/** A clock of one process, whose callbacks are held back while the process is paused. */
class PausableTimers implements TimerService {
  isPaused = false;

  private held: (() => void)[] = [];

  constructor(private readonly base: TimerService) {}

  now = (): number => this.base.now();

  wall = (): number => this.base.wall();

  after: TimerService['after'] = (ms, callback) => this.base.after(ms, () => this.run(callback));

  repeat: TimerService['repeat'] = (ms, callback) =>
    this.base.repeat(ms, (now) => this.run(() => callback(now)));

  readAgeMs = (): number => this.base.readAgeMs();

  afterPoll: TimerService['afterPoll'] = (callback) => this.base.afterPoll(() => this.run(callback));

  every: TimerService['every'] = (ms) => this.base.every(ms);

  sleep: TimerService['sleep'] = async (ms, signal) => {
    await this.base.sleep(ms, signal);
    if (this.isPaused)
      await new Promise<void>((resolve) => {
        this.held.push(resolve);
      });
  };

  resume(): void {
    this.isPaused = false;
    for (const callback of this.held.splice(0)) callback();
  }

  private run(callback: () => void): void {
    if (this.isPaused) this.held.push(callback);
    else callback();
  }
}

for (const fencing of [Fencing.Honoured, Fencing.Ignored]) {
  test(`owners that stand still for 12 s break no promise (fencing ${fencing})`, async (t) => {
    const clocks = new Map<number, PausableTimers>();
    const timersOf = (index: number, base: TimerService): TimerService => {
      const clock = new PausableTimers(base);
      clocks.set(index, clock);
      return clock;
    };
    const site = { engines: 3, slots: 4, loadsPerSecond: 10, fencing };
    const fleet = await startFleet(t, { daemons: 3, site, timersOf });
    const traffic = startTraffic(fleet, 250, 20);
    await passTime(fleet.timers, 10_000);
    for (const clock of [clocks.get(0)!, clocks.get(1)!]) {
      clock.isPaused = true;
      await passTime(fleet.timers, PAUSE_MS);
      clock.resume();
      await passTime(fleet.timers, 15_000);
    }
    const before = traffic.ended.length;
    await passTime(fleet.timers, 5000);
    traffic.stop();
    await passTimeUntil(fleet.timers, () => traffic.open() === 0, 200_000, 'the last answer');
    t.deepEqual(fleet.site.violations(), []);
    t.deepEqual(failuresOf({ ...traffic, ended: traffic.ended.slice(before) }), []);
  });
}
