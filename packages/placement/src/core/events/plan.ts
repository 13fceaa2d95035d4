/**
 * The event plan as a pure function of the configuration and the live engines, so that all daemons and
 * `celeryyoke plan` compute the same one.
 */
import type { EventConfig, StoreConfig } from '@celeryyoke/configuration';

import type { Assignment } from './assign.js';
import { assignEngines } from './assign.js';
import type { EventPlan, PlanConfig, PlannedLoad } from './types.js';

const MS_PER_SECOND = 1000;
/** Share of the store's rate that prewarming takes while there is time, so that other loads go on. */
const PREWARM_SHARE = 0.25;
/** Everything is to be ready this long before the start, so that a failed load can be tried again. */
const MARGIN_MS = 5000;

interface TimedLoad {
  readonly assignment: Assignment;
  readonly loadAtMs: number;
}

/** Time that one load takes at a store. */
function loadMsOf(store: StoreConfig): number {
  return (store.concurrentLoads / store.loadsPerSecond) * MS_PER_SECOND;
}

/** The least requested adapter of the last event is loaded last. */
function compareBackwards(left: Assignment, right: Assignment): number {
  return right.event.startMs - left.event.startMs || left.rps - right.rps || (left.key < right.key ? 1 : -1);
}

/** Gives each load of one store its time, backwards from the starts. */
function scheduleBackwards(assignments: readonly Assignment[], store: StoreConfig): readonly TimedLoad[] {
  const interval = MS_PER_SECOND / (store.loadsPerSecond * PREWARM_SHARE);
  let cursor = Infinity;
  const timed: TimedLoad[] = [];
  for (const assignment of [...assignments].sort(compareBackwards)) {
    const latest = assignment.event.startMs - MARGIN_MS - loadMsOf(store);
    cursor = Math.min(cursor - interval, latest);
    timed.push({ assignment, loadAtMs: cursor });
  }
  return timed.reverse();
}

/** Works out when each load of one store is ready, taking the store's whole rate for those that are due. */
function* runForwards(timed: readonly TimedLoad[], store: StoreConfig, atMs: number): Generator<PlannedLoad> {
  let freeAtMs = atMs;
  for (const { assignment, loadAtMs } of timed) {
    const { event, key, rps, engine, endMs } = assignment;
    const beginMs = Math.max(loadAtMs, freeAtMs);
    freeAtMs = beginMs + MS_PER_SECOND / store.loadsPerSecond;
    const readyAtMs = beginMs + loadMsOf(store);
    yield {
      event: event.name,
      key,
      model: engine.model,
      engine: engine.name,
      store: store.name,
      rps,
      loadAtMs,
      readyAtMs,
      startMs: event.startMs,
      endMs,
      lateMs: Math.max(0, readyAtMs - event.startMs),
    };
  }
}

/** Events that have not ended, in order of their start. */
function openEvents(events: readonly EventConfig[], atMs: number): readonly EventConfig[] {
  return events
    .filter((event) => event.endMs > atMs)
    .sort((left, right) => left.startMs - right.startMs || (left.name < right.name ? -1 : 1));
}

/**
 * Plans the loads of all events that have not ended.
 * @param config - The configuration.
 * @param hosts - Names of the live engines.
 * @param atMs - Moment of the plan, milliseconds since the epoch; loads that are overdue then are taken to
 * be still missing, so that the plan says how late they would be.
 * @returns The plan.
 */
export function planEvents(config: PlanConfig, hosts: Iterable<string>, atMs: number): EventPlan {
  const { assigned, unplaced } = assignEngines(config, openEvents(config.events, atMs), new Set(hosts));
  const loads: PlannedLoad[] = [];
  for (const store of config.stores) {
    const own = assigned.filter(({ engine }) => engine.store === store.name);
    loads.push(...runForwards(scheduleBackwards(own, store), store, atMs));
  }
  loads.sort((left, right) => left.loadAtMs - right.loadAtMs || (left.key < right.key ? -1 : 1));
  return { loads, unplaced };
}
