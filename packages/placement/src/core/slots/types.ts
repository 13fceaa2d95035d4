/** The owner's table of an engine's slots; it decides, and others carry the orders out. */
import type {
  AdapterKey,
  LoadWant,
  PlacementPolicy,
  RoomView,
  SlotState,
  SlotView,
} from '../policy/index.js';

/** Options of a slot table. */
export interface SlotTableOptions {
  readonly engine: string;
  /** Base model that the engine serves. */
  readonly model: string;
  /** Adapter slots. */
  readonly slots: number;
  /** Most requests in one step. */
  readonly batch: number;
  readonly policy: PlacementPolicy;
  /**
   * Bound on the lag of the engine's report in milliseconds. When it is given, a slot is given up only
   * after a report that is younger than the last lease by this much shows nothing running on it.
   */
  readonly reportLagMs?: number | undefined;
}

/** A request that waits for an adapter or runs on it. */
export interface SlotRequest {
  /** Unique within the fleet. */
  readonly id: string;
  /** Daemon that holds the lease. */
  readonly holder: string;
  readonly key: AdapterKey;
  readonly priority: number;
  /** Monotonic milliseconds; Infinity for none. */
  readonly deadlineAt: number;
}

/** What a load needs. */
export interface LoadPlan {
  readonly key: AdapterKey;
  /** Slot that must be unloaded first, if none is free. */
  readonly victim: AdapterKey | undefined;
}

/** The table of one engine. */
export interface SlotTable {
  readonly engine: string;
  /** Occupied slots. */
  views(): readonly SlotView[];
  /** State of a key, if it has a slot. */
  state(key: AdapterKey): SlotState | undefined;
  /** Requests that run, and requests that wait, on the whole engine. */
  load(): { readonly running: number; readonly waiting: number };
  /**
   * Asks for a lease.
   * @returns Whether it is granted now; otherwise it waits until `loadEnded` or `redirect` returns it.
   */
  lease(req: SlotRequest, now: number): boolean;
  /** Notes a lease that an earlier owner granted, as its holder reports it; an unknown key gets a slot. */
  restore(req: SlotRequest, now: number): void;
  /** Ends a lease, or gives up waiting. */
  release(id: string, now: number): void;
  /** Ends every lease of a holder that is proved gone. */
  releaseHolder(holder: string, now: number): void;
  /**
   * Takes out the requests that wait for a key, because another engine has it or loads it.
   * @returns The requests, to be leased there.
   */
  redirect(key: AdapterKey): readonly SlotRequest[];
  /** Sets the keys that an event reserves. */
  reserve(keys: ReadonlySet<AdapterKey>): void;
  /** Loads that are wanted and not begun, without prefetch. */
  wants(now: number): readonly LoadWant[];
  /** Room that the engine can make for a load now. */
  room(now: number): RoomView;
  /** Plans a load that has its permit; undefined when no slot can be made free now. */
  plan(key: AdapterKey, now: number): LoadPlan | undefined;
  /** Notes that an unload has begun; from now on no lease is granted on the key. */
  unloadStarted(key: AdapterKey, now: number): void;
  /**
   * Notes that an unload has ended; a failed one leaves the slot as it was.
   * @returns The requests that are granted their lease now; none when the slot is free.
   */
  unloadEnded(key: AdapterKey, ok: boolean, now: number): readonly SlotRequest[];
  /** Notes that a load has begun; the key needs a free slot. */
  loadStarted(key: AdapterKey, now: number): void;
  /**
   * Notes that a load has ended.
   * @returns The requests that are granted their lease now; none when it failed, and they wait on.
   */
  loadEnded(key: AdapterKey, ok: boolean, now: number): readonly SlotRequest[];
  /**
   * Notes what the engine reports as running on each key.
   * @param running - Requests for each key; a key left out runs none.
   * @param takenAt - Monotonic time when the report was asked for.
   */
  reported(running: ReadonlyMap<AdapterKey, number>, takenAt: number): void;
  /** Adopts what the engine itself reports as loaded, as a new owner does. */
  adopt(keys: readonly AdapterKey[], now: number): void;
  /** Notes that the engine restarted with nothing loaded; leases end, requests that waited still wait. */
  restarted(now: number): void;
}
