/**
 * Holds the end of a connection back from its reader until the connection is known to be sound.
 *
 * When a reset arrives together with data, libuv reports a close in good order behind that data and does not fetch the
 * error. A write fetches it.
 */
import type { Socket } from 'node:net';

const NO_BYTES = Buffer.alloc(0);

/** Stands between a socket and its reader. */
export class EndGate {
  private isHolding = false;

  constructor(private readonly socket: Socket) {
    const push = socket.push.bind(socket);
    const end = (): void => {
      push(null);
    };
    Object.assign(socket, {
      push: (chunk: unknown, encoding?: BufferEncoding): boolean => {
        if (chunk !== null || !this.isHolding) return push(chunk, encoding);
        this.afterWrites(end);
        return false;
      },
    });
  }

  /** From now on the reader learns of the end only after all that was written, and of a failed write instead of it. */
  hold(): void {
    this.isHolding = true;
  }

  private afterWrites(pass: () => void): void {
    this.socket.write(NO_BYTES, (err) => {
      // The socket reports the error to its reader itself.
      if (!err) pass();
    });
  }
}
