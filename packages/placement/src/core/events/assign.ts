/** Gives each adapter of the events an engine, so that reservations never fill an engine whole. */
import { createAdapterCatalogue, joinAdapterKey } from '@celeryyoke/configuration';
import type { EngineConfig, EventAdapterConfig, EventConfig } from '@celeryyoke/configuration';

import type { AdapterKey } from '../policy/index.js';
import { rankCandidates } from '../policy/index.js';
import type { PlanConfig, UnplacedLoad } from './types.js';
import { UnplacedReason } from './types.js';

/** Slots of each engine that events never reserve, so that other requests are still served. */
export const UNRESERVED_SLOTS = 1;

/** An adapter with its engine, before its load has a time. */
export interface Assignment {
  readonly event: EventConfig;
  readonly key: AdapterKey;
  readonly rps: number;
  readonly engine: EngineConfig;
  /** When the reservation ends; later than the event's end when a later event needs it too. */
  endMs: number;
}

/** What `assignEngines` found. */
export interface AssignmentResult {
  readonly assigned: readonly Assignment[];
  readonly unplaced: readonly UnplacedLoad[];
}

/** An adapter that an event names, resolved. */
interface Need {
  readonly event: EventConfig;
  readonly key: AdapterKey;
  readonly model: string | undefined;
  readonly rps: number;
}

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

/** Needs of one event, most requested first; two lines for one key are added up. */
function needsOf(event: EventConfig, config: PlanConfig): readonly Need[] {
  const catalogue = createAdapterCatalogue(config);
  const needs = new Map<AdapterKey, Need>();
  const resolve = ({ adapter, version, rps }: EventAdapterConfig): Need => {
    const declared = catalogue.find(adapter);
    const wanted = version ?? declared?.current ?? '';
    const isKnown = declared?.versions.includes(wanted) ?? false;
    return { event, key: joinAdapterKey(adapter, wanted), model: isKnown ? declared?.model : undefined, rps };
  };
  for (const line of event.adapters) {
    const need = resolve(line);
    const other = needs.get(need.key);
    needs.set(need.key, { ...need, rps: need.rps + (other?.rps ?? 0) });
  }
  return [...needs.values()].sort((left, right) => right.rps - left.rps || compareText(left.key, right.key));
}

/** Reservations while they are handed out. */
class Reservations {
  readonly assigned: Assignment[] = [];

  readonly unplaced: UnplacedLoad[] = [];

  private readonly names = new Map<string, readonly EngineConfig[]>();

  constructor(private readonly engines: readonly EngineConfig[]) {}

  add(need: Need): void {
    if (this.extend(need)) return;
    const { event, key, rps, model } = need;
    if (model === undefined) {
      this.refuse(need, UnplacedReason.Unknown);
      return;
    }
    const engines = this.enginesOf(model);
    const engine = this.choose(need, engines);
    if (engine !== undefined) this.assigned.push({ event, key, rps, engine, endMs: event.endMs });
    else this.refuse(need, engines.length === 0 ? UnplacedReason.NoEngine : UnplacedReason.NoSlot);
  }

  /** Keeps the reservation of an event that overlaps, where there is one. */
  private extend({ key, event }: Need): boolean {
    const held = this.assigned.find((other) => other.key === key && other.endMs >= event.startMs);
    if (held === undefined) return false;
    held.endMs = Math.max(held.endMs, event.endMs);
    return true;
  }

  private refuse({ event, key, rps }: Need, reason: UnplacedReason): void {
    this.unplaced.push({ event: event.name, key, rps, reason });
  }

  private enginesOf(model: string): readonly EngineConfig[] {
    const known = this.names.get(model) ?? this.engines.filter((engine) => engine.model === model);
    this.names.set(model, known);
    return known;
  }

  /** The engine with the most unreserved slots left; among equals, the adapter's first candidate. */
  private choose({ key, event }: Need, engines: readonly EngineConfig[]): EngineConfig | undefined {
    const byName = new Map(engines.map((engine) => [engine.name, engine]));
    let best: EngineConfig | undefined;
    let most = 0;
    for (const name of rankCandidates(key, [...byName.keys()], engines.length)) {
      const engine = byName.get(name)!;
      const left = engine.slots - UNRESERVED_SLOTS - this.reservedOn(name, event);
      if (left > most) {
        best = engine;
        most = left;
      }
    }
    return best;
  }

  /** Reservations on an engine that overlap with an event; those that come earlier end before it or count. */
  private reservedOn(engine: string, event: EventConfig): number {
    return this.assigned.filter((other) => other.engine.name === engine && other.endMs > event.startMs)
      .length;
  }
}

/**
 * Gives each adapter of the events an engine.
 * @param config - The configuration.
 * @param events - Events in order of their start.
 * @param hosts - Names of the live engines.
 * @returns Engines for the adapters, and the adapters for which there is no slot.
 */
export function assignEngines(
  config: PlanConfig,
  events: readonly EventConfig[],
  hosts: ReadonlySet<string>,
): AssignmentResult {
  const reservations = new Reservations(config.engines.filter(({ name }) => hosts.has(name)));
  for (const event of events) {
    for (const need of needsOf(event, config)) reservations.add(need);
  }
  return reservations;
}
