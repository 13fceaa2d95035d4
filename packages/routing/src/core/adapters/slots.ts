/** Slot table of one engine, as its owner tracks it. */
import type { TimerService } from '@celeryyoke/core';

/** State of an occupied slot. The initials of the values appear in the `slots` log line. */
export enum SlotState {
  /** Reserved for a load that the engine is not known to have accepted. */
  Reserved = 'reserved',
  /**
   * The engine has accepted the load and not yet reported the adapter as resident. It must not be ordered to
   * unload it.
   */
  Loading = 'loading',
  Resident = 'held',
  /** The adapter was resident, but a request did not find it and the engine could not be asked. */
  Doubted = 'doubted',
  /** Ordered to unload, but requests still run on the adapter. */
  Unloading = 'dropping',
}

/** States in which an adapter may be unloaded when no request runs on it. */
const EVICTABLE_STATES: ReadonlySet<SlotState> = new Set([SlotState.Resident, SlotState.Doubted]);
/** States that count towards the engine's limit on concurrent loads. */
const LOADING_STATES: ReadonlySet<SlotState> = new Set([SlotState.Reserved, SlotState.Loading]);
const TRANSITION_STATES: ReadonlySet<SlotState> = new Set([...LOADING_STATES, SlotState.Unloading]);

/** An occupied slot. */
export interface Slot {
  readonly key: string;
  version: number;
  state: SlotState;
  /** Monotonic time of the last known use. */
  lastUsedAt: number;
  /** Requests known to be running on the adapter, over all daemons. */
  running: number;
  /** Number of uses, decaying exponentially over {@link USE_DECAY_MS}. */
  decayedUses: number;
  /**
   * Version of the same adapter that is, or may be, resident in addition to this one. If it differs, it
   * occupies a second slot.
   */
  replacedVersion: number | undefined;
  /** Task that follows the load into this slot. */
  loadTask: object | undefined;
  /**
   * Whether the adapter is known to be resident now. A report alone is not sufficient: an unload that waited
   * for running requests may have ended since, and the engine does not count that.
   */
  isConfirmedResident: boolean;
}

/** Time constant of the decay of uses, in milliseconds: demand shifts within seconds. */
const USE_DECAY_MS = 8000;
/**
 * Time after a load or use during which an adapter is not evicted, in milliseconds: the request that waited
 * for it is about to arrive.
 */
const EVICTION_GRACE_MS = 300;

/**
 * Returns whether an order for the adapter in a slot is not known to be done, so that it is being loaded or
 * unloaded.
 */
export function isInTransition({ state }: Slot): boolean {
  return TRANSITION_STATES.has(state);
}

/**
 * Returns the number of slots that an adapter occupies: two while another version of it is, or may be,
 * resident.
 */
function slotsOccupiedBy({ version, replacedVersion }: Slot): number {
  return replacedVersion === undefined || replacedVersion === version ? 1 : 2;
}

/** An adapter whose load is still followed is left alone: the task may not know yet that it is resident. */
function isEvictable({ state, running, replacedVersion, loadTask }: Slot): boolean {
  return (
    EVICTABLE_STATES.has(state) && running === 0 && replacedVersion === undefined && loadTask === undefined
  );
}

/** Returns the base model and adapter of a slot, as named in orders. */
export function adapterOf({ key }: Slot): { readonly model: string; readonly adapter: string } {
  const slash = key.indexOf('/');
  return { model: key.slice(0, slash), adapter: key.slice(slash + 1) };
}

/** Table of the occupied slots of one engine. */
export class SlotTable {
  private readonly slots = new Map<string, Slot>();

  constructor(private readonly timers: TimerService) {}

  /** Number of occupied slots, in any state. */
  get occupied(): number {
    let count = 0;
    for (const slot of this.slots.values()) count += slotsOccupiedBy(slot);
    return count;
  }

  /** Number of adapters that could be evicted now. */
  get evictable(): number {
    let count = 0;
    for (const slot of this.slots.values()) if (isEvictable(slot)) count += 1;
    return count;
  }

  /** Number of loads reserved or in progress. */
  get loading(): number {
    let count = 0;
    for (const { state } of this.slots.values()) if (LOADING_STATES.has(state)) count += 1;
    return count;
  }

  all(): Iterable<Slot> {
    return this.slots.values();
  }

  /**
   * Returns the slot of an adapter, or undefined.
   * @param key - `model/adapter`.
   */
  get(key: string): Slot | undefined {
    return this.slots.get(key);
  }

  /**
   * Occupies a slot, or updates the slot that the adapter already occupies.
   * @param key - `model/adapter`.
   */
  put(key: string, version: number, state: SlotState): Slot {
    const slot = this.slots.get(key) ?? this.create(key, version, state);
    slot.version = version;
    slot.state = state;
    slot.lastUsedAt = this.timers.now();
    this.slots.set(key, slot);
    return slot;
  }

  /**
   * Removes a slot from the table.
   * @param key - `model/adapter`.
   */
  free(key: string): void {
    this.slots.delete(key);
  }

  /** Changes the state of a slot and marks it as used. */
  setState(slot: Slot, state: SlotState): void {
    this.put(slot.key, slot.version, state);
  }

  /**
   * Records requests that a daemon has reported for an adapter.
   * @param key - `model/adapter`.
   * @param uses - Requests since its previous report.
   */
  recordUses(key: string, uses: number): void {
    const slot = this.slots.get(key);
    if (slot === undefined || uses === 0) return;
    slot.decayedUses = this.usesNow(slot) + uses;
    slot.lastUsedAt = this.timers.now();
  }

  /**
   * Returns the evictable slot with the fewest decayed uses, the least recently used of equals; undefined
   * when there is none.
   */
  evictionCandidate(): Slot | undefined {
    const now = this.timers.now();
    let candidate: Slot | undefined;
    let candidateUses = Number.POSITIVE_INFINITY;
    for (const slot of this.slots.values()) {
      if (!isEvictable(slot) || now - slot.lastUsedAt < EVICTION_GRACE_MS) continue;
      const uses = this.usesNow(slot);
      if (uses < candidateUses || (uses === candidateUses && slot.lastUsedAt < candidate!.lastUsedAt)) {
        candidate = slot;
        candidateUses = uses;
      }
    }
    return candidate;
  }

  private create(key: string, version: number, state: SlotState): Slot {
    const lastUsedAt = this.timers.now();
    const isConfirmedResident = false;
    return {
      key,
      version,
      state,
      lastUsedAt,
      running: 0,
      decayedUses: 0,
      replacedVersion: undefined,
      loadTask: undefined,
      isConfirmedResident,
    };
  }

  private usesNow(slot: Slot): number {
    return slot.decayedUses * Math.exp((slot.lastUsedAt - this.timers.now()) / USE_DECAY_MS);
  }
}
