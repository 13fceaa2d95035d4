/**
 * The placement policy that serves: popularity decides what stays loaded, the number of waiting requests and
 * their age what is loaded next, and a load goes where it costs little and keeps steps full.
 */
import { firstCandidate } from './candidates.js';
import { Popularity } from './popularity.js';
import type { PolicyTuning } from './tuning.js';
import { DEFAULT_TUNING } from './tuning.js';
import type {
  AdapterKey,
  EngineView,
  LoadWant,
  ObservedCount,
  PlacementPolicy,
  RoomView,
  RouteChoice,
  RouteWant,
  SiteView,
  SlotView,
} from './types.js';

/** Options of the policy. */
export interface PolicyOptions {
  /** 1 weighs load stalls only, 0 batch efficiency only; read at each decision, so that it may change. */
  readonly stallWeight: number;
  /** Longest time that a load can be passed over while the queue is short, in milliseconds. */
  readonly maxLoadWaitMs: number;
  /** Base model of a key; undefined for one that is not configured any more, or when left out: no prefetch. */
  readonly modelOf?: ((key: AdapterKey) => string | undefined) | undefined;
  /** Constants other than those in use, for measurements. */
  readonly tuning?: Partial<PolicyTuning> | undefined;
}

/** Above any request's urgency, below that of a load that was passed over for too long. */
const EVENT_URGENCY = Number.MAX_SAFE_INTEGER / 2;
/** Cost of a slot that nobody uses, in requests a second; keeps the logarithm finite. */
const LEAST_COST = 1e-9;
/** Cost of an empty slot; far below any adapter's. */
const EMPTY_COST = 1e-15;
/** Adapters that are counted for other daemons at most, between two tellings. */
const UNTOLD_MOST = 1024;
const PREFETCH_EVERY_MS = 1000;
const PREFETCH_TOLD = 4;
/** Smallest stall weight that counts, so that the trade-off stays finite. */
const LEAST_STALL_WEIGHT = 0.05;

class CeleryyokePolicy implements PlacementPolicy {
  readonly name = 'celeryyoke';

  private readonly tuning: PolicyTuning;

  private readonly counts: Popularity;

  /** Requests that other daemons have not been told of. */
  private readonly untold = new Map<AdapterKey, number>();

  /** Loads that waited when the last one was chosen. */
  private backlog = 0;

  private prefetchAt = 0;

  private prefetched: readonly LoadWant[] = [];

  constructor(private readonly options: PolicyOptions) {
    this.tuning = { ...DEFAULT_TUNING, ...options.tuning };
    const { windows, memory, counters } = this.tuning;
    this.counts = new Popularity({ windows, memory, capacity: counters });
  }

  /** How much batch efficiency weighs against load stall now; 1 when both weigh the same. */
  private get batchOdds(): number {
    const weight = Math.max(LEAST_STALL_WEIGHT, this.options.stallWeight);
    return (1 - weight) / weight;
  }

  observe(key: AdapterKey, now: number): void {
    this.counts.observe(key, now);
    const untold = this.untold.get(key);
    if (untold !== undefined || this.untold.size < UNTOLD_MOST) this.untold.set(key, (untold ?? 0) + 1);
  }

  takeObserved(limit: number): readonly ObservedCount[] {
    const counts = [...this.untold].map(([key, count]) => ({ key, count }));
    this.untold.clear();
    return counts.sort((left, right) => right.count - left.count).slice(0, limit);
  }

  mergeObserved(counts: readonly ObservedCount[], now: number): void {
    for (const { key, count } of counts) {
      for (let request = 0; request < count; request += 1) this.counts.observe(key, now);
    }
  }

  popularity(key: AdapterKey): number {
    return this.counts.rate(key);
  }

  // eslint-disable-next-line class-methods-use-this
  route(want: RouteWant, site: SiteView): RouteChoice | undefined {
    const holder = fullest(site.holders(want.key), want.excluded);
    if (holder !== undefined) {
      return { engine: holder.name, state: holder.keys.get(want.key), reason: 'fullest step that has it' };
    }
    const engine = firstCandidate(want.key, site.engines(want.model), want.excluded);
    return engine && { engine: engine.name, state: undefined, reason: 'first candidate' };
  }

  nextLoad(wants: readonly LoadWant[], now: number): LoadWant | undefined {
    this.backlog = wants.length;
    let best: LoadWant | undefined;
    let bestScore = -Infinity;
    for (const want of wants) {
      const score = this.urgency(want, now);
      if (score > bestScore) {
        best = want;
        bestScore = score;
      }
    }
    return best;
  }

