/** Partitions between one replica and some hosts, which a replica plays for the connections that come from them. */
import type { Socket } from 'node:net';

/** What a partition does to connections. */
export enum PathCut {
  /** Existing and new connections hang; what was sent arrives when the cut heals, unless its sender has reset them. */
  Hang = 'hang',
  /** Existing connections are reset, and new ones as soon as they are opened. */
  Reset = 'reset',
  /** Existing connections live on, and new ones are reset as soon as they are opened. */
  RefuseNew = 'refuse-new',
  /** Existing connections hang for good, and new ones work. */
  MuteOpen = 'mute-open',
}

/** Connections of one replica, and the hosts that are cut off from it. */
export class PathCuts {
  private readonly cuts = new Map<string, PathCut>();

  private readonly sockets = new Set<Socket>();

  /** Connections that hang for good. */
  private readonly muted = new WeakSet<Socket>();

  /**
   * Takes a connection that was opened.
   * @returns Whether the replica gets it.
   */
  accept(socket: Socket): boolean {
    const cut = this.cuts.get(socket.remoteAddress ?? '');
    if (cut === PathCut.Reset || cut === PathCut.RefuseNew) {
      socket.on('error', () => undefined);
      socket.resetAndDestroy();
      return false;
    }
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    // The replica subscribes to its data in the same step, which makes it flow.
    if (cut === PathCut.Hang) queueMicrotask(() => hang(socket));
    return true;
  }

  /** Cuts a host off. */
  cut(host: string, cut: PathCut): void {
    this.cuts.set(host, cut);
    for (const socket of this.socketsOf(host)) {
      if (cut === PathCut.Hang || cut === PathCut.MuteOpen) hang(socket);
      if (cut === PathCut.MuteOpen) this.muted.add(socket);
      if (cut === PathCut.Reset) socket.resetAndDestroy();
    }
  }

  /** Ends the cut of a host. */
  heal(host: string): void {
    this.cuts.delete(host);
    for (const socket of this.socketsOf(host)) {
      if (this.muted.has(socket)) continue;
      socket.uncork();
      socket.resume();
    }
  }

  private socketsOf(host: string): Socket[] {
    return [...this.sockets].filter(({ remoteAddress }) => remoteAddress === host);
  }
}

/** Stops a connection from reading, and keeps back what is written to it. */
function hang(socket: Socket): void {
  socket.pause();
  socket.cork();
}
