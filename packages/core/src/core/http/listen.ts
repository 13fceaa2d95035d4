/** Starts a listener. */
import type { ListenOptions, Server } from 'node:net';

/**
 * Starts to listen.
 * @param server - A server that does not listen.
 * @param where - Host, port, and how many connections may wait to be accepted.
 * @returns Resolves when it listens.
 * @throws Error when it can't.
 */
export function startListening(server: Server, where: ListenOptions): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(where, resolve);
  });
}
