/** Accepts the connections of peers: hands their messages on and answers them. */
import { createServer, type Server, type Socket } from 'node:net';

import { startListening } from '@celeryyoke/core';

import { encodeFrame, FrameReader, HEARTBEAT_NUMBER } from './frames.js';
import type { ListenerEvents, PeerChannel } from './types.js';
import { MessageType } from './types.js';

/** Bytes that may wait for a peer that does not read before its connection is cut. */
const MAX_BACKLOG_BYTES = 4 * 1024 * 1024;

type Message = readonly [type: MessageType, number: number, body: unknown];

/**
 * Starts to listen for peers.
 * @param host - Address of this daemon.
 * @param port - Port.
 * @param events - What to do with messages.
 * @returns The server, once it listens.
 */
export async function listenForPeers(host: string, port: number, events: ListenerEvents): Promise<Server> {
  const server = createServer({ noDelay: true }, (socket) => {
    new PeerConnection(socket, events).serve();
  });
  await startListening(server, { host, port });
  return server;
}

/** One accepted connection. */
class PeerConnection implements PeerChannel {
  private readonly reader = new FrameReader();

  private peer: string | undefined;

  private isOrderly = false;

  constructor(
    private readonly socket: Socket,
    private readonly events: ListenerEvents,
  ) {}

  serve(): void {
    const { socket, events } = this;
    socket.on('data', (chunk) => this.receive(chunk));
    socket.on('error', (err) => events.onProblem(this.peer, err));
    socket.on('close', () => {
      if (this.peer !== undefined) events.onClose(this.peer, this, this.isOrderly);
    });
  }

  push(frame: Buffer): void {
    if (!this.socket.writable) return;
    if (this.socket.writableLength > MAX_BACKLOG_BYTES) this.socket.destroy();
    else this.socket.write(frame);
  }

  private receive(chunk: Buffer): void {
    try {
      for (const value of this.reader.take(chunk)) this.handle(value as Message);
    } catch (err) {
      this.events.onProblem(this.peer, err as Error);
      this.socket.destroy();
    }
  }

  private handle([type, number, body]: Message): void {
    if (type === MessageType.Hello) this.peer = this.events.onHello(body);
    else if (this.peer === undefined) throw new Error('A message came before the hello.');
    else if (type === MessageType.Goodbye) this.isOrderly = true;
    else if (type === MessageType.Heartbeat) this.push(encodeFrame([HEARTBEAT_NUMBER, this.events.digest()]));
    else void this.answer(this.peer, type, number, body);
  }

  private async answer(peer: string, type: MessageType, number: number, body: unknown): Promise<void> {
    try {
      const result = await this.events.onMessage(peer, type, body, this);
      if (number > 0) this.push(encodeFrame([number, result ?? null]));
    } catch (err) {
      if (number > 0) this.push(encodeFrame([number, null, String(err)]));
      else this.events.onProblem(peer, err as Error);
    }
  }
}
