/**
 * The outgoing link to one peer: one task that connects, sends and reconnects.
 *
 * Each daemon dials every other one, so that a link carries messages one way and answers the other.
 */
import type { TimerHandle, TimerService } from '@celeryyoke/core';
import { connect, type Socket } from 'node:net';

import { encodeFrame, FrameReader } from './frames.js';
import { MessageType } from './types.js';

/** Longest time to set up a link, in milliseconds; the longest way in a deployment is some ten milliseconds. */
const CONNECT_TIMEOUT_MS = 600;
/** Bytes that may wait for a peer that does not read before the link is cut. */
const MAX_BACKLOG_BYTES = 4 * 1024 * 1024;
/** Time without an answer to a heartbeat after which a link counts as silent, in milliseconds: three heartbeats of a small fleet. */
const SILENCE_MS = 1000;

/** How a link ended. */
export enum LinkEnd {
  /** The peer's host refused or reset it: the process is gone. */
  Refused = 'refused',
  /** It closed or went silent. */
  Lost = 'lost',
}

/** Options of a link. */
export interface LinkOptions {
  readonly address: string;
  readonly timers: TimerService;
  /** Makes the first message. */
  readonly hello: () => unknown;
  /** Called when the link is up. */
  readonly onUp: () => void;
  /** Called when the link ended or could not be made. */
  readonly onDown: (end: LinkEnd, wasUp: boolean) => void;
}

interface Waiting {
  readonly resolve: (value: unknown) => void;
  readonly reject: (err: Error) => void;
  readonly timer: TimerHandle;
}

/** A link that is being made or is up; it ends once. */
export class Link {
  isUp = false;

  /** Monotonic time of the last bytes from the peer. */
  heardAt: number;

  private readonly socket: Socket;

  private readonly reader = new FrameReader();

  private readonly waiting = new Map<number, Waiting>();

  private nextNumber = 1;

  private hasEnded = false;

  /**
   * Begins to connect.
   * @param options - Address, time and callbacks.
   */
  constructor(private readonly options: LinkOptions) {
    const [host = '', port = ''] = options.address.split(':');
    this.heardAt = options.timers.now();
    this.socket = connect({ host, port: Number(port), noDelay: true });
    const timer = options.timers.after(CONNECT_TIMEOUT_MS, () => this.end(LinkEnd.Lost, 'connect timeout'));
    this.socket.on('connect', () => {
      timer.cancel();
      this.start();
    });
    this.socket.on('data', (chunk) => this.receive(chunk));
    this.socket.on('error', (err: NodeJS.ErrnoException) => {
      const isGone = err.code === 'ECONNREFUSED' || err.code === 'ECONNRESET' || err.code === 'EPIPE';
      this.end(isGone ? LinkEnd.Refused : LinkEnd.Lost, err.message);
    });
    this.socket.on('close', () => {
      timer.cancel();
      this.end(LinkEnd.Refused, 'closed by the peer');
    });
  }

  /**
   * Sends a message without an answer.
   * @param type - What it is about.
   * @param body - Plain data.
   */
  send(type: MessageType, body: unknown): void {
    this.sendFrame(encodeFrame([type, 0, body]));
  }

  /**
   * Sends a message without an answer that is encoded already, as for several peers.
   * @param frame - The frame.
   */
  sendFrame(frame: Buffer): void {
    if (this.isUp) this.write(frame);
  }

  /**
   * Sends a message and waits for the answer.
   * @param type - What it is about.
   * @param body - Plain data.
   * @param timeoutMs - Longest wait.
   * @returns The answer.
   * @throws Error when the link is down, ends or the time is over.
   */
  request(type: MessageType, body: unknown, timeoutMs: number): Promise<unknown> {
    if (!this.isUp) return Promise.reject(new Error('The link is down.'));
    const number = this.nextNumber;
    this.nextNumber += 1;
    return new Promise((resolve, reject) => {
      const timer = this.options.timers.after(timeoutMs, () => {
        this.waiting.delete(number);
        reject(new Error(`The peer did not answer within ${timeoutMs} ms.`));
      });
      this.waiting.set(number, { resolve, reject, timer });
      this.write(encodeFrame([type, number, body]));
    });
  }

  /**
   * Sends a heartbeat, and ends the link when the peer has not answered the last ones.
   * @param frame - The encoded heartbeat.
   * @param intervals - Intervals of a small fleet's heartbeat between two.
   */
  heartbeat(frame: Buffer, intervals: number): void {
    if (!this.isUp) return;
    if (this.options.timers.now() - this.heardAt > SILENCE_MS * intervals) {
      this.end(LinkEnd.Lost, `silent for over ${SILENCE_MS * intervals} ms`);
      return;
    }
    this.write(frame);
  }

  /** Closes the link without telling that it ended. */
  close(): void {
    this.hasEnded = true;
    this.socket.end();
    this.failWaiting('The link was closed.');
  }

  private start(): void {
    this.isUp = true;
    this.heardAt = this.options.timers.now();
    this.write(encodeFrame([MessageType.Hello, 0, this.options.hello()]));
    this.options.onUp();
  }

  private write(frame: Buffer): void {
    if (this.socket.writableLength > MAX_BACKLOG_BYTES) {
      this.end(LinkEnd.Lost, 'the peer does not read');
      return;
    }
    this.socket.write(frame);
  }

  private receive(chunk: Buffer): void {
    this.heardAt = this.options.timers.now();
    try {
      for (const value of this.reader.take(chunk)) this.settle(value as [number, unknown, string?]);
    } catch (err) {
      this.end(LinkEnd.Lost, String(err));
    }
  }

  private settle([number, body, problem]: [number, unknown, string?]): void {
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
    this.options.onDown(end, wasUp);
  }

  private failWaiting(reason: string): void {
    for (const { reject, timer } of this.waiting.values()) {
      timer.cancel();
      reject(new Error(reason));
    }
    this.waiting.clear();
  }
}
