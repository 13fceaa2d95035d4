/** Transport between daemons over TCP. */
import type { TimerService } from '@celeryyoke/core';
import { TurnShare } from '@celeryyoke/core';
import type { Socket } from 'node:net';

import { BufferBudget } from '../buffers/index.js';
import { TcpLink } from './link.js';
import { listenForPeers } from './listener.js';
import type { PeerTransport } from './types.js';

/**
 * Creates the TCP transport of a daemon.
 * @param self - Address of the daemon, as `host:port`.
 */
export function createTcpTransport(self: string, timers: TimerService): PeerTransport {
  const memory = new BufferBudget();
  const turns = new TurnShare();
  return {
    async listen(events) {
      const [host = '', port = ''] = self.split(':');
      const server = await listenForPeers(host, Number(port), events, memory, turns);
      const sockets = new Set<Socket>();
      server.on('connection', (socket) => {
        sockets.add(socket);
        socket.on('close', () => sockets.delete(socket));
      });
      return () => {
        server.close();
        for (const socket of sockets) socket.destroy();
      };
    },
    connect: (address, events) => new TcpLink({ address, from: self, timers, events, memory, turns }),
  };
}
