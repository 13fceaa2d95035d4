/** The TCP link to one peer: connects, sends, and matches answers to requests. */
import type { TimerHandle, TimerService } from '@celeryyoke/core';
import { connect, type Socket } from 'node:net';

import { encodeFrame, FrameReader, HEARTBEAT_NUMBER, PUSH_NUMBER } from './frames.js';
import type { LinkEvents, PeerLink } from './types.js';
import { LinkEnd, MessageType } from './types.js';

/** Longest time to set up a link, in milliseconds. */
const CONNECT_TIMEOUT_MS = 600;
/** Bytes that may wait for a peer that does not read before the link is cut. */
const MAX_BACKLOG_BYTES = 4 * 1024 * 1024;
/** Heartbeats without an answer after which a link counts as silent; counted, as a paused process sends none. */
const MAX_UNANSWERED = 3;
const HEARTBEAT = encodeFrame([MessageType.Heartbeat, 0]);
const GOODBYE = encodeFrame([MessageType.Goodbye, 0]);

interface Waiting {
  readonly resolve: (value: unknown) => void;
  readonly reject: (err: Error) => void;
  readonly timer: TimerHandle;
}

/** Answer to a request, or a push. */
type Incoming = readonly [number: number, body: unknown, problem?: string];

/** A link over TCP; it ends once. */
export class TcpLink implements PeerLink {
  isUp = false;

  heardAt: number;

  usedAt: number;

  private readonly socket: Socket;

  private readonly reader = new FrameReader();

  private readonly waiting = new Map<number, Waiting>();

  private nextNumber = 1;

  /** Heartbeats sent since the last bytes from the peer. */
  private unanswered = 0;

  private hasEnded = false;

  /**
   * Begins to connect.
   * @param address - `host:port`.
   * @param timers - Time.
   * @param events - Callbacks.
   */
  constructor(
    address: string,
    private readonly timers: TimerService,
    private readonly events: LinkEvents,
  ) {
    const [host = '', port = ''] = address.split(':');
    this.heardAt = timers.now();
    this.usedAt = this.heardAt;
    this.socket = connect({ host, port: Number(port), noDelay: true });
    const timer = timers.after(CONNECT_TIMEOUT_MS, () => this.end(LinkEnd.Silent, 'connect timeout'));
    this.socket.on('connect', () => {
      timer.cancel();
      this.isUp = true;
      this.heardAt = timers.now();
    });
    this.socket.on('data', (chunk) => this.receive(chunk));
    this.socket.on('error', (err: NodeJS.ErrnoException) => this.end(endOf(err, this.isUp), err.message));
    this.socket.on('close', () => {
      timer.cancel();
      this.end(LinkEnd.Closed, 'closed by the peer');
    });
    // Node keeps what is written before the connection is established.
    this.write(encodeFrame([MessageType.Hello, 0, events.hello()]));
  }

  send(type: MessageType, body: unknown): void {
    this.usedAt = this.timers.now();
    this.write(encodeFrame([type, 0, body]));
  }

  request(type: MessageType, body: unknown, timeoutMs: number): Promise<unknown> {
    if (this.hasEnded) return Promise.reject(new Error('The link has ended.'));
    this.usedAt = this.timers.now();
    const number = this.nextNumber;
    this.nextNumber += 1;
    return new Promise((resolve, reject) => {
      const timer = this.timers.after(timeoutMs, () => {
        this.waiting.delete(number);
        reject(new Error(`The peer did not answer within ${timeoutMs} ms.`));
      });
      this.waiting.set(number, { resolve, reject, timer });
      this.write(encodeFrame([type, number, body]));
    });
  }

  heartbeat(): void {
    if (!this.isUp) return;
    if (this.unanswered >= MAX_UNANSWERED) {
      this.end(LinkEnd.Silent, `${this.unanswered} heartbeats were not answered`);
      return;
    }
    this.unanswered += 1;
    this.write(HEARTBEAT);
  }

  close(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.isUp = false;
    if (this.socket.writable) this.socket.end(GOODBYE);
    else this.socket.destroy();
    this.failWaiting('The link was closed.');
  }

  private write(frame: Buffer): void {
    if (this.hasEnded) return;
    if (this.socket.writableLength > MAX_BACKLOG_BYTES) this.end(LinkEnd.Silent, 'the peer does not read');
    else this.socket.write(frame);
  }

  private receive(chunk: Buffer): void {
    this.heardAt = this.timers.now();
    this.unanswered = 0;
    try {
      for (const value of this.reader.take(chunk)) this.handle(value as Incoming);
    } catch (err) {
      this.end(LinkEnd.Closed, String(err));
    }
  }

  private handle([number, body, problem]: Incoming): void {
    if (number === PUSH_NUMBER) {
      this.usedAt = this.heardAt;
      if (!this.hasEnded) this.events.onPush(body);
      return;
    }
    if (number === HEARTBEAT_NUMBER) {
      this.events.onDigest(Number(body));
      return;
    }
    const waiting = this.waiting.get(number);
    if (waiting === undefined) return;
    this.waiting.delete(number);
    waiting.timer.cancel();
    if (problem === undefined) waiting.resolve(body);
    else waiting.reject(new Error(problem));
  }

  private end(end: LinkEnd, reason: string): void {
    if (this.hasEnded) return;
    const wasUp = this.isUp;
    this.hasEnded = true;
    this.isUp = false;
    this.socket.destroy();
    this.failWaiting(reason);
    this.events.onEnd(end, wasUp);
  }

  private failWaiting(reason: string): void {
    for (const { reject, timer } of this.waiting.values()) {
      timer.cancel();
      reject(new Error(reason));
    }
    this.waiting.clear();
  }
}

/** A reset shows that no process listens only while the connection is being set up. */
function endOf({ code }: NodeJS.ErrnoException, wasUp: boolean): LinkEnd {
  if (code === 'ECONNREFUSED' || (code === 'ECONNRESET' && !wasUp)) return LinkEnd.Refused;
  return code === 'ETIMEDOUT' || code === 'EHOSTUNREACH' ? LinkEnd.Silent : LinkEnd.Closed;
}
