/**
 * Estimates how long adapter loads take on one engine. A cold load fetches the adapter from the store; a warm
 * load finds a copy on the engine's host.
 */

/** Estimates of loads that were not measured, in milliseconds. */
export const COLD_LOAD_ESTIMATE_MS = 250;
export const WARM_LOAD_ESTIMATE_MS = 25;
/** Weight of a new measurement in the moving average. */
const SMOOTHING_FACTOR = 0.3;
/** Adapters that are remembered as loaded before. */
const MAX_REMEMBERED_ADAPTERS = 400;

/** Load time estimates of one engine. */
export class LoadTimes {
  private readonly loadedBefore = new Set<string>();

  private estimates = { cold: COLD_LOAD_ESTIMATE_MS, warm: WARM_LOAD_ESTIMATE_MS };

  /**
   * Returns whether the next load of an adapter is a warm one.
   * @param key - `model/adapter`.
   */
  wasLoadedBefore(key: string): boolean {
    return this.loadedBefore.has(key);
  }

  /**
   * Returns the expected time of the next load of an adapter, in milliseconds.
   * @param key - `model/adapter`.
   */
  expectedMs(key: string): number {
    return this.wasLoadedBefore(key) ? this.estimates.warm : this.estimates.cold;
  }

  /**
   * Updates the estimate with the duration of a finished load.
   * @param key - `model/adapter`.
   */
  record(key: string, tookMs: number): void {
    const kind = this.wasLoadedBefore(key) ? 'warm' : 'cold';
    const estimateMs = this.estimates[kind];
    this.estimates = { ...this.estimates, [kind]: estimateMs + SMOOTHING_FACTOR * (tookMs - estimateMs) };
    this.loadedBefore.delete(key);
    this.loadedBefore.add(key);
    if (this.loadedBefore.size <= MAX_REMEMBERED_ADAPTERS) return;
    const [oldest] = this.loadedBefore;
    this.loadedBefore.delete(oldest!);
  }
}
