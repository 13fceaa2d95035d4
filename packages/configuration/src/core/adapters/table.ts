/** All adapters that are declared one by one, in buckets by the hash of their name. */
import type { AdapterConfig, AdapterList } from '../model/types.js';
import { AdapterBucket, bucketOf } from './bucket.js';

/** Adapters for each bucket that a table aims at. */
const BUCKET_TARGET = 2048;

/** An immutable table; tables of two revisions share the buckets that did not change. */
export class AdapterTable implements AdapterList {
  readonly length: number;

  /**
   * Makes a table.
   * @param buckets - Its buckets; their number is a power of two.
   */
  constructor(readonly buckets: readonly AdapterBucket[]) {
    this.length = buckets.reduce((sum, bucket) => sum + bucket.length, 0);
  }

  /**
   * Finds an adapter.
   * @param name - Its name.
   * @returns The adapter, or undefined.
   */
  find(name: string): AdapterConfig | undefined {
    return this.buckets[bucketOf(name, this.buckets.length)]?.find(name);
  }

  /**
   * Reads adapters on from a name.
   * @param after - The name that comes before the first one read; undefined to begin.
   */
  *readAfter(after: string | undefined): Generator<AdapterConfig> {
    const first = after === undefined ? 0 : bucketOf(after, this.buckets.length);
    for (let number = first; number < this.buckets.length; number++) {
      const bucket = this.buckets[number]!;
      let index = 0;
      if (after !== undefined && number === first) {
        index = bucket.lowerBound(after);
        if (index < bucket.length && bucket.at(index).name === after) index += 1;
      }
      for (; index < bucket.length; index++) yield bucket.at(index);
    }
  }

  /** Reads all adapters, bucket by bucket. */
  [Symbol.iterator](): Generator<AdapterConfig> {
    return this.readAfter(undefined);
  }
}

function bucketCount(adapters: number): number {
  return 2 ** Math.max(0, Math.ceil(Math.log2(adapters / BUCKET_TARGET)));
}

/**
 * Makes a table.
 * @param adapters - The adapters; a table is split anew only when another number of buckets is asked for.
 * @param count - How many buckets, a power of two; left out, the number of adapters decides.
 * @returns The table.
 */
export function createAdapterTable(adapters: AdapterList, count?: number): AdapterTable {
  if (adapters instanceof AdapterTable && (count ?? adapters.buckets.length) === adapters.buckets.length) {
    return adapters;
  }
  const total = count ?? bucketCount(adapters.length);
  const split: AdapterConfig[][] = Array.from({ length: total }, () => []);
  for (const adapter of adapters) split[bucketOf(adapter.name, total)]!.push(adapter);
  return new AdapterTable(split.map((part) => new AdapterBucket(part)));
}
