/** A bucket of adapters, kept as columns so that an idle adapter costs tens of bytes. */
import { hash32 } from '@celeryyoke/core';

import type { AdapterConfig } from '../model/types.js';

/** Separates names in the column of names; no name holds it. */
const SEPARATOR = '\n';

/** Keeps the split of adapters apart from other uses of the hash. */
const BUCKET_SEED = 0x61646170;

/** What many adapters have in common. */
interface AdapterShape {
  readonly model: string;
  readonly versions: readonly string[];
  readonly current: string;
}

/**
 * Tells which bucket an adapter belongs to.
 * @param name - The adapter's name.
 * @param count - How many buckets there are, a power of two.
 * @returns The bucket's number from 0.
 */
export function bucketOf(name: string, count: number): number {
  // eslint-disable-next-line no-bitwise -- The count is a power of two.
  return (hash32(name, BUCKET_SEED) & (count - 1)) >>> 0;
}

function compareNames(left: AdapterConfig, right: AdapterConfig): number {
  if (left.name === right.name) return 0;
  return left.name < right.name ? -1 : 1;
}

/** Collects the distinct shapes of a bucket. */
class ShapePool {
  readonly shapes: AdapterShape[] = [];

  private readonly numbers = new Map<string, number>();

  numberOf({ model, versions, current }: AdapterConfig): number {
    const key = JSON.stringify([model, current, versions]);
    const known = this.numbers.get(key);
    if (known !== undefined) return known;
    this.numbers.set(key, this.shapes.length);
    return this.shapes.push({ model, versions, current }) - 1;
  }
}

/** Adapters sorted by name; it never changes. */
export class AdapterBucket implements Iterable<AdapterConfig> {
  readonly length: number;

  private readonly names: string;

  private readonly starts: Uint32Array;

  private readonly shapeNumbers: Uint32Array;

  private readonly sizes: Float64Array;

  private readonly shapes: readonly AdapterShape[];

  /**
   * Makes a bucket.
   * @param adapters - Its adapters in any order.
   */
  constructor(adapters: readonly AdapterConfig[]) {
    const sorted = [...adapters].sort(compareNames);
    const pool = new ShapePool();
    this.length = sorted.length;
    // The copy through a buffer flattens the text, so that it holds no reference to the parsed document.
    this.names = Buffer.from(sorted.map((adapter) => adapter.name + SEPARATOR).join('')).toString('utf8');
    this.starts = new Uint32Array(sorted.length + 1);
    this.shapeNumbers = new Uint32Array(sorted.length);
    this.sizes = new Float64Array(sorted.length);
    sorted.forEach((adapter, index) => {
      this.starts[index + 1] = this.starts[index]! + adapter.name.length + 1;
      this.shapeNumbers[index] = pool.numberOf(adapter);
      this.sizes[index] = adapter.sizeMb;
    });
    this.shapes = pool.shapes;
  }

  /**
   * Finds the first adapter whose name is not before a name.
   * @param name - The name.
   * @returns Its position, or the length when there is none.
   */
  lowerBound(name: string): number {
    let low = 0;
    let high = this.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (this.nameAt(middle) < name) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  /**
   * Finds an adapter.
   * @param name - Its name.
   * @returns The adapter, or undefined.
   */
  find(name: string): AdapterConfig | undefined {
    const index = this.lowerBound(name);
    return index < this.length && this.nameAt(index) === name ? this.at(index) : undefined;
  }

  /**
   * Reads one adapter.
   * @param index - Its position.
   * @returns The adapter.
   */
  at(index: number): AdapterConfig {
    const { model, versions, current } = this.shapes[this.shapeNumbers[index]!]!;
    return { name: this.nameAt(index), model, versions, current, sizeMb: this.sizes[index]! };
  }

  /**
   * Reads one adapter of each model and list of versions, so that a check need not look at all.
   * @returns The first adapter of each.
   */
  examples(): AdapterConfig[] {
    return this.shapes.map((_, number) => this.at(this.shapeNumbers.indexOf(number)));
  }

  /**
   * Finds names that stand twice.
   * @returns The names.
   */
  duplicates(): string[] {
    const names: string[] = [];
    for (let index = 1; index < this.length; index++) {
      if (this.nameAt(index) === this.nameAt(index - 1)) names.push(this.nameAt(index));
    }
    return names;
  }

  /** Reads all adapters in the order of their names. */
  *[Symbol.iterator](): Generator<AdapterConfig> {
    for (let index = 0; index < this.length; index++) yield this.at(index);
  }

  private nameAt(index: number): string {
    return this.names.slice(this.starts[index], this.starts[index + 1]! - 1);
  }
}
