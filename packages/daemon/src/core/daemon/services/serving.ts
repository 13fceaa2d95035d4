/** The callers' server as a service. */
import type { ConfigHolder } from '@celeryyoke/configuration';
import type { Metrics, Service } from '@celeryyoke/core';
import type { CallerLimits, Dispatcher, KeyLedger, Membership, SuspectRegistry } from '@celeryyoke/fleet';
import type { SiteView } from '@celeryyoke/placement';
import { createRetryBudget } from '@celeryyoke/fleet';
import type { CallerServer } from '@celeryyoke/serving';
import { createCallerServer } from '@celeryyoke/serving';

import { Part } from '../names.js';
import type { PartOptions } from '../types.js';
import type { EngineClients } from './clients.js';

const NEEDS = [Part.Config, Part.Dispatcher, Part.Clients, Part.Keys, Part.Limits, Part.Suspects];

/**
 * Makes the service; it does not listen before the daemon has started.
 * @param options - The daemon's options.
 * @returns The service.
 */
export function callersService({ settings, timers, log }: PartOptions): Service<CallerServer> {
  let server: CallerServer | undefined;
  return {
    name: Part.Callers,
    needs: [...NEEDS, Part.Membership, Part.Site, Part.Metrics],
    start(kernel) {
      server = createCallerServer({
        daemon: settings.hostName,
        config: kernel.get<ConfigHolder>(Part.Config),
        dispatcher: kernel.get<Dispatcher>(Part.Dispatcher),
        engines: kernel.get<EngineClients>(Part.Clients).at,
        keys: kernel.get<KeyLedger>(Part.Keys),
        limits: kernel.get<CallerLimits>(Part.Limits),
        suspects: kernel.get<SuspectRegistry>(Part.Suspects),
        membership: kernel.get<Membership>(Part.Membership),
        site: kernel.get<SiteView>(Part.Site),
        retries: createRetryBudget({ timers, share: settings.retryBudgetShare }),
        timers,
        log: log.part('callers'),
        metrics: kernel.get<Metrics>(Part.Metrics),
        settings: {
          maxBodyBytes: settings.bodyLimitBytes,
          headersTimeoutMs: settings.headerTimeoutMs,
          bodyTimeoutMs: settings.bodyTimeoutMs,
          defaultTimeoutMs: settings.defaultDeadlineMs,
          maxWaiting: settings.queueLimit,
        },
      });
      return server;
    },
    async stop() {
      await server?.close();
    },
  };
}
