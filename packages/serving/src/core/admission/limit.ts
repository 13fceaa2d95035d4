/** How many requests of this daemon may run on an engine, given what the other daemons run there. */
import type { EngineConfig } from '@celeryyoke/configuration';
import type { Membership } from '@celeryyoke/fleet';
import type { SiteView } from '@celeryyoke/placement';
import { HostRole, HostState } from '@celeryyoke/platform';

import type { EngineLimit, EngineUse } from './places.js';

/** Options of the limit. */
export interface EngineLimitOptions {
  readonly membership: Membership;
  /** What runs on the engines; without it, this daemon may fill each engine alone. */
  readonly site?: SiteView | undefined;
  /** Requests that an engine is given for each place in its batch, so that a place that falls free is filled at once. */
  readonly oversubscription: number;
}

function countDaemons(membership: Membership): number {
  const live = membership.hosts(HostRole.Entry).filter(({ state }) => state === HostState.Live);
  return Math.max(1, live.length);
}

/**
 * Makes the limit.
 *
 * The view of what others run there lags, so each daemon keeps an equal share that nobody can take, and uses what
 * the others leave beyond it.
 * @param options - Hosts, engines and the factor.
 * @returns The limit.
 */
export function createEngineLimit({ membership, site, oversubscription }: EngineLimitOptions): EngineLimit {
  return (engine: EngineConfig, { running, queued }: EngineUse): number => {
    const room = Math.max(1, Math.floor(engine.batch * oversubscription));
    const view = site?.engines(engine.model).find(({ name }) => name === engine.name);
    if (view === undefined) return room;
    const others = Math.max(0, view.running - running - queued);
    const share = Math.max(1, Math.floor(room / countDaemons(membership)));
    return Math.max(share, room - others);
  };
}
