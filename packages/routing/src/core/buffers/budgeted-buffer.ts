/** A body that is held, whose memory is counted. */
import { ByteBuffer } from '@celeryyoke/core';

import type { BufferBudget } from './buffer-budget.js';

/** Memory of a buffer beside its block, in bytes. */
const OVERHEAD_BYTES = 256;

/** Why bytes were not appended. */
export enum BufferLimit {
  /** The body is longer than one may be. */
  Size = 'size',
  /** All bodies together take too much memory. */
  Memory = 'memory',
}

/** Bytes of one body; {@link BudgetedBuffer.release} gives their memory back. */
export class BudgetedBuffer {
  private readonly buffer = new ByteBuffer();

  /** Memory that was taken from the budget, in bytes. */
  private taken = 0;

  /**
   * @param maxBytes - Largest length of the body.
   */
  constructor(
    private readonly budget: BufferBudget,
    readonly maxBytes: number,
  ) {}

  get length(): number {
    return this.buffer.length;
  }

  /** The bytes held. Later changes leave them as they are. */
  get bytes(): Buffer {
    return this.buffer.bytes;
  }

  /**
   * Appends a copy of a chunk.
   * @returns Why it was not appended; undefined if it was.
   */
  append(chunk: Uint8Array): BufferLimit | undefined {
    if (this.length + chunk.length > this.maxBytes) return BufferLimit.Size;
    const size = this.buffer.capacityWith(chunk.length) + OVERHEAD_BYTES;
    if (!this.budget.take(size - this.taken, size)) return BufferLimit.Memory;
    this.taken = size;
    this.buffer.append(chunk);
    return undefined;
  }

  /** Removes all bytes and gives their memory back; may be called more than once. */
  release(): void {
    this.buffer.clear();
    this.budget.giveBack(this.taken);
    this.taken = 0;
  }
}
