/** What each engine holds, as far as this daemon knows: from the daemon that gives it orders, or from the registry. */
import type { ReplicaRegistry, ReplicaEntry } from '../view/index.js';
import type { Holdings, SlotAvailability } from './types.js';
import { adapterKey } from './types.js';

/** Adapters remembered for each slot of an engine: it keeps copies of about that many in its host's memory. */
const REMEMBERED_PER_SLOT = 6;
const LEAST_REMEMBERED = 48;

/** Adapters resident on engines, and their free slots. */
export class ResidencyTable {
  private readonly told = new Map<string, Holdings>();

  private readonly availability = new Map<string, SlotAvailability>();

  /** Adapters that each engine held of late, the latest last; they load ten times as fast there and cost nothing. */
  private readonly recent = new Map<string, Set<string>>();

  /**
   * Makes an empty table.
   * @param registry - The registry's view, used where no daemon tells more.
   */
  constructor(private readonly registry: ReplicaRegistry) {
    registry.onReplica((id, entry) => {
      if (entry !== undefined) return;
      this.told.delete(id);
      this.availability.delete(id);
      this.recent.delete(id);
    });
  }

  /**
   * Takes what the daemon tells that gives the engine its orders.
   * @param residency - Models and adapters in place.
   */
  take(residency: Holdings): void {
    const known = this.told.get(residency.replica);
    if (known !== undefined && residency.token < known.token) return;
    this.told.set(residency.replica, residency);
    this.remember(residency.replica, Object.keys(residency.adapters));
  }

  /**
   * Takes what a peer remembers of an engine, after this daemon's start.
   * @param replica - The engine.
   * @param keys - Adapters held of late, the latest last.
   */
  takeRecent(replica: string, keys: readonly string[]): void {
    const own = this.recent.get(replica) ?? [];
    this.recent.set(replica, new Set([...keys, ...own]));
  }

  /**
   * Lists what engines held of late, for a peer that has just started.
   * @returns Engines and their adapters, the latest last.
   */
  allRecent(): [replica: string, keys: string[]][] {
    return [...this.recent].map(([replica, keys]) => [replica, [...keys]]);
  }

  /**
   * Tells whether an engine held an adapter of late.
   * @param replica - The engine.
   * @param key - `model/adapter`.
   * @returns Whether a load there is a fast one.
   */
  wasHeld(replica: string, key: string): boolean {
    return this.recent.get(replica)?.has(key) ?? false;
  }

  /**
   * Takes what an owner tells of its engine's slots.
   * @param slots - The engine and its slots.
   */
  updateSlots(slots: SlotAvailability): void {
    this.availability.set(slots.replica, slots);
  }

  /**
   * Notes that a load is asked for, until the owner tells anew.
   * @param replica - The engine.
   */
  takeSlot(replica: string): void {
    const slots = this.slots(replica);
    const { freeSlots, queued } = slots;
    const after = freeSlots > 0 ? { freeSlots: freeSlots - 1 } : { queued: queued + 1 };
    this.availability.set(replica, { ...slots, ...after });
  }

  /**
   * Tells how an engine's slots stand.
   * @param replica - The engine.
   * @returns None free when nobody tells.
   */
  slots(replica: string): SlotAvailability {
    return this.availability.get(replica) ?? { replica, freeSlots: 0, queued: 0 };
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
    const held = this.registry.replica(replica.id)?.models?.find(({ name }) => name === model);
    return held?.adapters.find(({ name }) => name === adapter)?.version;
  }

  private remember(replica: string, keys: readonly string[]): void {
    const recent = this.recent.get(replica) ?? new Set<string>();
    this.recent.set(replica, recent);
    for (const key of keys) {
      recent.delete(key);
      recent.add(key);
    }
    const most = Math.max(LEAST_REMEMBERED, keys.length * REMEMBERED_PER_SLOT);
    for (const oldest of recent) {
      if (recent.size <= most) break;
      recent.delete(oldest);
    }
  }
}
