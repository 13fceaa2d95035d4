/** Services that keep promises to callers for the whole fleet: keys, limits and suspects. */
import type { AuditTrail, Metrics, Service } from '@celeryyoke/core';
import type { Custody, ManagedMembership, Membership, PeerBus } from '@celeryyoke/fleet';
import { createCallerLimits, createCustody, createKeyLedger, createSuspectRegistry } from '@celeryyoke/fleet';

import { Part } from '../names.js';
import type { PartOptions } from '../types.js';
import { runningService } from './running.js';

function custodyService({ timers, log }: PartOptions): Service {
  return runningService(Part.Custody, [Part.Bus, Part.Membership], (kernel) => {
    const membership = kernel.get<ManagedMembership>(Part.Membership);
    return createCustody({
      bus: kernel.get<PeerBus>(Part.Bus),
      membership,
      timers,
      log: log.part('custody'),
      pin: (peers) => membership.pinLinks(Part.Custody, peers),
    });
  });
}

function keysService({ settings, timers, log }: PartOptions): Service {
  return runningService(Part.Keys, [Part.Bus, Part.Custody, Part.Metrics], (kernel) =>
    createKeyLedger({
      bus: kernel.get<PeerBus>(Part.Bus),
      custody: kernel.get<Custody>(Part.Custody),
      timers,
      log: log.part('keys'),
      metrics: kernel.get<Metrics>(Part.Metrics),
      retentionMs: settings.keyRetentionMs,
      clockBoundMs: settings.callerClockMs,
    }),
  );
}

function limitsService({ timers, log }: PartOptions): Service {
  return runningService(Part.Limits, [Part.Bus, Part.Membership, Part.Custody], (kernel) =>
    createCallerLimits({
      bus: kernel.get<PeerBus>(Part.Bus),
      membership: kernel.get<Membership>(Part.Membership),
      custody: kernel.get<Custody>(Part.Custody),
      timers,
      log: log.part('limits'),
    }),
  );
}

function suspectsService({ timers, log }: PartOptions): Service {
  return runningService(Part.Suspects, [Part.Bus, Part.Membership, Part.Audit], (kernel) =>
    createSuspectRegistry({
      bus: kernel.get<PeerBus>(Part.Bus),
      membership: kernel.get<Membership>(Part.Membership),
      timers,
      log: log.part('suspects'),
      audit: kernel.get<AuditTrail>(Part.Audit),
    }),
  );
}

/**
 * Makes the services.
 * @param options - The daemon's options.
 * @returns The services, in no particular order.
 */
export function promiseServices(options: PartOptions): Service[] {
  return [custodyService(options), keysService(options), limitsService(options), suspectsService(options)];
}
