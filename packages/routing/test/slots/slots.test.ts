/** Slots of replicas that fall over when they reject many requests, as all daemons together use them. */
import { createManualTimers } from '@celeryyoke/core';
import { ReplicaRegistry, SlotCoordinator, SlotPermits } from '@celeryyoke/routing';
import test from 'ava';

import { createAvailability, engineEntry, log } from '../fakes.js';
import type { TestDaemon } from '../fleet/daemons.js';
import { createFleetShare, TestFleet } from '../fleet/daemons.js';
import { timersOf } from '../fleet/network.js';

/** Seeds of a large fleet. */
const SEEDS = 3;
const SLOTS = 6;
const REPLICA = { ...engineEntry('e1'), slots: SLOTS };
/** Another replica of the same service, which has just started. */
const NEW_REPLICA = { ...engineEntry('e2'), slots: SLOTS };
const REJECTIONS_PER_S = 2;
const STEP_MS = 10;
const RUN_MS = 45;
/** Time in which a limit reaches all daemons, in milliseconds. */
const PROPAGATION_MS = 1000;

/** Daemons that send one brittle replica as much as they may, on the virtual clock. */
class BrittleFleet {
  readonly fleet: TestFleet;

  /** Requests that the replica works on. */
  private running = 0;

  served = 0;

  /** Monotonic times at which the replica had no room for a request, in milliseconds. */
  readonly rejections: number[] = [];

  readonly permits = new Map<string, SlotPermits>();

  constructor(seeds = SEEDS) {
    this.fleet = new TestFleet(3, seeds, (daemon) => this.addPermits(daemon));
  }

  async start(count: number): Promise<void> {
    await this.fleet.startAll(count);
    await this.fleet.timers.advance(3000);
  }

  /** Advances time while every daemon sends as often as it may. */
  async press(ms: number): Promise<void> {
    await this.fleet.advanceSending(ms, STEP_MS, (address) => this.send(address));
  }

  /** Returns the highest number of rejections in one second from a time on. */
  maxRejections(fromMs: number): number {
    const late = this.rejections.filter((at) => at >= fromMs);
    return Math.max(0, ...late.map((from) => late.filter((at) => at >= from && at < from + 1000).length));
  }

  private async send(address: string): Promise<void> {
    const permits = this.permits.get(address)!;
    const { timers } = this.fleet;
    if (!permits.mayReceive(REPLICA.id)) return;
    const permit = await permits.acquire(REPLICA);
    if (permit === undefined) return;
    const sentAt = timers.now();
    const hasRoom = this.running < SLOTS;
    if (hasRoom) this.running += 1;
    else this.rejections.push(sentAt);
    timers.after(hasRoom ? RUN_MS : 1, () => {
      if (hasRoom) {
        this.running -= 1;
        this.served += 1;
      }
      permits.updateFromResponse(REPLICA.id, REJECTIONS_PER_S, sentAt);
      permit.release(!hasRoom);
    });
  }

  private addPermits(daemon: TestDaemon): void {
    const { address, cluster, tree, view } = daemon;
    const timers = timersOf(this.fleet.network, address);
    const registry = new ReplicaRegistry(view, createAvailability(timers), timers);
    const share = createFleetShare(this.fleet, daemon, true, PROPAGATION_MS);
    registry.replica = () => REPLICA;
    registry.readyReplicas = () => [REPLICA, NEW_REPLICA];
    const options = { self: address, cluster, tree, share, registry, timers, log };
    this.permits.set(address, new SlotPermits(options));
  }
}

for (const count of [1, 7, 30])
  // Guards against daemons that each see room in a replica, and together push it over.
  test(`${count} daemons that press on get no more rejections than a replica bears, and use its slots`, async (t) => {
    const site = new BrittleFleet(Math.min(SEEDS, count));
    await site.start(count);
    await site.press(PROPAGATION_MS);
    const from = site.fleet.timers.now();
    const servedBefore = site.served;
    await site.press(5000);
    const served = site.served - servedBefore;
    t.log({ served, rejections: site.maxRejections(from) });
    t.true(site.maxRejections(from) <= REJECTIONS_PER_S);
    t.true(served >= ((SLOTS * 5000) / RUN_MS) * 0.6);
  });

// Guards against slots that stay taken by a daemon that is gone.
test('slots of a daemon that ends are granted to others', async (t) => {
  const site = new BrittleFleet();
  await site.start(7);
  await site.press(PROPAGATION_MS);
  for (const index of [1, 2]) site.fleet.daemon(index).kill();
  await site.press(4000);
  const from = site.served;
  await site.press(2000);
  t.true(site.served - from >= ((SLOTS * 2000) / RUN_MS) * 0.6);
});

// Guards against a replica that is back after a fall, and falls again before the daemons have heard from it.
test('a replica that has not responded yet gets no more than its slots if others of its service are brittle', async (t) => {
  const site = new BrittleFleet();
  await site.start(2);
  const permits = site.permits.get(site.fleet.addressOf(0))!;
  const acquire = () => Promise.all(Array.from({ length: SLOTS + 1 }, () => permits.acquire(NEW_REPLICA)));
  t.true((await acquire()).every((permit) => permit !== undefined));
  await site.press(PROPAGATION_MS);
  const acquired = acquire();
  await site.fleet.timers.advance(100);
  t.true((await acquired).filter((permit) => permit !== undefined).length <= SLOTS);
});

// Guards against a replica that has less room than it states, as others use it too.
test('after a rejection nothing is granted for a while, and fewer slots than before', async (t) => {
  const timers = createManualTimers();
  const coordinator = new SlotCoordinator(timers, () => 1);
  const ask = (held: number, wanted: number) =>
    coordinator.grant('a:1', { replica: 'e1', slots: SLOTS, held, wanted });
  t.is(ask(0, 10).granted, SLOTS);
  const rejectionsPerSecond = REJECTIONS_PER_S;
  coordinator.release('a:1', { replica: 'e1', rejectionsPerSecond, wasRejected: true });
  t.deepEqual(ask(5, 1), { granted: 0, waitMs: 500 });
  await timers.advance(500);
  t.is(ask(5, 5).granted, 1);
  await timers.advance(5000);
  t.is(ask(0, 10).granted, SLOTS);
});

// Guards against requests on both sides of a partition that add up to more than the replica has slots.
test('a side of a partition grants its share of the slots', (t) => {
  const coordinator = new SlotCoordinator(createManualTimers(), () => 0.5);
  t.is(coordinator.grant('a:1', { replica: 'e1', slots: SLOTS, held: 0, wanted: 10 }).granted, SLOTS / 2);
});
