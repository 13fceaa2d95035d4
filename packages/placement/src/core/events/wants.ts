/** What the owner of an engine does about the plan at a moment. */
import type { AdapterKey, LoadWant } from '../policy/index.js';
import type { EventPlan, PlannedLoad } from './types.js';

/** Options of `eventWants`. */
export interface EventWantsOptions {
  readonly plan: EventPlan;
  readonly engine: string;
  /** Wall-clock time, milliseconds since the epoch. */
  readonly wallMs: number;
  /** Monotonic time, milliseconds. */
  readonly now: number;
  /** Whether an adapter is loaded or loading on any engine, as far as the owner knows. */
  readonly isHeld: (key: AdapterKey) => boolean;
}

function isDue(load: PlannedLoad, wallMs: number): boolean {
  return load.loadAtMs <= wallMs && wallMs < load.endMs;
}

/**
 * Finds the adapters that events reserve at a moment; each engine keeps those of them that it holds.
 * @param plan - The plan.
 * @param wallMs - Wall-clock time, milliseconds since the epoch.
 * @returns Their keys.
 */
export function reservedKeys(plan: EventPlan, wallMs: number): ReadonlySet<AdapterKey> {
  return new Set(plan.loads.filter((load) => isDue(load, wallMs)).map(({ key }) => key));
}

/**
 * Finds the loads that are due on an engine.
 * @param options - The plan, the engine and the moment.
 * @returns Loads that the engine's owner wants besides those that requests wait for.
 */
export function eventWants(options: EventWantsOptions): readonly LoadWant[] {
  const { plan, engine, wallMs, now, isHeld } = options;
  const due = plan.loads.filter((load) => load.engine === engine && isDue(load, wallMs) && !isHeld(load.key));
  return due.map(({ key, model, rps, loadAtMs, startMs }) => ({
    engine,
    key,
    model,
    replica: false,
    waiting: 0,
    oldestAt: now - (wallMs - loadAtMs),
    deadlineAt: Infinity,
    priority: 0,
    eventAt: now + (startMs - wallMs),
    popularity: rps,
  }));
}
