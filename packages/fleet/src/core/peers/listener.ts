/** Listens for peers. */
import type { AddressInfo } from 'node:net';

import { getWSConnectionHandler } from '@trpc/server/adapters/ws';
import { WebSocketServer } from 'ws';

import { WIRE_CODEC } from '@celeryyoke/core';
import { AcceptedLink } from './accepted-connection.js';
import type { BusContext } from './context.js';
import type { RouterContext } from './router.js';
import { peerRouter } from './router.js';
import { ENVELOPE_BYTES, FrameSocket } from './socket.js';

/** The listening side of a bus. */
export class PeerListener {
  private server: WebSocketServer | undefined;

  private readonly links = new Map<FrameSocket, AcceptedLink>();

  constructor(private readonly bus: BusContext) {}

  /**
   * Begins to listen.
   * @returns The port.
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
    this.serve(server);
    return (server.address() as AddressInfo).port;
  }

  /** Ends all connections and stops listening. */
  async stop(): Promise<void> {
    const { server } = this;
    if (server === undefined) return;
    for (const socket of this.links.keys()) socket.terminate();
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
  }

  /**
   * Ends connections of peers that may not be connected any more.
   * @param isAllowed - Whether a connection may stay.
   */
  prune(isAllowed: (link: AcceptedLink) => boolean): void {
    for (const [socket, link] of this.links) if (!isAllowed(link)) socket.terminate();
  }

  private serve(server: WebSocketServer): void {
    const connect = getWSConnectionHandler({
      wss: server,
      router: peerRouter,
      experimental_encoder: WIRE_CODEC,
      createContext: ({ res }): RouterContext => ({ link: this.links.get(res as FrameSocket)! }),
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
    if (this.countUnproved() >= bus.settings.maxUnprovedLinks) {
      socket.terminate();
      return false;
    }
    const link = new AcceptedLink(bus, socket);
    socket.join(bus.gate);
    this.links.set(socket, link);
    const deadline = bus.options.timers.after(bus.settings.dialTimeoutMs, () => {
      if (!link.proved) socket.terminate();
    });
    socket.on('message', (data) => bus.counters.receivedBytes.add((data as Buffer).length));
    socket.on('error', (err) => bus.log.debug(`Link from ${socket.peer} failed: ${err.message}.`));
    socket.once('close', () => {
      deadline.cancel();
      this.links.delete(socket);
    });
    return true;
  }

  private countUnproved(): number {
    let count = 0;
    for (const link of this.links.values()) if (!link.proved) count += 1;
    return count;
  }
}
