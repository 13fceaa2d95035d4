/**
 * Bytes that arrive in pieces, in one block of memory.
 *
 * A list of pieces would take memory for each piece, and each piece may keep the whole block that it was read into.
 */

const MIN_CAPACITY_BYTES = 512;
const GROWTH = 2;

/** A block that grows by doubling, so that appending costs constant time for each byte. */
export class ByteBuffer {
  private block = Buffer.alloc(0);

  /** Number of bytes held. */
  length = 0;

  /** Memory that is taken, in bytes. */
  get capacity(): number {
    return this.block.length;
  }

  /** The bytes held. Later changes leave them as they are. */
  get bytes(): Buffer {
    return this.block.subarray(0, this.length);
  }

  /** Capacity after more bytes are appended. */
  capacityWith(added: number): number {
    const needed = this.length + added;
    if (needed <= this.capacity) return this.capacity;
    return Math.max(MIN_CAPACITY_BYTES, this.capacity * GROWTH, needed);
  }

  /** Appends a copy of a chunk. */
  append(chunk: Uint8Array): void {
    const capacity = this.capacityWith(chunk.length);
    if (capacity > this.capacity) {
      const block = Buffer.allocUnsafeSlow(capacity);
      block.set(this.bytes);
      this.block = block;
    }
    this.block.set(chunk, this.length);
    this.length += chunk.length;
  }

  /** Returns the bytes held with a chunk behind them; the chunk itself, not copied, while none are held. */
  join(chunk: Buffer): Buffer {
    if (this.length === 0) return chunk;
    this.append(chunk);
    return this.bytes;
  }

  /**
   * Holds only the rest of joined bytes.
   * @param joined - What {@link ByteBuffer.join} has returned.
   * @param start - Where the rest begins.
   */
  keepRest(joined: Buffer, start: number): void {
    if (start === 0 && this.length > 0) return;
    this.clear();
    if (start < joined.length) this.append(joined.subarray(start));
  }

  /** Removes all bytes. */
  clear(): void {
    this.block = Buffer.alloc(0);
    this.length = 0;
  }
}
