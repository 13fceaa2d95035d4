/** Finds out whether anything listens at an address, to tell a crashed process from a cut connection. */
import { connect } from 'node:net';

import type { TimerService } from '../time/index.js';

const REFUSED = 'ECONNREFUSED';

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
 * @param timeoutMs - Longest time to wait, in milliseconds.
 */
export function probeListener(
  { host, port }: { readonly host: string; readonly port: number },
  timers: TimerService,
  timeoutMs: number,
): Promise<ListenerState> {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    const timer = timers.after(timeoutMs, () => settle(ListenerState.Unknown));
    function settle(state: ListenerState): void {
      timer.cancel();
      socket.destroy();
      resolve(state);
    }
    socket.once('connect', () => settle(ListenerState.Listening));
    socket.on('error', ({ code }: NodeJS.ErrnoException) =>
      settle(code === REFUSED ? ListenerState.Refused : ListenerState.Unknown),
    );
  });
}
