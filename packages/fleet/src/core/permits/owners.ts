/** The owners of all weight stores that this daemon owns. */
import type { StoreConfig } from '@celeryyoke/configuration';

import { Desk } from './desk.js';
import { PERMIT_DONE, PERMIT_REQUEST } from './messages.js';
import { StoreOwner } from './store.js';
import type { PermitOwners, PermitOwnersOptions, PermitTimes } from './types.js';
import { DEFAULT_PERMIT_TIMES, storeResource } from './types.js';

interface KeptStore {
  readonly owner: StoreOwner;
  readonly store: StoreConfig;
  readonly engines: string;
}

class StoreOwnerSet implements PermitOwners {
  readonly desk: Desk;

  private readonly stores = new Map<string, KeptStore>();

  private readonly times: PermitTimes;

  private unsubscribe: (() => void)[] = [];

  constructor(private readonly options: PermitOwnersOptions) {
    this.times = { ...DEFAULT_PERMIT_TIMES, ...options.times };
    this.desk = new Desk(options, this.times);
  }

  start(): void {
    const { bus, timers, config, ownership } = this.options;
    const owner = `${bus.self.name}#${bus.self.incarnation}`;
    bus.handle(PERMIT_REQUEST, async (input, from) => {
      this.refresh();
      const store = this.stores.get(input.store)?.owner;
      const answer = store?.request(input, from.name) ?? { accepted: false, proof: timers.now() };
      return { ...answer, owner };
    });
    bus.handle(PERMIT_DONE, async ({ store, id, outcome }) => {
      this.stores.get(store)?.owner.done(id, outcome);
      return null;
    });
    const refresh = (): void => this.refresh();
    this.unsubscribe = [config.subscribe(refresh), ownership.subscribe(refresh)];
    this.refresh();
    this.desk.start();
  }

  async stop(): Promise<void> {
    this.desk.stop();
    for (const end of this.unsubscribe) end();
    for (const name of [...this.stores.keys()]) this.drop(name);
  }

  /** Begins and ends owners as the configuration and the host list say. */
  private refresh(): void {
    const { bus, config, ownership } = this.options;
    const { stores = [], engines = [] } = config.current()?.config ?? {};
    const mine = stores.filter(({ name }) => ownership.ownerOf(storeResource(name)) === bus.self.name);
    const names = new Set(mine.map(({ name }) => name));
    for (const name of [...this.stores.keys()]) if (!names.has(name)) this.drop(name);
    for (const store of mine) {
      const users = engines.filter((engine) => engine.store === store.name).map((engine) => engine.name);
      this.keep(store, users);
    }
  }

  private keep(store: StoreConfig, engines: readonly string[]): void {
    const kept = this.stores.get(store.name);
    const users = engines.join(' ');
    const isSame =
      kept?.engines === users &&
      kept.store.loadsPerSecond === store.loadsPerSecond &&
      kept.store.concurrentLoads === store.concurrentLoads;
    if (isSame) return;
    this.drop(store.name);
    const owner = new StoreOwner({ ...this.options, store, engines, times: this.times });
    this.stores.set(store.name, { owner, store, engines: users });
  }

  private drop(name: string): void {
    this.stores.get(name)?.owner.stop();
    this.stores.delete(name);
  }
}

/**
 * Makes the owners of this daemon's weight stores.
 * @param options - The parts that they need.
 * @returns The owners, not yet started.
 */
export function createPermitOwners(options: PermitOwnersOptions): PermitOwners {
  return new StoreOwnerSet(options);
}
