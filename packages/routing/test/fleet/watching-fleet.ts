/** A fleet on the virtual clock whose daemons watch a store that changes all the time. */
import { storeReaderRank, StoreWatcher } from '@celeryyoke/routing';

import { createRandom } from '../orders/random.js';
import type { TestDaemon } from './daemons.js';
import { TestFleet } from './daemons.js';
import { timersOf } from './network.js';
import { TestStore } from './store.js';

const STEP_MS = 20;
const ZONES = 3;
/** Time in which a fleet finds itself, in milliseconds. */
const SETTLE_MS = 7000;

/** Called as the daemons of a fleet are created and read the store. */
export interface WatchingHooks {
  readonly onDaemon: (daemon: TestDaemon) => void;
  /** Called when a daemon has read all records into its empty view. */
  readonly onFirstList: (daemon: TestDaemon) => void;
}

const NO_HOOKS: WatchingHooks = { onDaemon: () => undefined, onFirstList: () => undefined };

/** The daemons and the store. */
export class WatchingFleet {
  readonly fleet: TestFleet;

  readonly store: TestStore;

  private readonly watchers: StoreWatcher[] = [];

  private readonly random = createRandom('freshness');

  constructor(private readonly hooks = NO_HOOKS) {
    this.fleet = new TestFleet(ZONES, ZONES, (daemon) => {
      this.hooks.onDaemon(daemon);
      this.startWatcher(daemon);
    });
    this.store = new TestStore(this.fleet.network, this.fleet.timers);
  }

  async settle(count: number): Promise<void> {
    await this.fleet.startAll(count);
    await this.fleet.timers.advance(SETTLE_MS);
  }

  /** Advances time while the store changes, and calls back after each step. */
  async run(forMs: number, everyMs: number, observe: () => void): Promise<void> {
    for (let atMs = 0; atMs < forMs; atMs += STEP_MS) {
      if (atMs % everyMs === 0) this.store.write();
      await this.fleet.timers.advance(STEP_MS);
      observe();
    }
  }

  /** Time by which the true age of a daemon's view exceeds the age that it reports, in milliseconds. */
  understatedMs({ view }: TestDaemon): number {
    return this.store.staleMs(view.upTo) - view.ageMs;
  }

  stop(): void {
    for (const watcher of this.watchers) watcher.stop();
  }

  private startWatcher(daemon: TestDaemon): void {
    const { address, view, cluster, tree } = daemon;
    const watcher = new StoreWatcher({
      view,
      source: this.store.sourceOf(address),
      timers: timersOf(this.fleet.network, address),
      rank: () =>
        storeReaderRank(address, cluster.aliveAddresses(), (member) => cluster.member(member)?.zone),
      isAlone: () => cluster.aliveAddresses().length <= 1,
      isFirstStart: true,
      random: () => this.random.between(0, 1),
      publish: (isNews) => tree.publishView(isNews),
      onReachabilityChange: () => undefined,
      onList: () => undefined,
      onFirstList: () => this.hooks.onFirstList(daemon),
      onTakeOver: () => undefined,
    });
    this.watchers.push(watcher);
    watcher.start();
  }
}
