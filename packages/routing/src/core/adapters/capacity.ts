/** How many adapters an engine holds beside its base models. */
import type { EngineSpec } from '../catalog/index.js';

/**
 * Counts the adapters that an engine may hold: its slots, or fewer where its memory is smaller.
 *
 * An engine that is ordered to load more crashes, with all that it runs.
 * @param engine - What the engines of the service are like.
 * @param models - Names of the base models in place.
 * @returns Adapters at most; 0 when the models leave no memory.
 */
export function adapterPlaces(engine: EngineSpec, models: ReadonlySet<string>): number {
  let freeMb = engine.memoryMb;
  let largestMb = 0;
  for (const { name, weightsMb, adapterMb } of engine.models) {
    if (!models.has(name)) continue;
    freeMb -= weightsMb;
    // Adapters of several models share the memory; counting each as the largest never counts too few.
    largestMb = Math.max(largestMb, adapterMb);
  }
  if (largestMb === 0) return engine.adapterSlots;
  return Math.max(0, Math.min(engine.adapterSlots, Math.floor(freeMb / largestMb)));
}
