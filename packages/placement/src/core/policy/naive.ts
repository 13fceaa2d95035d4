/**
 * The naive policy, kept for ever as the baseline: the least loaded engine, loads in order of arrival on the
 * engine where the request came first, and the least recently used idle adapter makes room.
 */
import type {
  EngineView,
  LoadWant,
  PlacementPolicy,
  RoomView,
  RouteChoice,
  RouteWant,
  SiteView,
} from './types.js';

function leastLoaded(engines: readonly EngineView[], excluded: ReadonlySet<string>): EngineView | undefined {
  let best: EngineView | undefined;
  for (const engine of engines) {
    if (excluded.has(engine.name)) continue;
    const load = engine.running + engine.waiting;
    if (best === undefined || load < best.running + best.waiting) best = engine;
  }
  return best;
}

function route(want: RouteWant, site: SiteView): RouteChoice | undefined {
  const holder = leastLoaded(site.holders(want.key), want.excluded);
  if (holder !== undefined) {
    return { engine: holder.name, state: holder.keys.get(want.key), reason: 'least loaded that has it' };
  }
  const engine = leastLoaded(site.engines(want.model), want.excluded);
  return engine && { engine: engine.name, state: undefined, reason: 'least loaded' };
}

function nextLoad(wants: readonly LoadWant[]): LoadWant | undefined {
  let first: LoadWant | undefined;
  for (const want of wants) if (first === undefined || want.oldestAt < first.oldestAt) first = want;
  return first;
}

function place(want: LoadWant, rooms: readonly RoomView[]): RoomView | undefined {
  return rooms.find((room) => room.engine === want.engine);
}

/**
 * Makes the naive policy.
 * @returns The policy.
 */
export function createNaivePolicy(): PlacementPolicy {
  return {
    name: 'naive',
    observe: () => undefined,
    takeObserved: () => [],
    mergeObserved: () => undefined,
    popularity: () => 0,
    route,
    nextLoad,
    place,
    keepValue: (slot) => slot.lastUsedAt,
    prefetch: () => [],
  };
}
