/** Opens TCP connections; every failure is reported in the same way. */
import type { TcpNetConnectOpts } from 'node:net';
import { Socket } from 'node:net';

/**
 * Starts to connect. Node.js throws for some addresses and reports other failures as events; here each failure is an
 * `error` event in a later step, so that callers can treat them alike.
 * @param options - As for `net.connect`.
 */
export function openSocket(options: TcpNetConnectOpts): Socket {
  const socket = new Socket(options);
  try {
    return socket.connect(options);
  } catch (err) {
    return socket.destroy(err as Error);
  }
}
