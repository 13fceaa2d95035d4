/**
 * Holds the bytes of a socket back from its reader.
 *
 * The connection then holds back the writer at its other end. The reader is undici, which can be paused itself, but fails an
 * assertion when the connection of a paused response ends that is the last one on it.
 */
import type { Socket } from 'node:net';

import type { HeadGuard } from './head-guard.js';
import type { TrailerGuard } from './trailer-guard.js';

/** Most bytes that the reader gets at once, so that few fields are parsed before the guards see what was reported. */
const MAX_SLICE_BYTES = 4096;

/** Stands between a socket and a reader that calls `read` on each `readable` event. */
export class ReadGate {
  private isClosed = false;

  /**
   * @param guards - See all bytes before the reader does; what one of them does not accept ends the connection.
   */
  constructor(
    private readonly socket: Socket,
    private readonly guards: readonly (HeadGuard | TrailerGuard)[],
  ) {
    const read = socket.read.bind(socket);
    Object.assign(socket, {
      read: (size?: number) => {
        if (this.isClosed) return null;
        const isLong = size === undefined && socket.readableLength > MAX_SLICE_BYTES;
        return this.check(read(isLong ? MAX_SLICE_BYTES : size) as Buffer | null);
      },
    });
  }

  /** Whether the reader gets what arrives. */
  get isOpen(): boolean {
    return !this.isClosed;
  }

  /** Lets the reader have nothing more. */
  close(): void {
    this.isClosed = true;
  }

  /** Lets the reader go on. */
  open(): void {
    if (!this.isClosed) return;
    this.isClosed = false;
    // The reader may be in the middle of what it has read before.
    queueMicrotask(() => {
      if (!this.isClosed && !this.socket.destroyed) this.socket.emit('readable');
    });
  }

  private check(chunk: Buffer | null): Buffer | null {
    if (chunk === null || this.guards.every((guard) => guard.accepts(chunk))) return chunk;
    this.socket.destroy(new Error('The head or the trailers of a response have too many lines.'));
    return null;
  }
}
