/** Accepts connections of peers, passes their messages on and sends the responses. */
import { createServer, type Server, type Socket } from 'node:net';

import type { TurnShare, TurnTask } from '@celeryyoke/core';
import { startListening, StepResult, TaskState } from '@celeryyoke/core';

import type { BufferBudget } from '../buffers/index.js';
import { encodeFrame, FrameReader, HEARTBEAT_ID, MAX_BODY_BYTES } from './frames.js';
import type { ListenerEvents, PeerChannel } from './types.js';
import { MessageType } from './types.js';

/** Bytes that may be buffered for a peer that does not read before its connection is closed. */
const MAX_BACKLOG_BYTES = 4 * 1024 * 1024;
/** Largest hello, in bytes: the record of one member. */
const MAX_HELLO_BYTES = 4096;
/** Most connections of peers: several times those of a large fleet with an exchange relayed on each. */
const MAX_CONNECTIONS = 1024;
/** Most connections that have not sent their hello; the one that has waited longest makes room for another one. */
const MAX_UNIDENTIFIED = 128;
const MAPPED_IPV4 = /^::ffff:/;

/** A message of a peer; the id is 0 unless the message is a request. */
type IncomingFrame = readonly [type: MessageType, requestId: number, body: unknown];

/**
 * Starts listening for peers.
 * @param memory - Limits the memory of messages that are not complete.
 * @param turns - Shares the time for messages among all connections.
 * @returns The server, once it listens.
 */
export async function listenForPeers(
  host: string,
  port: number,
  events: ListenerEvents,
  memory: BufferBudget,
  turns: TurnShare,
): Promise<Server> {
  const unidentified = new Set<Socket>();
  const server = createServer({ noDelay: true }, (socket) => {
    admit(socket, unidentified, events);
    new PeerConnection(socket, events, memory, turns, () => unidentified.delete(socket)).serve();
  });
  server.maxConnections = MAX_CONNECTIONS;
  server.on('drop', () =>
    events.onProblem(undefined, new Error(`More than ${MAX_CONNECTIONS} connections are open`)),
  );
  await startListening(server, { host, port });
  return server;
}

/** Adds a connection to those without a hello, and closes the one that has waited longest when they are too many. */
function admit(socket: Socket, unidentified: Set<Socket>, events: ListenerEvents): void {
  const [oldest] = unidentified;
  if (unidentified.size >= MAX_UNIDENTIFIED && oldest !== undefined) {
    unidentified.delete(oldest);
    oldest.destroy();
    events.onProblem(undefined, new Error(`More than ${MAX_UNIDENTIFIED} connections wait for their hello`));
  }
  unidentified.add(socket);
  socket.once('close', () => unidentified.delete(socket));
}

/** One connection of a peer; its first message must be a hello. */
class PeerConnection implements PeerChannel {
  private readonly reader: FrameReader;

  private peer: string | undefined;

  private hasSaidGoodbye = false;

  /** Handles the messages of the chunk that was read last; undefined when it has. */
  private task: TurnTask | undefined;

  constructor(
    private readonly socket: Socket,
    private readonly events: ListenerEvents,
    memory: BufferBudget,
    private readonly turns: TurnShare,
    private readonly onIdentified: () => void,
  ) {
    this.reader = new FrameReader(memory, MAX_HELLO_BYTES);
  }

  serve(): void {
    const { socket, events } = this;
    socket.on('data', (chunk) => this.receive(chunk));
    socket.on('error', (err) => events.onProblem(this.peer, err));
    socket.on('close', () => {
      this.reader.release();
      if (this.task !== undefined) this.turns.cancel(this.task);
      if (this.peer !== undefined) events.onClose(this.peer, this, this.hasSaidGoodbye);
    });
  }

  push(frame: Buffer): boolean {
    if (!this.socket.writable) return true;
    if (this.socket.writableLength <= MAX_BACKLOG_BYTES) return this.socket.write(frame);
    this.socket.destroy();
    return true;
  }

  onDrain(callback: () => void): void {
    this.socket.once('drain', callback);
  }

  private receive(chunk: Buffer): void {
    this.task = this.handleChunk(chunk);
    this.runTask(this.task);
  }

  private runTask(task: TurnTask): void {
    this.settle(
      task,
      this.turns.run(task, (state) => this.settle(task, state)),
    );
  }

  /** Reads on once all messages of a chunk are handled, and the peer has read the responses. */
  private settle(task: TurnTask, state: TaskState): void {
    const { socket } = this;
    if (state !== TaskState.Done) {
      socket.pause();
      if (state === TaskState.Blocked) socket.once('drain', () => this.runTask(task));
      return;
    }
    this.task = undefined;
    if (socket.isPaused()) socket.resume();
  }

  private *handleChunk(chunk: Buffer): Generator<StepResult, void> {
    const { socket } = this;
    try {
      for (const value of this.reader.read(chunk)) {
        this.handleFrame(value as IncomingFrame);
        if (socket.destroyed) return;
        // The end of the connection follows a goodbye and must be read in any case.
        const isBlocked = socket.writableNeedDrain && !this.hasSaidGoodbye;
        yield isBlocked ? StepResult.Blocked : StepResult.Continue;
      }
    } catch (err) {
      this.events.onProblem(this.peer, err as Error);
      socket.destroy();
    }
  }

  private handleFrame([type, requestId, body]: IncomingFrame): void {
    if (type === MessageType.Hello) this.identify(body);
    else if (this.peer === undefined) throw new Error('Received a message before the hello.');
    else if (type === MessageType.Goodbye) this.hasSaidGoodbye = true;
    else if (type === MessageType.Heartbeat) this.push(encodeFrame([HEARTBEAT_ID, this.events.digest()]));
    else this.respond(this.peer, type, requestId, body);
  }

  private identify(body: unknown): void {
    if (this.peer !== undefined) throw new Error('Received a second hello.');
    this.peer = this.events.onHello(body, this.remoteHost);
    this.reader.maxBodyBytes = MAX_BODY_BYTES;
    this.onIdentified();
  }

  /** Address of the peer's host; an IPv4 address comes mapped into IPv6 where the listener has both. */
  private get remoteHost(): string {
    return (this.socket.remoteAddress ?? '').replace(MAPPED_IPV4, '');
  }

  private respond(peer: string, type: MessageType, requestId: number, body: unknown): void {
    const fail = (err: unknown): void => {
      if (requestId > 0) this.push(encodeFrame([requestId, null, String(err)]));
      else this.events.onProblem(peer, err as Error);
    };
    const send = (result: unknown): void => {
      if (requestId > 0) this.push(encodeFrame([requestId, result ?? null]));
    };
    try {
      const result = this.events.onMessage(peer, type, body, this);
      // What is known at once counts as unread before the next message is handled.
      if (result instanceof Promise) result.then(send).catch(fail);
      else send(result);
    } catch (err) {
      fail(err);
    }
  }
}
