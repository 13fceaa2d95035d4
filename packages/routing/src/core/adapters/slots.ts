/** The adapter slots of one engine, as the daemon keeps them that gives it orders. */
import type { TimerService } from '@celeryyoke/core';

/** What is in a slot. */
export enum SlotState {
  /** Kept for a load that is not known to have been accepted. */
  Reserved = 'reserved',
  /** On its way: the engine has not said yet that it is in place. It must not be ordered away. */
  Loading = 'loading',
  Held = 'held',
  /** It was in place, a request did not find it, and the engine could not be asked. */
  Doubted = 'doubted',
  /** Ordered away, but requests still run on it. */
  Dropping = 'dropping',
}

/** States in which an adapter may be ordered away when no request runs on it. */
const EVICTABLE: ReadonlySet<SlotState> = new Set([SlotState.Held, SlotState.Doubted]);
/** States in which a load counts towards those that the engine takes in at once. */
const COMING: ReadonlySet<SlotState> = new Set([SlotState.Reserved, SlotState.Loading]);
const MOVING: ReadonlySet<SlotState> = new Set([...COMING, SlotState.Dropping]);

/** One occupied slot. */
export interface Slot {
  readonly key: string;
  version: number;
  state: SlotState;
  /** Monotonic time of the last known use. */
  usedAt: number;
  /** Requests known to run on it, over all daemons. */
  running: number;
  /** Uses that fade over {@link FADE_MS}. */
  uses: number;
  /** Version that is, or may be, in place beside this one; another one takes a second slot. */
  beneath: number | undefined;
  /** The task that follows the load into it. */
  watcher: object | undefined;
  /**
   * Whether it is known to be in place now. A report alone does not show it: an unload that waited for its runs may have
   * ended since, and the engine does not count that.
   */
  isSeen: boolean;
}

/** Time over which uses fade, in milliseconds: demand moves on within seconds. */
const FADE_MS = 8000;
/** Time after a load or use in which an adapter is no victim, in milliseconds: the request that waited is on its way. */
const PROTECTED_MS = 300;

/**
 * Tells whether an order concerns the adapter in a slot that the engine has not said to be done.
 * @param slot - The slot.
 * @returns Whether it is on its way, in or out.
 */
export function isMoving({ state }: Slot): boolean {
  return MOVING.has(state);
}

/**
 * Counts the slots that an adapter takes.
 * @param slot - Its slot.
 * @returns Two while another version of it is, or may be, in place.
 */
function slotsTaken({ version, beneath }: Slot): number {
  return beneath === undefined || beneath === version ? 1 : 2;
}

/** One whose load is still followed is left to that task: it may not have heard yet that the adapter is in place. */
function isEvictable({ state, running, beneath, watcher }: Slot): boolean {
  return EVICTABLE.has(state) && running === 0 && beneath === undefined && watcher === undefined;
}

/**
 * Names the adapter in a slot, as orders name it.
 * @param slot - The slot.
 * @returns Base model and adapter.
 */
export function refOf({ key }: Slot): { readonly model: string; readonly adapter: string } {
  const slash = key.indexOf('/');
  return { model: key.slice(0, slash), adapter: key.slice(slash + 1) };
}

/** The slots. */
export class SlotTable {
  private readonly slots = new Map<string, Slot>();

  /**
   * Makes an empty table.
   * @param timers - Time.
   */
  constructor(private readonly timers: TimerService) {}

  /** Occupied slots, whatever is in them. */
  get occupied(): number {
    let count = 0;
    for (const slot of this.slots.values()) count += slotsTaken(slot);
    return count;
  }

  /** Adapters that no request runs on. */
  get evictable(): number {
    let count = 0;
    for (const slot of this.slots.values()) if (isEvictable(slot)) count += 1;
    return count;
  }

  /** Adapters on their way. */
  get loading(): number {
    let count = 0;
    for (const { state } of this.slots.values()) if (COMING.has(state)) count += 1;
    return count;
  }

  /** All slots. */
  all(): Iterable<Slot> {
    return this.slots.values();
  }

  /**
   * Finds the slot of an adapter.
   * @param key - `model/adapter`.
   * @returns The slot, or undefined.
   */
  get(key: string): Slot | undefined {
    return this.slots.get(key);
  }

  /**
   * Occupies a slot.
   * @param key - `model/adapter`.
   * @param version - Its version.
   * @param state - What is known of it.
   * @returns The slot.
   */
  put(key: string, version: number, state: SlotState): Slot {
    const slot = this.slots.get(key) ?? this.make(key, version, state);
    slot.version = version;
    slot.state = state;
    slot.usedAt = this.timers.now();
    this.slots.set(key, slot);
    return slot;
  }

  /**
   * Frees a slot.
   * @param key - `model/adapter`.
   */
  free(key: string): void {
    this.slots.delete(key);
  }

  /**
   * Notes what is known of an adapter now.
   * @param slot - Its slot.
   * @param state - What is known of it now.
   */
  mark(slot: Slot, state: SlotState): void {
    this.put(slot.key, slot.version, state);
  }

  /**
   * Notes uses that a daemon told.
   * @param key - `model/adapter`.
   * @param uses - Requests since it told last.
   */
  use(key: string, uses: number): void {
    const slot = this.slots.get(key);
    if (slot === undefined || uses === 0) return;
    slot.uses = this.faded(slot) + uses;
    slot.usedAt = this.timers.now();
  }

  /**
   * Chooses the adapter that is missed least.
   * @returns Its slot, or undefined when every one is in use.
   */
  victim(): Slot | undefined {
    const now = this.timers.now();
    let least: Slot | undefined;
    let leastScore = Number.POSITIVE_INFINITY;
    for (const slot of this.slots.values()) {
      if (!isEvictable(slot) || now - slot.usedAt < PROTECTED_MS) continue;
      const score = this.faded(slot);
      if (score < leastScore || (score === leastScore && slot.usedAt < least!.usedAt)) {
        least = slot;
        leastScore = score;
      }
    }
    return least;
  }

  private make(key: string, version: number, state: SlotState): Slot {
    const usedAt = this.timers.now();
    const isSeen = false;
    return {
      key,
      version,
      state,
      usedAt,
      running: 0,
      uses: 0,
      beneath: undefined,
      watcher: undefined,
      isSeen,
    };
  }

  private faded(slot: Slot): number {
    return slot.uses * Math.exp((slot.usedAt - this.timers.now()) / FADE_MS);
  }
}
