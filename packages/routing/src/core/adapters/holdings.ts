/** What each engine holds, as far as this daemon knows: from the daemon that gives it orders, or from the registry. */
import type { Directory, ReplicaEntry } from '../view/index.js';
import type { Holdings } from './types.js';
import { adapterKey } from './types.js';

/** Says that a version is not known; the engine holds some version. */
export const ANY_VERSION = 0;

/** The book of holdings. */
export class HoldingsBook {
  private readonly told = new Map<string, Holdings>();

  /**
   * Makes an empty book.
   * @param directory - The registry's view, used where no daemon tells more.
   */
  constructor(private readonly directory: Directory) {
    directory.onReplica((id, entry) => {
      if (entry === undefined) this.told.delete(id);
    });
  }

  /**
   * Takes what the daemon tells that gives the engine its orders.
   * @param holdings - Models and adapters in place.
   */
  take(holdings: Holdings): void {
    const known = this.told.get(holdings.replica);
    if (known === undefined || holdings.token >= known.token) this.told.set(holdings.replica, holdings);
  }

  /**
   * Notes that an engine refused a request since it does not hold the adapter.
   * @param replica - The engine.
   * @param key - `model/adapter`.
   */
  drop(replica: string, key: string): void {
    const known = this.told.get(replica);
    if (known === undefined || !(key in known.adapters)) return;
    const { [key]: dropped, ...adapters } = known.adapters;
    void dropped;
    this.told.set(replica, { ...known, adapters });
  }

  /**
   * Tells whether an engine holds a base model.
   * @param replica - The engine.
   * @param model - The model.
   * @returns Whether it is in place.
   */
  holdsModel(replica: ReplicaEntry, model: string): boolean {
    const told = this.told.get(replica.id);
    if (told?.models.includes(model)) return true;
    return replica.models?.some(({ name }) => name === model) ?? false;
  }

  /**
   * Tells which version of an adapter an engine holds.
   * @param replica - The engine.
   * @param model - Base model.
   * @param adapter - Adapter.
   * @returns The version, or undefined when it holds none.
   */
  version(replica: ReplicaEntry, model: string, adapter: string): number | undefined {
    const told = this.told.get(replica.id);
    if (told !== undefined) return told.adapters[adapterKey(model, adapter)];
    const held = this.directory.replica(replica.id)?.models?.find(({ name }) => name === model);
    return held?.adapters.find(({ name }) => name === adapter)?.version;
  }
}
