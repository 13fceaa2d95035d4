/** Seeded random numbers for tests. */
import { hash32 } from '@celeryyoke/core';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Draws. */
export interface Random {
  /** A number from `low` up to `high`. */
  between(low: number, high: number): number;
  /** Whether something with this probability happens. */
  chance(probability: number): boolean;
  /** One of the items. */
  pick<T>(items: readonly T[]): T;
}

/**
 * Makes a seeded source.
 * @param seed - The same seed gives the same draws.
 * @returns The source.
 */
export function createRandom(seed: string): Random {
  const generator = xoroshiro128plus(hash32(seed));
  return {
    between: (low, high) => low + uniformFloat64(generator) * (high - low),
    chance: (probability) => uniformFloat64(generator) < probability,
    pick: (items) => items[uniformInt(generator, 0, items.length - 1)]!,
  };
}
