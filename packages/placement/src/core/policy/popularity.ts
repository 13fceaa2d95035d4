/**
 * Popularity of adapters in a fixed number of decaying counters, so that idle adapters cost nothing.
 *
 * Each counted adapter has a count in several windows, measured in requests of the whole site. How well each
 * window foretold the last requests decides how much it counts: while demand is steady the longest window
 * is the most exact, and within some tens of requests after a shift the shortest takes over.
 */
import type { AdapterKey } from './types.js';

/** Options of the counters. */
export interface PopularityOptions {
  /** Windows in requests of the whole site, shortest first. */
  readonly windows: readonly number[];
  /** How many adapters are counted at most. */
  readonly capacity: number;
  /** Requests over which the windows' forecasts are compared. */
  readonly memory: number;
}

/** One adapter's counts in every window. */
class WindowCounts {
  readonly values: Float64Array;

  constructor(
    windows: number,
    /** Number of the request when the values were brought up to date. */
    private at: number,
  ) {
    this.values = new Float64Array(windows).fill(1);
  }

  /** Lets the counts decay by the requests that have passed. */
  refresh(requests: number, decays: Float64Array): void {
    const passed = requests - this.at;
    if (passed === 0) return;
    this.at = requests;
    const { values } = this;
    for (let window = 0; window < values.length; window += 1) {
      values[window]! *= Math.exp(-passed * decays[window]!);
    }
  }
}

/** Below this, a count says no more than that the adapter exists. */
const SEEN = 0.05;
/** Least share of requests that a window expects for adapters that it has not seen. */
const LEAST_NOVELTY = 0.02;
/** Probability of one adapter that a window has not seen, if the next is such a one. */
const UNSEEN_SHARE = 1 / 2000;
/** Share of the weight that goes round equally, so that no window is given up for good. */
const SHARED_WEIGHT = 0.002;
/** Below this weight the longest window is taken to count a demand that has gone. */
const STALE_WEIGHT = 0.01;
const MS_PER_SECOND = 1000;
const RATE_WINDOW_MS = 60_000;

/** Counters over several windows; when full, the smaller half is given up. */
export class Popularity {
  private readonly counts = new Map<AdapterKey, WindowCounts>();

  private readonly decays: Float64Array;

  private readonly totals: Float64Array;

  private readonly novelty: Float64Array;

  private readonly scores: Float64Array;

  private readonly weights: Float64Array;

  private requests = 0;

  private rateCount = 0;

  private rateSpan = 0;

  private rateAt: number | undefined;

  constructor(private readonly options: PopularityOptions) {
    const { windows } = options;
    this.decays = Float64Array.from(windows, (window) => 1 / window);
    this.totals = new Float64Array(windows.length);
    this.novelty = new Float64Array(windows.length).fill(0.5);
    this.scores = new Float64Array(windows.length);
    this.weights = new Float64Array(windows.length).fill(1 / windows.length);
  }

  /** Counts one request. */
  observe(key: AdapterKey, now: number): void {
    this.countRate(now);
    const count = this.counts.get(key);
    if (count !== undefined) count.refresh(this.requests, this.decays);
    this.score(count);
    this.requests += 1;
    const { length } = this.decays;
    for (let window = 0; window < length; window += 1) {
      this.totals[window] = this.totals[window]! * Math.exp(-this.decays[window]!) + 1;
    }
    if (count === undefined) {
      if (this.counts.size >= this.options.capacity) this.shrink();
      this.counts.set(key, new WindowCounts(length, this.requests));
      return;
    }
    count.refresh(this.requests, this.decays);
    for (let window = 0; window < length; window += 1) count.values[window]! += 1;
  }

  /** Estimates an adapter's share of all requests. */
  share(key: AdapterKey): number {
    const count = this.counts.get(key);
    if (count === undefined) return 0;
    count.refresh(this.requests, this.decays);
    return this.mixed(count);
  }

  /** Estimates an adapter's requests a second. */
  rate(key: AdapterKey): number {
    return this.share(key) * this.siteRate();
  }

