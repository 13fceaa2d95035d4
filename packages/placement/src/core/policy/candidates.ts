/** Rendezvous hashing: every daemon ranks the engines of an adapter alike, without a directory. */
import { hash32 } from '@celeryyoke/core';

import type { AdapterKey, EngineView } from './types.js';

const FACTOR_SEED = 1;
const OFFSET_SEED = 2;
/** An odd constant with well spread bits; the product's high bits depend on every bit of the sum. */
const SPREAD = 0x9e3779b1;

/** The hash function of one engine. */
interface EngineHash {
  readonly factor: number;
  readonly offset: number;
}

const hashes = new Map<string, EngineHash>();

/** Engines' names are hashed once; there are few of them and they change rarely. */
function engineHash(name: string): EngineHash {
  let hash = hashes.get(name);
  if (hash === undefined) {
    // An odd factor makes the product a permutation of the key's hash.
    hash = { factor: 2 * hash32(name, FACTOR_SEED) + 1, offset: hash32(name, OFFSET_SEED) };
    hashes.set(name, hash);
  }
  return hash;
}

/**
 * Weighs an engine for an adapter; multiplications alone, as it runs for each engine at each decision.
 * @param keyHash - Hash of the adapter's key.
 * @param engine - Name of the engine.
 * @returns A signed 32-bit weight; the highest is the first candidate.
 */
export function candidateWeight(keyHash: number, engine: string): number {
  const { factor, offset } = engineHash(engine);
  return Math.imul(Math.imul(keyHash, factor) + offset, SPREAD);
}

/** The hash functions of a list of engines, side by side, so that a decision looks up no names. */
class HashList {
  private readonly names: string[] = [];

  private readonly factors: number[] = [];

  private readonly offsets: number[] = [];

  /** Weighs the engine at a place of the list for an adapter. */
  weight(index: number, name: string, keyHash: number): number {
    if (this.names[index] !== name) this.set(index, name);
    return Math.imul(Math.imul(keyHash, this.factors[index]!) + this.offsets[index]!, SPREAD);
  }

  private set(index: number, name: string): void {
    const { factor, offset } = engineHash(name);
    this.names[index] = name;
    this.factors[index] = Math.imul(factor, 1);
    this.offsets[index] = offset;
  }
}

const hashLists = new WeakMap<readonly EngineView[], HashList>();

/**
 * Finds the first candidate for an adapter.
 * @param key - The adapter's key.
 * @param engines - The engines.
 * @param excluded - Names of engines that it may not go to.
 * @returns The engine; undefined when all are excluded.
 */
export function firstCandidate(
  key: AdapterKey,
  engines: readonly EngineView[],
  excluded: ReadonlySet<string>,
): EngineView | undefined {
  const keyHash = hash32(key);
  const list = hashLists.get(engines) ?? new HashList();
  hashLists.set(engines, list);
  let best: EngineView | undefined;
  let bestWeight = -Infinity;
  for (let index = 0; index < engines.length; index += 1) {
    const engine = engines[index]!;
    const weight = list.weight(index, engine.name, keyHash);
    if (weight > bestWeight && !excluded.has(engine.name)) {
      best = engine;
      bestWeight = weight;
    }
  }
  return best;
}

/**
 * Ranks engines for an adapter.
 * @param key - The adapter's key.
 * @param engines - Names of the engines.
 * @param width - How many candidates are wanted.
 * @returns The first candidates, best first; the same on every daemon that knows the same engines.
 */
export function rankCandidates(
  key: AdapterKey,
  engines: readonly string[],
  width: number,
): readonly string[] {
  const keyHash = hash32(key);
  const ranked = engines.map((name) => ({ name, weight: candidateWeight(keyHash, name) }));
  ranked.sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1));
  return ranked.slice(0, width).map(({ name }) => name);
}
