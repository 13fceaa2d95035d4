/** What the owner of an engine publishes of it, and its form between daemons. */
import type { Holdings } from '../adapters/index.js';
import type { EngineRow } from '../dissemination/index.js';

/** Free slots of an engine and the requests in flight on it. */
export interface EngineLoadRow extends EngineRow {
  /** Adapter slots that are free or could be freed at once; below 0 when the engine can't be reached. */
  readonly freeSlots: number;
  /** Loads that wait for a slot. */
  readonly queued: number;
  /** Requests in flight, over all daemons. */
  readonly running: number;
  /** Those of them without an answer yet. */
  readonly waiting: number;
}

/** Adapters resident on an engine. */
export type ResidencyRow = EngineRow & Holdings;

type LoadFrame = readonly [string, number, number, number, number, number, number];

/** By model: its name, and names and versions of its adapters in turn. */
type ModelFrame = readonly [model: string, adapters: readonly (string | number)[]];

type ResidencyFrame = readonly [
  replica: string,
  token: number,
  sequence: number,
  models: readonly ModelFrame[],
];

/**
 * Encodes free slots and requests in flight.
 * @param row - The row.
 * @returns Its compact form.
 */
export function encodeEngineLoad(row: EngineLoadRow): LoadFrame {
  return [row.replica, row.token, row.sequence, row.freeSlots, row.queued, row.running, row.waiting];
}

/**
 * Decodes free slots and requests in flight.
 * @param wire - Their compact form.
 * @returns The row.
 */
export function decodeEngineLoad(wire: unknown): EngineLoadRow {
  const [replica, token, sequence, freeSlots, queued, running, waiting] = wire as LoadFrame;
  return { replica, token, sequence, freeSlots, queued, running, waiting };
}

/**
 * Encodes resident adapters; the name of a model is written once.
 * @param row - The row.
 * @returns Its compact form.
 */
export function encodeResidency({
  replica,
  token,
  sequence,
  models,
  adapters,
}: ResidencyRow): ResidencyFrame {
  const byModel = new Map<string, (string | number)[]>(models.map((model) => [model, []]));
  for (const [key, version] of Object.entries(adapters)) {
    const slash = key.indexOf('/');
    byModel.get(key.slice(0, slash))?.push(key.slice(slash + 1), version);
  }
  return [replica, token, sequence, [...byModel]];
}

/**
 * Decodes resident adapters.
 * @param wire - Their compact form.
 * @returns The row.
 */
export function decodeResidency(wire: unknown): ResidencyRow {
  const [replica, token, sequence, byModel] = wire as ResidencyFrame;
  const adapters: Record<string, number> = {};
  for (const [model, flat] of byModel)
    for (let index = 0; index < flat.length; index += 2)
      adapters[`${model}/${String(flat[index])}`] = Number(flat[index + 1]);
  return { replica, token, sequence, models: byModel.map(([model]) => model), adapters };
}
