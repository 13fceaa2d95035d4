/** Whether a daemon may get requests. */
import type { ConfigHolder } from '@celeryyoke/configuration';
import type { Service } from '@celeryyoke/core';
import type { ManagedMembership, SiteState } from '@celeryyoke/fleet';
import { HostRole } from '@celeryyoke/platform';

import { Part } from '../names.js';
import type { PartOptions } from '../types.js';

/** Says why the daemon may not get requests now; undefined when it may. */
export type Readiness = () => string | undefined;

/** What readiness looks at. */
interface ReadinessOptions {
  readonly self: string;
  readonly holder: ConfigHolder;
  readonly membership: ManagedMembership;
  readonly site: SiteState;
}

/** Later outages do not make a daemon unready that has been ready: all of them would be at once. */
function createReadiness({ self, holder, membership, site }: ReadinessOptions): Readiness {
  let wasListed = false;
  return () => {
    const config = holder.current()?.config;
    if (config === undefined) return 'no configuration yet';
    if (membership.hosts(HostRole.Entry).length === 0) return 'no host list yet';
    wasListed ||= membership.findHost(self) !== undefined;
    // Before the list names it, peers divide no limits and no keys to this daemon.
    if (!wasListed) return 'this host is not on the host list yet';
    if (config.engines.length > 0 && !site.hasSeenGrantingOwner())
      return 'no engine has an owner that gives leases yet';
    return undefined;
  };
}

/**
 * Makes the service.
 * @param options - The daemon's options.
 * @param isDraining - Whether the daemon drains.
 * @returns The service.
 */
export function readinessService(options: PartOptions, isDraining: () => boolean): Service<Readiness> {
  return {
    name: Part.Readiness,
    needs: [Part.Config, Part.Membership, Part.Site],
    start(kernel) {
      const readiness = createReadiness({
        self: options.settings.hostName,
        holder: kernel.get<ConfigHolder>(Part.Config),
        membership: kernel.get<ManagedMembership>(Part.Membership),
        site: kernel.get<SiteState>(Part.Site),
      });
      return () => (isDraining() ? 'draining' : readiness());
    },
  };
}
