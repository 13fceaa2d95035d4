/**
 * WebSocket that bounds its send buffer, counts sent frames and bytes, and lets tests drop, duplicate or
 * delay frames.
 */
import type { Counter, TimerService } from '@celeryyoke/core';
import type { ClientOptions } from 'ws';
import { WebSocket } from 'ws';

import type { LinkPolicy } from './types.js';

/** What a socket needs from its bus. */
export interface SocketContext {
  readonly self: string;
  readonly timers: TimerService;
  readonly linkPolicy: LinkPolicy | undefined;
  readonly maxBufferedBytes: number;
  readonly sentBytes: Counter;
  readonly sentFrames: Counter;
}

/** Allowance for tRPC's envelope around a message, on top of the largest message. */
export const ENVELOPE_BYTES = 4_096;

/** One end of a WebSocket connection between daemons. */
export class FrameSocket extends WebSocket {
  private context: SocketContext | undefined;

  /** Name of the daemon at the other end; empty until it is known. */
  peer = '';

  /**
   * Connects the socket to its bus. `ws` constructs the sockets of a server itself, so this can't be a
   * constructor parameter.
   */
  setContext(context: SocketContext): void {
    this.context = context;
  }

  /**
   * Sends a frame. Terminates the connection instead when too many bytes wait to be sent, since the peer has
   * stopped reading or reads too slowly.
   */
  override send(data: Parameters<WebSocket['send']>[0]): void {
    const { context } = this;
    if (context === undefined) {
      super.send(data);
      return;
    }
    if (this.bufferedAmount > context.maxBufferedBytes) {
      this.terminate();
      return;
    }
    if (context.linkPolicy === undefined) {
      this.writeFrame(data, context);
      return;
    }
    for (const delay of context.linkPolicy({ from: context.self, to: this.peer })) {
      if (delay <= 0) this.writeFrame(data, context);
      else context.timers.after(delay, () => this.writeFrame(data, context));
    }
  }

  private writeFrame(data: Parameters<WebSocket['send']>[0], context: SocketContext): void {
    if (this.readyState !== WebSocket.OPEN) return;
    if (data instanceof Uint8Array) context.sentBytes.add(data.length);
    context.sentFrames.add();
    super.send(data);
  }
}

/**
 * Creates the socket class for one dial. tRPC's client constructs its sockets itself, so the parameters are
 * bound to the class.
 * @param maxPayload - Largest frame accepted, in bytes.
 * @param onCreated - Called with each socket that is constructed.
 */
export function createDialSocketClass(
  context: SocketContext,
  peer: string,
  maxPayload: number,
  onCreated: (socket: FrameSocket) => void,
): new (address: string) => FrameSocket {
  const options: ClientOptions = { maxPayload, perMessageDeflate: false, skipUTF8Validation: true };
  return class DialSocket extends FrameSocket {
    constructor(address: string) {
      super(address, options);
      this.setContext(context);
      this.peer = peer;
      onCreated(this);
    }
  };
}
