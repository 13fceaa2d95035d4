/** Computes how many adapters an engine can hold in addition to its base models. */
import type { EngineSpec } from '../catalog/index.js';

/**
 * Returns the adapter capacity of an engine: its slots, or fewer where its memory is the tighter limit.
 *
 * An engine that is ordered to load more adapters than this crashes, along with every request running on it.
 * @param models - Names of the resident base models.
 * @returns 0 when the models leave no memory for adapters.
 */
export function adapterCapacity(engine: EngineSpec, models: ReadonlySet<string>): number {
  let freeMb = engine.memoryMb;
  let largestMb = 0;
  for (const { name, weightsMb, adapterMb } of engine.models) {
    if (!models.has(name)) continue;
    freeMb -= weightsMb;
    // Adapters of all models share the memory. Counting each at the size of the largest never underestimates
    // their use.
    largestMb = Math.max(largestMb, adapterMb);
  }
  if (largestMb === 0) return engine.adapterSlots;
  return Math.max(0, Math.min(engine.adapterSlots, Math.floor(freeMb / largestMb)));
}
