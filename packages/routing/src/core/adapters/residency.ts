/**
 * Tracks which models and adapters are resident on each engine, as published by the engine's owner or,
 * failing that, listed in the registry.
 */
import type { ReplicaRegistry, ReplicaEntry } from '../view/index.js';
import type { EngineResidency, SlotAvailability } from './types.js';
import { adapterKey } from './types.js';

/**
 * Recently resident adapters remembered for each resident one: an engine's host keeps about that many copies
 * in memory.
 */
const RECENT_PER_RESIDENT = 6;
const MIN_RECENT = 48;

/** Table of the models and adapters resident on engines and of the engines' slot availability. */
export class ResidencyTable {
  private readonly published = new Map<string, EngineResidency>();

  private readonly availability = new Map<string, SlotAvailability>();

  /**
   * Adapters recently resident on each engine, latest last. Loading them there again is ten times as fast and
   * free of cost.
   */
  private readonly recent = new Map<string, Set<string>>();

  /**
   * @param registry - Used for engines whose owner has not published anything.
   */
  constructor(private readonly registry: ReplicaRegistry) {
    registry.onReplica((id, entry) => {
      if (entry !== undefined) return;
      this.published.delete(id);
      this.availability.delete(id);
      this.recent.delete(id);
    });
  }

  /** Updates the table with what an engine's owner has published; an older token is ignored. */
  updateResidency(residency: EngineResidency): void {
    const published = this.published.get(residency.replica);
    if (published !== undefined && residency.token < published.token) return;
    this.published.set(residency.replica, residency);
    this.addRecent(residency.replica, Object.keys(residency.adapters));
  }

  /**
   * Merges the recently resident adapters that a peer remembers, after this daemon's start.
   * @param keys - `model/adapter`, latest last.
   */
  mergeRecent(replica: string, keys: readonly string[]): void {
    const ownKeys = this.recent.get(replica) ?? [];
    this.recent.set(replica, new Set([...keys, ...ownKeys]));
  }

  /**
   * Returns the recently resident adapters of all engines, for a peer that has just started.
   * @returns Engines with their adapters, latest last.
   */
  recentAdapters(): [replica: string, keys: string[]][] {
    return [...this.recent].map(([replica, keys]) => [replica, [...keys]]);
  }

  /**
   * Returns whether an adapter was recently resident on an engine, so that loading it there is fast.
   * @param key - `model/adapter`.
   */
  wasRecentlyResident(replica: string, key: string): boolean {
    return this.recent.get(replica)?.has(key) ?? false;
  }

  /** Updates the slot availability published by an engine's owner. */
  updateAvailability(availability: SlotAvailability): void {
    this.availability.set(availability.replica, availability);
  }

  /** Counts a requested load against an engine's slot availability, until its owner publishes a new one. */
  reserveSlot(replica: string): void {
    const availability = this.availabilityOf(replica);
    const { freeSlots, queued } = availability;
    const change = freeSlots > 0 ? { freeSlots: freeSlots - 1 } : { queued: queued + 1 };
    this.availability.set(replica, { ...availability, ...change });
  }

  /** Returns the slot availability of an engine; no free slots when none has been published. */
  availabilityOf(replica: string): SlotAvailability {
    return this.availability.get(replica) ?? { replica, freeSlots: 0, queued: 0 };
  }

  /**
   * Removes an adapter after an engine rejected a request for lack of it.
   * @param key - `model/adapter`.
   */
  markAbsent(replica: string, key: string): void {
    const published = this.published.get(replica);
    if (published === undefined || !(key in published.adapters)) return;
    const { [key]: dropped, ...adapters } = published.adapters;
    void dropped;
    this.published.set(replica, { ...published, adapters });
  }

  /** Returns whether a base model is resident on an engine. */
  hasModel(replica: ReplicaEntry, model: string): boolean {
    const published = this.published.get(replica.id);
    if (published?.models.includes(model)) return true;
    return replica.models?.some(({ name }) => name === model) ?? false;
  }

  /** Returns the resident version of an adapter on an engine, or undefined. */
  versionOf(replica: ReplicaEntry, model: string, adapter: string): number | undefined {
    const published = this.published.get(replica.id);
    if (published !== undefined) return published.adapters[adapterKey(model, adapter)];
    const registered = this.registry.replica(replica.id)?.models?.find(({ name }) => name === model);
    return registered?.adapters.find(({ name }) => name === adapter)?.version;
  }

  private addRecent(replica: string, keys: readonly string[]): void {
    const recent = this.recent.get(replica) ?? new Set<string>();
    this.recent.set(replica, recent);
    for (const key of keys) {
      recent.delete(key);
      recent.add(key);
    }
    const limit = Math.max(MIN_RECENT, keys.length * RECENT_PER_RESIDENT);
    for (const oldest of recent) {
      if (recent.size <= limit) break;
      recent.delete(oldest);
    }
  }
}
