/** Joins the chunks that are parsed in one step, so that small ones cost no more than large ones. */
import { ByteBuffer } from '@celeryyoke/core';

/** Chunks of one step. */
export class ChunkBatch {
  private first: Buffer | undefined;

  private joined: ByteBuffer | undefined;

  /**
   * @param onBytes - Called with the bytes of a step, once what has begun it is over.
   */
  constructor(private readonly onBytes: (bytes: Buffer) => void) {}

  add(chunk: Buffer): void {
    if (this.first === undefined) {
      this.first = chunk;
      queueMicrotask(() => this.flush());
      return;
    }
    if (this.joined === undefined) {
      this.joined = new ByteBuffer();
      this.joined.append(this.first);
    }
    this.joined.append(chunk);
  }

  /** Passes on what was added. */
  flush(): void {
    const bytes = this.joined?.bytes ?? this.first;
    this.first = undefined;
    this.joined = undefined;
    if (bytes !== undefined) this.onBytes(bytes);
  }
}
