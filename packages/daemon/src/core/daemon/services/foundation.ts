/** Services that everything else rests on: metrics, audit trail and configuration in force. */
import { createConfigHolder } from '@celeryyoke/configuration';
import type { AuditTrail, Metrics, Service } from '@celeryyoke/core';
import { createAuditTrail, createMetrics, registerProcessMetrics } from '@celeryyoke/core';

import { Part } from '../names.js';
import type { PartOptions } from '../types.js';

function metricsService(): Service<Metrics> {
  let endProcessMetrics: (() => void) | undefined;
  return {
    name: Part.Metrics,
    start() {
      const metrics = createMetrics();
      endProcessMetrics = registerProcessMetrics(metrics);
      return metrics;
    },
    stop: () => endProcessMetrics?.(),
  };
}

function auditService({ settings, timers }: PartOptions): Service<AuditTrail> {
  return {
    name: Part.Audit,
    start: () => createAuditTrail({ daemon: settings.hostName, timers, capacity: settings.auditCapacity }),
  };
}

/**
 * Makes the services.
 * @param options - The daemon's options.
 * @returns The services, in no particular order.
 */
export function foundationServices(options: PartOptions): Service[] {
  return [metricsService(), auditService(options), { name: Part.Config, start: () => createConfigHolder() }];
}
