/** Creates the parts of a daemon through which it reaches replicas, and which hear what replicas declare. */
import type { ServiceFinder } from '@celeryyoke/core';

import type { EngineControl } from '../adapters/index.js';
import { observeReports } from '../adapters/index.js';
import { DeclarationSource, ReplicaAvailability } from '../availability/index.js';
import type { UpstreamGuard } from '../channels/index.js';
import { ChannelPool } from '../channels/index.js';
import type { PathMonitor, ReachabilityTable } from '../paths/index.js';
import type { RunStateCopier } from '../requests/index.js';
import { PART } from './part-names.js';
import type { RouterOptions } from './types.js';

/**
 * Maximum time for which a replica that leaves or is not listed any more may get requests if its service has no
 * other, in milliseconds. An entry also disappears when the platform's registry was unavailable, and returns
 * within 2 s.
 */
const MAX_LEAVING_GRACE_MS = 1500;
/** Error code of a connection that no process accepts. */
const CONNECTION_REFUSED = 'ECONNREFUSED';
/** Part of the drain time that is left for a declaration and a request to arrive, in milliseconds. */
const LEAVING_MARGIN_MS = 500;

/** Creates the table of what replicas have declared. */
export function createAvailability({ settings, timers, log }: RouterOptions): ReplicaAvailability {
  const leavingGraceMs = Math.min(MAX_LEAVING_GRACE_MS, settings.drainMs - LEAVING_MARGIN_MS);
  return new ReplicaAvailability({ leavingGraceMs, timers, log });
}

/** Parts that hear from the pool of connections; they are created after it. */
export interface ChannelListeners {
  /** Called with the replica of each response. */
  readonly onResponse: (replica: string) => void;
  /** Called with a replica whose address refuses connections, as its process has ended. */
  readonly onRefused: (replica: string) => void;
  readonly reachability: () => ReachabilityTable;
  readonly paths: () => PathMonitor;
}

/**
 * Creates the pool of connections, which asks that table before each exchange and updates it from each response.
 */
export function createChannels(
  { settings, dialect, timers }: RouterOptions,
  kernel: ServiceFinder,
  { onResponse, onRefused, reachability, paths }: ChannelListeners,
): ChannelPool {
  const availability = kernel.get<ReplicaAvailability>(PART.availability);
  const guard: UpstreamGuard = {
    refusal: (replica, purpose) => availability.refusal(replica, purpose),
    onResponseHead: (replica, status, headers, requestId) => {
      availability.recordDeclaration(replica, dialect.readDeclaration(status, headers, requestId));
      reachability().recordReached(replica);
      paths().recordResponse(replica);
      onResponse(replica);
    },
    onConnected: (replica) => reachability().recordReached(replica),
    onConnectFailed: (replica, err) => {
      if ((err as NodeJS.ErrnoException).code === CONNECTION_REFUSED) onRefused(replica);
      reachability().recordFailure(replica, err.message);
      paths().recordTrouble(replica);
    },
    onSlowConnect: (replica) => paths().recordTrouble(replica),
    onConnectionLost: (replica) => paths().recordTrouble(replica),
  };
  // Replicas that tell hosts apart know one by its own address.
  return new ChannelPool(timers, guard, settings.host);
}

/** Creates the client for engines, whose reports update the same table. */
export function createControl(
  { control }: RouterOptions,
  kernel: ServiceFinder,
): EngineControl & RunStateCopier {
  const availability = kernel.get<ReplicaAvailability>(PART.availability);
  return observeReports(control(kernel.get(PART.channels)), (replica) =>
    availability.recordLeaving(replica, DeclarationSource.Report),
  );
}
