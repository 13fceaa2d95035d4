/** Finds out whether anything listens at an address, to tell a crashed process from a cut connection. */
import type { TimerService } from '../time/index.js';
import { openSocket } from './open-socket.js';

const REFUSED = 'ECONNREFUSED';

/** Address of a listener. */
export interface ProbeTarget {
  readonly host: string;
  readonly port: number;
  /** Address to connect from; any when it is left out. */
  readonly localAddress?: string;
}

/** What an attempt to connect shows. */
export enum ListenerState {
  Listening = 'listening',
  /** The host responds that nothing listens at the port. */
  Refused = 'refused',
  /** There was no response in time, or another error. */
  Unknown = 'unknown',
}

/**
 * Connects once and closes the connection.
 * @param target - Where to connect to, and optionally the address to connect from.
 * @param timeoutMs - Longest time to wait for the connection, in milliseconds.
 * @param holdMs - Time for which the connection must last, in milliseconds: a partition may reset it at once.
 */
export function probeListener(
  target: ProbeTarget,
  timers: TimerService,
  timeoutMs: number,
  holdMs = 0,
): Promise<ListenerState> {
  return new Promise((resolve) => {
    const { host, port, localAddress } = target;
    const socket = openSocket({ host, port, localAddress });
    let timer = timers.after(timeoutMs, () => settle(ListenerState.Unknown));
    function settle(state: ListenerState): void {
      timer.cancel();
      socket.destroy();
      resolve(state);
    }
    socket.once('connect', () => {
      timer.cancel();
      if (holdMs === 0) settle(ListenerState.Listening);
      else timer = timers.after(holdMs, () => settle(ListenerState.Listening));
    });
    // Without a listener the end of the connection would not be read.
    socket.on('data', () => undefined);
    socket.once('close', () => settle(ListenerState.Unknown));
    socket.on('error', ({ code }: NodeJS.ErrnoException) =>
      settle(code === REFUSED ? ListenerState.Refused : ListenerState.Unknown),
    );
  });
}
