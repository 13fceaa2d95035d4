/** Connections of callers: since when a request can have been waiting to be read, and whether its caller is still there. */
import type { Socket } from 'node:net';

import type { TimerService } from '@celeryyoke/core';

import type { PacedInput } from '../input/index.js';

/** One connection of a caller. */
export class CallerConnection {
  /** Whether the caller has closed its side, or the connection is gone. */
  hasLeft = false;

  /** What it sends; undefined before its first byte. */
  input: PacedInput | undefined;

  private readonly listeners = new Set<() => void>();

  /** Earliest monotonic time at which its first request can have arrived, in milliseconds. */
  private readonly openedAt: number;

  /** Monotonic time of its acceptance, in milliseconds. */
  private readonly acceptedAt: number;

  /** Number of bytes that were parsed by the end of the last exchange. */
  private settledBytes = 0;

  constructor(
    private readonly socket: Socket,
    private readonly timers: TimerService,
    queuedSince: number,
  ) {
    this.acceptedAt = timers.now();
    this.openedAt = Math.min(queuedSince, this.acceptedAt - timers.readAgeMs());
    const leave = (): void => this.leave();
    // The end of the caller's side is read before the response hears of it.
    socket.once('end', leave);
    socket.once('error', leave);
    socket.once('close', leave);
  }

  /** Records that a response has been written. */
  settle(): void {
    this.settledBytes = this.socket.bytesRead - (this.input?.unparsedBytes ?? 0);
  }

  /** Whether nothing of a request has arrived since the last exchange. */
  get isIdle(): boolean {
    return this.socket.bytesRead === this.settledBytes;
  }

  /** Returns the earliest monotonic time at which a request that is read now can have arrived, in milliseconds. */
  earliestArrival(): number {
    const since = this.timers.now() - this.timers.readAgeMs();
    const readSince = this.acceptedAt >= since ? this.openedAt : since;
    return Math.min(readSince, this.input?.heldSince ?? readSince);
  }

  /**
   * Calls back when the caller leaves; at once if it has left.
   * @returns A function that takes the call back.
   */
  onLeave(callback: () => void): () => void {
    if (this.hasLeft) callback();
    else this.listeners.add(callback);
    return () => this.listeners.delete(callback);
  }

  private leave(): void {
    if (this.hasLeft) return;
    this.hasLeft = true;
    for (const callback of this.listeners) callback();
    this.listeners.clear();
  }
}

/** Connections of all callers. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  /** Monotonic time at which the queue of new connections was last known to be empty, in milliseconds. */
  private queueEmptyAt: number;

  /** Monotonic time of the last acceptance, in milliseconds. */
  private acceptedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly timers: TimerService) {
    this.queueEmptyAt = timers.now();
  }

  /** Records a connection that was accepted. */
  accept(socket: Socket): CallerConnection {
    const now = this.timers.now();
    // The event loop accepts one connection in each turn; if it accepted none in the last one, none was waiting.
    const lastTurnAt = now - this.timers.readAgeMs();
    if (this.acceptedAt < lastTurnAt) this.queueEmptyAt = lastTurnAt;
    this.acceptedAt = now;
    const connection = new CallerConnection(socket, this.timers, this.queueEmptyAt);
    if (socket.destroyed) return connection;
    this.connections.set(socket, connection);
    socket.once('close', () => this.connections.delete(socket));
    return connection;
  }

  /** Connections of which nothing of a request has arrived since the last exchange. */
  idle(): Socket[] {
    return [...this.connections].filter(([, { isIdle }]) => isIdle).map(([socket]) => socket);
  }

  /** Returns the connection of a socket. */
  of(socket: Socket): CallerConnection {
    return this.connections.get(socket) ?? this.accept(socket);
  }
}
