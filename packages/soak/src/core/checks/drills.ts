/** Checks that configurations are in force in time, and that a store that comes back from a copy is asked a few times. */
import type { ConfigProbe } from '../callers/index.js';
import type { StoreDrill } from '../site/index.js';
import type { DaemonOutage } from './declarations.js';
import { isDisturbed, STABLE_MS } from './disturbances.js';

const NOT_FOUND = 404;

/** Finds undisturbed daemons that did not know the route of a configuration although the store had been calm. */
export function checkConfigs(
  probes: readonly ConfigProbe[],
  outages: readonly DaemonOutage[],
  drills: readonly StoreDrill[],
): readonly ConfigProbe[] {
  const isCalm = (at: number): boolean =>
    drills.every(({ from, until = Number.POSITIVE_INFINITY }) => at < from || at > until + STABLE_MS);
  return probes.filter(
    ({ daemon, at, status }) => status === NOT_FOUND && isCalm(at) && !isDisturbed(daemon, outages, at),
  );
}

/** Finds drills after which the store refused more watches than there are daemons. */
export function checkDrills(drills: readonly StoreDrill[], daemons: number): readonly StoreDrill[] {
  return drills.filter(({ refusedWatches }) => refusedWatches > daemons);
}
