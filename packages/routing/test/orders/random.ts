/** Seeded random numbers for tests. */
import { hash32 } from '@celeryyoke/core';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded generator of random draws. */
export interface Random {
  /** Returns a number in the range [low, high). */
  between(low: number, high: number): number;
  /** Returns true with the given probability. */
  chance(probability: number): boolean;
  /** Returns one of the items. */
  pick<T>(items: readonly T[]): T;
}

/** Creates a generator; the same seed gives the same draws. */
export function createRandom(seed: string): Random {
  const generator = xoroshiro128plus(hash32(seed));
  return {
    between: (low, high) => low + uniformFloat64(generator) * (high - low),
    chance: (probability) => uniformFloat64(generator) < probability,
    pick: (items) => items[uniformInt(generator, 0, items.length - 1)]!,
  };
}
