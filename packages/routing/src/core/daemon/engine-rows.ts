/** Rows of shared state that the owner of an engine publishes about it, and their encoding. */
import type { EngineResidency } from '../adapters/index.js';
import type { EngineRow } from '../dissemination/index.js';

/** Free slots of an engine and the requests in flight on it. */
export interface EngineLoadRow extends EngineRow {
  /** Adapter slots that are free or could be freed immediately; below 0 if the engine can't be reached. */
  readonly freeSlots: number;
  /** Adapter loads that wait for a slot. */
  readonly queued: number;
  /** Requests in flight, summed over all daemons. */
  readonly running: number;
  /** Those of them without a response yet. */
  readonly waiting: number;
}

/** Adapters resident on an engine. */
export type ResidencyRow = EngineRow & EngineResidency;

type LoadFrame = readonly [string, number, number, number, number, number, number];

/** A model and its adapters: their names and versions alternate in one list. */
type ModelFrame = readonly [model: string, adapters: readonly (string | number)[]];

type ResidencyFrame = readonly [
  replica: string,
  token: number,
  sequence: number,
  models: readonly ModelFrame[],
];

export function encodeEngineLoad(row: EngineLoadRow): LoadFrame {
  return [row.replica, row.token, row.sequence, row.freeSlots, row.queued, row.running, row.waiting];
}

/** Decodes a load row; the frame's types are not checked. */
export function decodeEngineLoad(frame: unknown): EngineLoadRow {
  const [replica, token, sequence, freeSlots, queued, running, waiting] = frame as LoadFrame;
  return { replica, token, sequence, freeSlots, queued, running, waiting };
}

/**
 * Encodes resident adapters by model, so that the name of a model is written once; adapters of a model that
 * is not in `models` are left out.
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

/** Decodes a residency row; the frame's types are not checked. */
export function decodeResidency(frame: unknown): ResidencyRow {
  const [replica, token, sequence, byModel] = frame as ResidencyFrame;
  const adapters: Record<string, number> = {};
  for (const [model, flat] of byModel)
    for (let index = 0; index < flat.length; index += 2)
      adapters[`${model}/${String(flat[index])}`] = Number(flat[index + 1]);
  return { replica, token, sequence, models: byModel.map(([model]) => model), adapters };
}