  /**
   * Finds the most popular adapters.
   * @param limit - How many at most.
   * @param accept - Leaves the others out.
   * @returns Their keys, most popular first.
   */
  top(limit: number, accept: (key: AdapterKey) => boolean): readonly AdapterKey[] {
    const best: { readonly key: AdapterKey; readonly share: number }[] = [];
    for (const [key, count] of this.counts) {
      count.refresh(this.requests, this.decays);
      const share = this.mixed(count);
      if (best.length === limit && share <= best[limit - 1]!.share) continue;
      if (!accept(key)) continue;
      const at = best.findIndex((other) => other.share < share);
      best.splice(at < 0 ? best.length : at, 0, { key, share });
      if (best.length > limit) best.pop();
    }
    return best.map(({ key }) => key);
  }

  /** Requests a second of the whole site. */
  siteRate(): number {
    return this.rateSpan === 0 ? 0 : (this.rateCount / this.rateSpan) * MS_PER_SECOND;
  }

  /** Number of adapters that are counted. */
  get size(): number {
    return this.counts.size;
  }

  private countRate(now: number): void {
    const passed = now - (this.rateAt ?? now);
    const keep = Math.exp(-passed / RATE_WINDOW_MS);
    this.rateAt = now;
    this.rateCount = this.rateCount * keep + 1;
    this.rateSpan = this.rateSpan * keep + passed;
  }

  private mixed(count: WindowCounts): number {
    let share = 0;
    for (let window = 0; window < this.weights.length; window += 1) {
      share += (this.weights[window]! * count.values[window]!) / Math.max(1, this.totals[window]!);
    }
    return share;
  }

  /** Compares what the windows had foretold of a request that has come. */
  private score(count: WindowCounts | undefined): void {
    const { length } = this.scores;
    const keep = 1 - 1 / this.options.memory;
    let best = -Infinity;
    for (let window = 0; window < length; window += 1) {
      const value = count?.values[window] ?? 0;
      const isSeen = value > SEEN;
      const novelty = Math.max(LEAST_NOVELTY, this.novelty[window]!);
      const forecast = isSeen
        ? ((1 - novelty) * value) / Math.max(1, this.totals[window]!)
        : novelty * UNSEEN_SHARE;
      this.scores[window] = this.scores[window]! * keep + Math.log(Math.max(forecast, Number.MIN_VALUE));
      this.novelty[window]! += ((isSeen ? 0 : 1) - this.novelty[window]!) / this.options.memory;
      best = Math.max(best, this.scores[window]!);
    }
    this.weigh(best);
  }

  private weigh(best: number): void {
    const { length } = this.scores;
    let sum = 0;
    for (let window = 0; window < length; window += 1) {
      this.weights[window] = Math.exp(this.scores[window]! - best);
      sum += this.weights[window]!;
    }
    for (let window = 0; window < length; window += 1) {
      this.weights[window] = (1 - SHARED_WEIGHT) * (this.weights[window]! / sum) + SHARED_WEIGHT / length;
    }
    if (this.requests > this.options.memory && this.weights[length - 1]! < STALE_WEIGHT) this.restart();
  }

  /** Lets the longest window start again from the one that foretells best. */
  private restart(): void {
    const last = this.weights.length - 1;
    const from = this.weights.indexOf(Math.max(...this.weights));
    for (const count of this.counts.values()) {
      count.refresh(this.requests, this.decays);
      count.values[last] = count.values[from]!;
    }
    this.totals[last] = this.totals[from]!;
    this.novelty[last] = this.novelty[from]!;
    this.scores[last] = this.scores[from]!;
  }

  /** Gives up the smaller half, so that the cost of sorting is spread over many requests. */
  private shrink(): void {
    const entries = [...this.counts].map(([key, count]) => {
      count.refresh(this.requests, this.decays);
      return { key, value: this.mixed(count) };
    });
    entries.sort((left, right) => left.value - right.value);
    for (const { key } of entries.slice(0, Math.ceil(entries.length / 2))) this.counts.delete(key);
  }
}
