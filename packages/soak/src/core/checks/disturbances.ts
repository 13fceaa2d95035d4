/** When a daemon counts as disturbed, which excuses it from what its callers and replicas saw. */
import type { DaemonOutage, Excuses } from './declarations.js';

/** Time from a fault, or from a disturbance of a daemon, until what the daemon does counts, in milliseconds. */
export const STABLE_MS = 3000;

/** All signals to daemons and all their starts, the first ones too. */
export function allDisturbances({ outages, firstStarts = [] }: Excuses): DaemonOutage[] {
  return [...outages, ...firstStarts];
}

/**
 * Whether a daemon was signalled or started shortly before a time, or from then on until another one.
 * @param from - Unix milliseconds.
 * @param until - Unix milliseconds; the same as `from` when it is left out.
 */
export function isDisturbed(
  daemon: string | undefined,
  outages: readonly DaemonOutage[],
  from: number,
  until = from,
): boolean {
  return outages.some(({ daemon: name, at }) => name === daemon && at > from - STABLE_MS && at <= until);
}