  place(want: LoadWant, rooms: readonly RoomView[]): RoomView | undefined {
    if (want.eventAt !== undefined && want.waiting === 0) return plannedRoom(want, rooms);
    const isPrefetch = want.waiting === 0;
    const limit = isPrefetch ? this.counts.rate(want.key) - this.tuning.prefetchGain : Infinity;
    const weight = this.companyWeight();
    let best: RoomView | undefined;
    let bestScore = -Infinity;
    for (const room of rooms) {
      const cost = roomCost(room);
      const score = weight * companyGain(room) - Math.log2(cost);
      if (cost < limit && score > bestScore) {
        best = room;
        bestScore = score;
      }
    }
    return best;
  }

  keepValue(slot: SlotView): number {
    return this.counts.rate(slot.key);
  }

  prefetch(site: SiteView, now: number): readonly LoadWant[] {
    const isMissing = (key: AdapterKey): boolean => site.holders(key).length === 0;
    if (now >= this.prefetchAt) {
      this.prefetchAt = now + PREFETCH_EVERY_MS;
      this.prefetched = this.proposals(isMissing, now);
    }
    return this.prefetched.filter(({ key }) => isMissing(key));
  }

  private proposals(isMissing: (key: AdapterKey) => boolean, now: number): readonly LoadWant[] {
    const { modelOf } = this.options;
    if (modelOf === undefined) return [];
    const keys = this.counts.top(PREFETCH_TOLD, (key) => modelOf(key) !== undefined && isMissing(key));
    return keys.map((key) => this.proposal(key, modelOf(key)!, now));
  }

  /**
   * How urgent a load is: the age of its oldest request, more for each further one that waits. The exponent
   * is well below 1, because requests that go on waiting for a popular adapter share one load.
   */
  private urgency(want: LoadWant, now: number): number {
    const { countPower, nearDeadlineMs, nearDeadlineFactor } = this.tuning;
    const age = now - want.oldestAt;
    if (age > this.passBoundMs()) return Number.MAX_SAFE_INTEGER + age;
    // The plan spreads event loads thinly, so that one that is due can go before what waits.
    if (want.eventAt !== undefined) return EVENT_URGENCY - (want.eventAt - now);
    const slack = want.deadlineAt - now;
    const deadlineFactor = slack > 0 && slack < nearDeadlineMs ? nearDeadlineFactor : 1;
    return Math.max(1, want.waiting) ** countPower * deadlineFactor * 2 ** want.priority * (age + 1);
  }

  /**
   * Age at which a load goes first whatever waits: a little less than the time of the whole queue, so that
   * nothing waits longer than it would if all loads went in order of arrival.
   */
  private passBoundMs(): number {
    const { loadMs, passShare, passLeastMs } = this.tuning;
    return Math.max(Math.min(passLeastMs, this.options.maxLoadWaitMs), this.backlog * loadMs * passShare);
  }

  /**
   * Factor of popularity, as a power of two, that company is worth. A store that can't keep up makes requests
   * wait whatever is given up, so that full steps weigh more then.
   */
  private companyWeight(): number {
    const { companyLeast, companyMost, companyBacklog } = this.tuning;
    const pressure = Math.min(1, this.backlog / companyBacklog);
    return this.batchOdds * (companyLeast + (companyMost - companyLeast) * pressure);
  }

  private proposal(key: AdapterKey, model: string, now: number): LoadWant {
    const popularity = this.counts.rate(key);
    const waits = { waiting: 0, oldestAt: now, deadlineAt: Infinity, priority: 0, eventAt: undefined };
    return { engine: '', key, model, replica: false, popularity, ...waits };
  }
}

/** The room at the engine that the plan chose; while it has none, the load waits. */
function plannedRoom(want: LoadWant, rooms: readonly RoomView[]): RoomView | undefined {
  return rooms.find((room) => room.engine === want.engine);
}

/** What a load gives up at an engine, in requests a second; least when a slot is empty. */
function roomCost(room: RoomView): number {
  if (room.free > 0) return EMPTY_COST;
  return Math.max(LEAST_COST, room.victims[0]?.value ?? Infinity);
}

/** How likely it is that the engine runs steps anyway: 0 for an idle one, near 1 for a busy one. */
function companyGain(room: RoomView): number {
  const { running, batch, warmth } = room;
  return running < batch * warmth ? 1 - 2 ** -running : -1;
}

/** The engine whose steps are fullest and still have a place; the least full when all are full. */
function fullest(engines: readonly EngineView[], excluded: ReadonlySet<string>): EngineView | undefined {
  let best: EngineView | undefined;
  let bestScore = -Infinity;
  for (const engine of engines) {
    if (excluded.has(engine.name)) continue;
    const score = engine.running < engine.batch * engine.warmth ? engine.running : -engine.running;
    if (score > bestScore) {
      best = engine;
      bestScore = score;
    }
  }
  return best;
}

/**
 * Makes the policy.
 * @param options - Its weights and bounds.
 * @returns The policy.
 */
export function createPolicy(options: PolicyOptions): PlacementPolicy {
  return new CeleryyokePolicy(options);
}
