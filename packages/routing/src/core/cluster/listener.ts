/** Accepts the links that peers make: one task for each, which hands messages on and answers them. */
import { createServer, type Server, type Socket } from 'node:net';

import { startListening } from '@celeryyoke/core';

import { encodeFrame, FrameReader } from './frames.js';
import { MessageType } from './types.js';

/** What the listener does with what it hears. */
export interface ListenerOptions {
  /**
   * Called with the first message of a link.
   * @returns Identifies the peer for the link's further messages.
   */
  readonly onHello: (body: unknown) => string;
  /** Called with each further message; the answer is sent when one is due. */
  readonly onMessage: (peer: string, type: MessageType, body: unknown) => unknown;
  /** Called when a link ended. */
  readonly onClose: (peer: string) => void;
  /** Called with what went wrong on a link. */
  readonly onProblem: (peer: string | undefined, err: Error) => void;
}

/** Answer to a heartbeat: the number that stands for no request. */
const HEARTBEAT_ANSWER = encodeFrame([0, 0]);

/**
 * Starts to listen for peers.
 * @param host - Address of this daemon.
 * @param port - Port.
 * @param options - What to do with messages.
 * @returns The server, once it listens.
 */
export async function listenForPeers(host: string, port: number, options: ListenerOptions): Promise<Server> {
  const server = createServer({ noDelay: true }, (socket) => serve(socket, options));
  await startListening(server, { host, port });
  return server;
}

function serve(socket: Socket, options: ListenerOptions): void {
  const reader = new FrameReader();
  let peer: string | undefined;
  const answer = async (type: MessageType, number: number, body: unknown): Promise<void> => {
    try {
      const result = await options.onMessage(peer!, type, body);
      if (number > 0 && socket.writable) socket.write(encodeFrame([number, result ?? null]));
    } catch (err) {
      if (number > 0 && socket.writable) socket.write(encodeFrame([number, null, String(err)]));
      else options.onProblem(peer, err as Error);
    }
  };
  socket.on('data', (chunk) => {
    try {
      for (const value of reader.take(chunk)) {
        const [type, number, body] = value as [MessageType, number, unknown];
        if (type === MessageType.Hello) peer = options.onHello(body);
        else if (peer === undefined) throw new Error('A message came before the hello.');
        else void answer(type, number, body);
        if (type === MessageType.Heartbeat) socket.write(HEARTBEAT_ANSWER);
      }
    } catch (err) {
      options.onProblem(peer, err as Error);
      socket.destroy();
    }
  });
  socket.on('error', (err) => options.onProblem(peer, err));
  socket.on('close', () => {
    if (peer !== undefined) options.onClose(peer);
  });
}
