/** The link to one peer over TCP: connects, sends messages, and matches responses to requests. */
import type { Socket } from 'node:net';

import type { TimerHandle, TimerService, TurnShare, TurnTask } from '@celeryyoke/core';
import { openSocket, StepResult, TaskState } from '@celeryyoke/core';

import type { BufferBudget } from '../buffers/index.js';
import { encodeFrame, FrameReader, HEARTBEAT_ID, PUSH_ID } from './frames.js';
import type { LinkEvents, PeerLink } from './types.js';
import { LinkEnd, MessageType } from './types.js';

/** Timeout for establishing the connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 600;
/** Bytes that may be buffered for a peer that does not read before the link is ended. */
const MAX_BACKLOG_BYTES = 4 * 1024 * 1024;
/**
 * Unanswered heartbeats after which a link counts as silent. Heartbeats are counted instead of time, so that a
 * pause of this process, which sends none meanwhile, does not end the link.
 */
const MAX_UNANSWERED_HEARTBEATS = 3;
const HEARTBEAT = encodeFrame([MessageType.Heartbeat, 0]);
const GOODBYE = encodeFrame([MessageType.Goodbye, 0]);

/** A request that waits for its response. */
interface PendingRequest {
  readonly resolve: (value: unknown) => void;
  readonly reject: (err: Error) => void;
  readonly timer: TimerHandle;
}

/** Response to a request or heartbeat, or a push; `errorText` is set when the handler of the peer failed. */
type IncomingFrame = readonly [requestId: number, body: unknown, errorText?: string];

/** Options of {@link TcpLink}. */
export interface TcpLinkOptions {
  /** Address of the peer, as `host:port`. */
  readonly address: string;
  /** Address of this daemon, as `host:port`; the connection comes from its host. */
  readonly from: string;
  readonly timers: TimerService;
  /** Supplies the hello, and handles pushes, digests and the end of the link. */
  readonly events: LinkEvents;
  /** Limits the memory of messages that are not complete. */
  readonly memory: BufferBudget;
  /** Shares the time for messages among all connections. */
  readonly turns: TurnShare;
}

/** A link over one TCP connection; it is not reused after it has ended. */
export class TcpLink implements PeerLink {
  isUp = false;

  lastReceivedAt: number;

  lastUsedAt: number;

  private readonly socket: Socket;

  private readonly reader: FrameReader;

  private readonly pendingRequests = new Map<number, PendingRequest>();

  private nextRequestId = 1;

  /** Heartbeats sent since the last bytes from the peer. */
  private unansweredHeartbeats = 0;

  private hasEnded = false;

  /** Handles the messages of the chunk that was read last; undefined when it has. */
  private task: TurnTask | undefined;

  /** Whether nothing more is wanted from the peer for now. */
  private isHeldBack = false;

  private readonly turns: TurnShare;

  private readonly timers: TimerService;

  private readonly events: LinkEvents;

  /** Starts to connect. Messages sent before the connection is established are buffered. */
  constructor({ address, from, timers, events, memory, turns }: TcpLinkOptions) {
    this.turns = turns;
    this.reader = new FrameReader(memory);
    this.timers = timers;
    this.events = events;
    const [host = '', port = ''] = address.split(':');
    const [localAddress] = from.split(':');
    this.lastReceivedAt = timers.now();
    this.lastUsedAt = this.lastReceivedAt;
    this.socket = openSocket({ host, port: Number(port), localAddress, noDelay: true });
    const timer = timers.after(CONNECT_TIMEOUT_MS, () => this.finish(LinkEnd.Silent, 'connect timeout'));
    this.socket.on('connect', () => {
      timer.cancel();
      this.isUp = true;
      this.lastReceivedAt = timers.now();
    });
    this.socket.on('data', (chunk) => this.receive(chunk));
    this.socket.on('error', (err: NodeJS.ErrnoException) =>
      this.finish(linkEndFor(err, this.isUp), err.message),
    );
    this.socket.on('close', () => {
      timer.cancel();
      this.reader.release();
      if (this.task !== undefined) turns.cancel(this.task);
      this.finish(LinkEnd.Closed, 'closed by the peer');
    });
    // Node buffers what is written before the connection is established.
    this.write(encodeFrame([MessageType.Hello, 0, events.hello()]));
  }

  send(type: MessageType, body: unknown): void {
    this.lastUsedAt = this.timers.now();
    this.write(encodeFrame([type, 0, body]));
  }

