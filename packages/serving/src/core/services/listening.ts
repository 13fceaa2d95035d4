/** Asks whether anything listens at an address, to tell a crashed upstream from a cut link. */
import type { TimerService } from '@celeryyoke/core';
import { ListenerState, probeListener } from '@celeryyoke/core';

const HTTP_PORT = 80;

/**
 * Connects once and closes the connection.
 * @param address - Base URL of the upstream.
 * @param timers - Bounds the wait.
 * @param timeoutMs - Longest time to ask, in milliseconds.
 * @returns Whether the host answers that nothing listens there; false when that can't be told.
 */
export async function refusesConnections(
  address: string,
  timers: TimerService,
  timeoutMs: number,
): Promise<boolean> {
  const { hostname, port } = new URL(address);
  const listener = { host: hostname, port: Number(port || HTTP_PORT) };
  return (await probeListener(listener, timers, timeoutMs)) === ListenerState.Refused;
}
