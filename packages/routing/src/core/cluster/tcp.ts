/** Connections between daemons over TCP. */
import type { TimerService } from '@celeryyoke/core';
import type { Socket } from 'node:net';

import { TcpLink } from './link.js';
import { listenForPeers } from './listener.js';
import type { PeerTransport } from './types.js';

/**
 * Makes the TCP transport of one daemon.
 * @param self - Its address, as `host:port`.
 * @param timers - Time.
 * @returns The transport.
 */
export function createTcpTransport(self: string, timers: TimerService): PeerTransport {
  return {
    async listen(events) {
      const [host = '', port = ''] = self.split(':');
      const server = await listenForPeers(host, Number(port), events);
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
    connect: (address, events) => new TcpLink(address, timers, events),
  };
}
