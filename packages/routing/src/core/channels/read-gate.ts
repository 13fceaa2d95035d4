/**
 * Holds the bytes of a socket back from its reader.
 *
 * The connection then holds back the writer at its other end. The reader is undici, which can be paused itself, but fails an
 * assertion when the connection of a paused response ends that is the last one on it.
 */
import type { Socket } from 'node:net';

/** Stands between a socket and a reader that calls `read` on each `readable` event. */
export class ReadGate {
  private isClosed = false;

  constructor(private readonly socket: Socket) {
    const read = socket.read.bind(socket);
    Object.assign(socket, { read: (size?: number) => (this.isClosed ? null : (read(size) as unknown)) });
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
}
