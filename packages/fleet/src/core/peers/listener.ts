/** Accepts connections of peers and serves the tRPC router on them. */
import type { AddressInfo } from 'node:net';

import { getWSConnectionHandler } from '@trpc/server/adapters/ws';
import { WebSocketServer } from 'ws';

import { WIRE_CODEC } from '@celeryyoke/core';
import { AcceptedConnection } from './accepted-connection.js';
import type { BusContext } from './context.js';
import type { RouterContext } from './router.js';
import { peerRouter } from './router.js';
import { ENVELOPE_BYTES, FrameSocket } from './socket.js';

/** The WebSocket server of a bus. */
export class PeerListener {
  private server: WebSocketServer | undefined;

  private readonly connections = new Map<FrameSocket, AcceptedConnection>();

  constructor(private readonly bus: BusContext) {}

  /**
   * Starts to listen.
   * @returns The port, also when the system chose it.
   */
  async start(): Promise<number> {
    const { options, settings } = this.bus;
    const server = new WebSocketServer({
      host: options.host,
      port: options.port,
      maxPayload: settings.maxMessageBytes + ENVELOPE_BYTES,
      perMessageDeflate: false,
      skipUTF8Validation: true,
      WebSocket: FrameSocket,
    });
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    this.serveConnections(server);
    return (server.address() as AddressInfo).port;
  }

  /** Closes all connections and stops listening. */
  async stop(): Promise<void> {
    const { server } = this;
    if (server === undefined) return;
    for (const socket of this.connections.keys()) socket.terminate();
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
  }

  /**
   * Closes the connections that may not stay open.
   * @param isAllowed - Whether a connection may stay open.
   */
  closeDisallowed(isAllowed: (link: AcceptedConnection) => boolean): void {
    for (const [socket, link] of this.connections) if (!isAllowed(link)) socket.terminate();
  }

  private serveConnections(server: WebSocketServer): void {
    const connect = getWSConnectionHandler({
      wss: server,
      router: peerRouter,
      experimental_encoder: WIRE_CODEC,
      createContext: ({ res }): RouterContext => ({ connection: this.connections.get(res as FrameSocket)! }),
    });
    server.on('error', (err) => this.bus.log.error(`The listener failed: ${err.message}.`));
    server.on('connection', (client, req) => {
      const socket = client as FrameSocket;
      if (!this.accept(socket)) return;
      connect(socket, req);
    });
  }

  private accept(socket: FrameSocket): boolean {
    const { bus } = this;
    if (this.countUnauthenticated() >= bus.settings.maxUnauthenticatedLinks) {
      socket.terminate();
      return false;
    }
    const link = new AcceptedConnection(bus, socket);
    socket.setContext(bus.socketContext);
    this.connections.set(socket, link);
    const deadline = bus.options.timers.after(bus.settings.dialTimeoutMs, () => {
      if (!link.isAuthenticated) socket.terminate();
    });
    socket.on('message', (data) => bus.counters.receivedBytes.add((data as Buffer).length));
    socket.on('error', (err) => bus.log.debug(`Link from ${socket.peer} failed: ${err.message}.`));
    socket.once('close', () => {
      deadline.cancel();
      this.connections.delete(socket);
    });
    return true;
  }

  private countUnauthenticated(): number {
    let count = 0;
    for (const link of this.connections.values()) if (!link.isAuthenticated) count += 1;
    return count;
  }
}
