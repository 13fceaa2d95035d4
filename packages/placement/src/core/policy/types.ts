/** What a placement policy decides; the daemon and the bench run the same code. */

/** Key of an adapter and version, `adapter@version`. */
export type AdapterKey = string;

/** State of a slot. */
export enum SlotState {
  Loading = 'loading',
  Ready = 'ready',
  Unloading = 'unloading',
}

/** One occupied slot of an engine. */
export interface SlotView {
  readonly key: AdapterKey;
  readonly state: SlotState;
  /** Requests that hold a lease on it. */
  readonly running: number;
  /** Requests that wait for it. */
  readonly waiting: number;
  /** Reserved by an event that is near or on. */
  readonly reserved: boolean;
  /** Monotonic time in milliseconds. */
  readonly loadedAt: number;
  /** Monotonic time in milliseconds. */
  readonly lastUsedAt: number;
  /** How often it was used since it was loaded. */
  readonly uses: number;
}

/** One engine as a dispatcher sees it; the view may lag. */
export interface EngineView {
  readonly name: string;
  readonly model: string;
  readonly store: string;
  /** Adapter slots. */
  readonly slots: number;
  /** Most requests in one step. */
  readonly batch: number;
  /** Requests that run. */
  readonly running: number;
  /** Requests that wait for a load. */
  readonly waiting: number;
  /** Keys that are loaded or loading, with their state. */
  readonly keys: ReadonlyMap<AdapterKey, SlotState>;
  /** Share of full use that it may get after a restart, 0 to 1. */
  readonly warmth: number;
}

/** All engines that may be chosen. */
export interface SiteView {
  /** Engines of a base model, live and not leaving. */
  engines(model: string): readonly EngineView[];
  /** Engines where a key is loaded or loading. */
  holders(key: AdapterKey): readonly EngineView[];
}

/** A request that needs an engine. */
export interface RouteWant {
  readonly key: AdapterKey;
  readonly model: string;
  /** Engines that it may not go to. */
  readonly excluded: ReadonlySet<string>;
}

/** Where a request goes. */
export interface RouteChoice {
  readonly engine: string;
  /** State of the key there, or undefined when it has to be loaded. */
  readonly state: SlotState | undefined;
  /** Why, in a few words, for `celeryyoke explain`. */
  readonly reason: string;
}

/** A load that waits for the store. */
export interface LoadWant {
  /** Engine at which the requests wait; the load itself may go to another one. */
  readonly engine: string;
  readonly key: AdapterKey;
  readonly model: string;
  /** Whether it is a further copy of an adapter that is loaded elsewhere. */
  readonly replica: boolean;
  /** Requests that wait for it. */
  readonly waiting: number;
  /** Monotonic time in milliseconds since when the oldest waits. */
  readonly oldestAt: number;
  /** Earliest deadline of those that wait, monotonic milliseconds; Infinity for none. */
  readonly deadlineAt: number;
  /** Highest priority of those that wait. */
  readonly priority: number;
  /** Start of the event that it is for, monotonic milliseconds; undefined for none. */
  readonly eventAt: number | undefined;
  /** Popularity in requests a second, as its sender estimates it. */
  readonly popularity: number;
}

/** A slot that may be given up, and what keeping it is worth. */
export interface VictimView {
  readonly key: AdapterKey;
  /** As `keepValue` gave it; only compared with values of the same policy. */
  readonly value: number;
}

/** Room that an engine can make for a load. */
export interface RoomView {
  readonly engine: string;
  readonly model: string;
  /** Slots that are empty. */
  readonly free: number;
  /** Slots that may be given up, least valuable first, a few at most. */
  readonly victims: readonly VictimView[];
  /** Requests that run. */
  readonly running: number;
  /** Most requests in one step. */
  readonly batch: number;
  /** Share of full use that it may get after a restart, 0 to 1. */
  readonly warmth: number;
}

/** Requests for one adapter that a daemon has counted. */
export interface ObservedCount {
  readonly key: AdapterKey;
  readonly count: number;
}

/** A placement policy. */
export interface PlacementPolicy {
  readonly name: string;
  /** Counts a request for an adapter. */
  observe(key: AdapterKey, now: number): void;
  /**
   * Takes what `observe` has counted since the last call, for the other daemons.
   * @param limit - Adapters at most, the most requested first; the rest is given up.
   */
  takeObserved(limit: number): readonly ObservedCount[];
  /** Counts what another daemon has observed. */
  mergeObserved(counts: readonly ObservedCount[], now: number): void;
  /** Estimates an adapter's popularity in requests a second. */
  popularity(key: AdapterKey, now: number): number;
  /**
   * Chooses the engine for a request; undefined when there is none.
   * When no engine holds the adapter, it is the engine where the request waits until its load is placed.
   */
  route(want: RouteWant, site: SiteView, now: number): RouteChoice | undefined;
  /** Chooses the next load out of those that wait; undefined for none. */
  nextLoad(wants: readonly LoadWant[], now: number): LoadWant | undefined;
  /**
   * Chooses the engine for a load at the moment when the store has time for it.
   * @returns One of the rooms, or undefined when none of them will do now.
   */
  place(want: LoadWant, rooms: readonly RoomView[], now: number): RoomView | undefined;
  /** Tells what keeping a loaded adapter is worth; the slot with the lowest value makes room. */
  keepValue(slot: SlotView, now: number): number;
  /** Proposes loads for which nothing waits yet; they get store time that nothing else needs. */
  prefetch(site: SiteView, now: number): readonly LoadWant[];
}