  request(type: MessageType, body: unknown, timeoutMs: number): Promise<unknown> {
    if (this.hasEnded) return Promise.reject(new Error('The link to the peer has ended.'));
    this.lastUsedAt = this.timers.now();
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    return new Promise((resolve, reject) => {
      const timer = this.timers.after(timeoutMs, () => {
        this.pendingRequests.delete(requestId);
        reject(new Error(`The peer did not respond within ${timeoutMs} ms.`));
      });
      this.pendingRequests.set(requestId, { resolve, reject, timer });
      this.write(encodeFrame([type, requestId, body]));
    });
  }

  heartbeat(): void {
    if (!this.isUp) return;
    if (this.unansweredHeartbeats >= MAX_UNANSWERED_HEARTBEATS) {
      this.finish(LinkEnd.Silent, `no response to ${this.unansweredHeartbeats} heartbeats`);
      return;
    }
    this.unansweredHeartbeats += 1;
    this.write(HEARTBEAT);
  }

  close(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.isUp = false;
    if (this.socket.writable) this.socket.end(GOODBYE);
    else this.socket.destroy();
    this.rejectPending('The link to the peer was closed.');
  }

  abort(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.isUp = false;
    this.socket.resetAndDestroy();
    this.rejectPending('The link to the peer was reset.');
  }

  pause(): void {
    this.isHeldBack = true;
    this.socket.pause();
  }

  resume(): void {
    this.isHeldBack = false;
    if (this.task === undefined) this.socket.resume();
  }

  private write(frame: Buffer): void {
    if (this.hasEnded) return;
    if (this.socket.writableLength > MAX_BACKLOG_BYTES) this.finish(LinkEnd.Silent, 'the peer does not read');
    else this.socket.write(frame);
  }

  private receive(chunk: Buffer): void {
    this.lastReceivedAt = this.timers.now();
    this.unansweredHeartbeats = 0;
    const task = this.handleChunk(chunk);
    this.task = task;
    this.settle(this.turns.run(task, (state) => this.settle(state)));
  }

  /** Reads on once all messages of a chunk are handled. */
  private settle(state: TaskState): void {
    if (state !== TaskState.Done) {
      this.socket.pause();
      return;
    }
    this.task = undefined;
    if (!this.isHeldBack && this.socket.isPaused()) this.socket.resume();
  }

  private *handleChunk(chunk: Buffer): Generator<StepResult, void> {
    try {
      for (const value of this.reader.read(chunk)) {
        this.handleFrame(value as IncomingFrame);
        if (this.socket.destroyed) return;
        yield StepResult.Continue;
      }
    } catch (err) {
      this.finish(LinkEnd.Closed, String(err));
    }
  }

  private handleFrame([requestId, body, errorText]: IncomingFrame): void {
    if (requestId === PUSH_ID) {
      this.lastUsedAt = this.lastReceivedAt;
      if (!this.hasEnded) this.events.onPush(body);
      return;
    }
    if (requestId === HEARTBEAT_ID) {
      this.events.onDigest(Number(body));
      return;
    }
    const pending = this.pendingRequests.get(requestId);
    if (pending === undefined) return;
    this.pendingRequests.delete(requestId);
    pending.timer.cancel();
    if (errorText === undefined) pending.resolve(body);
    else pending.reject(new Error(errorText));
  }

  private finish(end: LinkEnd, reason: string): void {
    if (this.hasEnded) return;
    const wasUp = this.isUp;
    this.hasEnded = true;
    this.isUp = false;
    this.socket.destroy();
    this.rejectPending(reason);
    this.events.onEnd(end, wasUp);
  }

  private rejectPending(reason: string): void {
    for (const { reject, timer } of this.pendingRequests.values()) {
      timer.cancel();
      reject(new Error(reason));
    }
    this.pendingRequests.clear();
  }
}

/**
 * Maps a socket error to the end of a link. A reset shows that no process listens only while the connection
 * is being established.
 */
function linkEndFor({ code }: NodeJS.ErrnoException, wasUp: boolean): LinkEnd {
  if (code === 'ECONNREFUSED' || (code === 'ECONNRESET' && !wasUp)) return LinkEnd.Refused;
  return code === 'ETIMEDOUT' || code === 'EHOSTUNREACH' ? LinkEnd.Silent : LinkEnd.Closed;
}
