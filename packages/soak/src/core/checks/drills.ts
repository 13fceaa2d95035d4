/** Checks that configurations are in force in time, and that a store that comes back from a copy is asked a few times. */
import type { ConfigProbe } from '../callers/index.js';
import type { StoreDrill } from '../site/index.js';
import type { DaemonOutage } from './declarations.js';
import { isDisturbed } from './disturbances.js';

const NOT_FOUND = 404;

/** Finds daemons that did not know the route of a configuration when it had to be in force. */
export function checkConfigs(
  probes: readonly ConfigProbe[],
  outages: readonly DaemonOutage[],
): readonly ConfigProbe[] {
  return probes.filter(({ daemon, at, status }) => status === NOT_FOUND && !isDisturbed(daemon, outages, at));
}

/** Finds drills after which the store refused more watches than there are daemons. */
export function checkDrills(drills: readonly StoreDrill[], daemons: number): readonly StoreDrill[] {
  return drills.filter(({ refusedWatches }) => refusedWatches > daemons);
}
