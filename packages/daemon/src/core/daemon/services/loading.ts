/** Services that bring adapters onto engines: policy, permits, engine owners, dispatcher. */
import type { ConfigHolder, PolicyConfig } from '@celeryyoke/configuration';
import { splitAdapterKey } from '@celeryyoke/configuration';
import type { AuditTrail, Metrics, Service } from '@celeryyoke/core';
import type { Membership, Ownership, PeerBus, PermitOwners, SiteState } from '@celeryyoke/fleet';
import { createDispatcher, createEngineOwners, createPermitOwners, createSiteState } from '@celeryyoke/fleet';
import type { AdapterKey, PlacementPolicy, PolicyOptions } from '@celeryyoke/placement';
import { createPolicy } from '@celeryyoke/placement';

import { Part } from '../names.js';
import type { PartOptions } from '../types.js';
import type { EngineClients } from './clients.js';
import { runningService } from './running.js';

const DEFAULT_POLICY: Pick<PolicyConfig, 'stallWeight' | 'maxLoadWaitMs'> = {
  stallWeight: 0.5,
  maxLoadWaitMs: 30_000,
};

/**
 * Finds the base model of a key. Counts outlive configurations, so that a key whose adapter or version is
 * gone is usual here and no error.
 */
function modelOf(holder: ConfigHolder, key: AdapterKey): string | undefined {
  const { adapter: name, version = '' } = splitAdapterKey(key);
  const adapter = holder.current()?.adapter(name);
  return adapter?.versions.includes(version) ? adapter.model : undefined;
}

/** Options that follow the configuration in force. */
function policyOptions(holder: ConfigHolder): PolicyOptions {
  const policy = (): Pick<PolicyConfig, 'stallWeight' | 'maxLoadWaitMs'> =>
    holder.current()?.config.policy ?? DEFAULT_POLICY;
  return {
    get stallWeight() {
      return policy().stallWeight;
    },
    get maxLoadWaitMs() {
      return policy().maxLoadWaitMs;
    },
    modelOf: (key) => modelOf(holder, key),
  };
}

function policyService(): Service<PlacementPolicy> {
  return {
    name: Part.Policy,
    needs: [Part.Config],
    start: (kernel) => createPolicy(policyOptions(kernel.get<ConfigHolder>(Part.Config))),
  };
}

function siteService(): Service<SiteState> {
  return {
    name: Part.Site,
    needs: [Part.Bus, Part.Config, Part.Membership],
    start: (kernel) =>
      createSiteState({
        bus: kernel.get<PeerBus>(Part.Bus),
        config: kernel.get<ConfigHolder>(Part.Config),
        membership: kernel.get<Membership>(Part.Membership),
      }),
  };
}

function permitsService({ timers, log }: PartOptions): Service {
  return runningService(
    Part.Permits,
    [Part.Bus, Part.Config, Part.Ownership, Part.Policy, Part.Site],
    (kernel) =>
      createPermitOwners({
        bus: kernel.get<PeerBus>(Part.Bus),
        timers,
        log: log.part('permits'),
        config: kernel.get<ConfigHolder>(Part.Config),
        ownership: kernel.get<Ownership>(Part.Ownership),
        policy: kernel.get<PlacementPolicy>(Part.Policy),
        site: kernel.get<SiteState>(Part.Site),
      }),
  );
}

function enginesService(options: PartOptions): Service {
  const { settings, timers, log } = options;
  const needs = [Part.Bus, Part.Metrics, Part.Audit, Part.Config, Part.Membership, Part.Ownership];
  return runningService(
    Part.Engines,
    [...needs, Part.Policy, Part.Permits, Part.Site, Part.Clients],
    (kernel) =>
      createEngineOwners({
        bus: kernel.get<PeerBus>(Part.Bus),
        timers,
        log: log.part('engines'),
        metrics: kernel.get<Metrics>(Part.Metrics),
        audit: kernel.get<AuditTrail>(Part.Audit),
        config: kernel.get<ConfigHolder>(Part.Config),
        membership: kernel.get<Membership>(Part.Membership),
        ownership: kernel.get<Ownership>(Part.Ownership),
        policy: kernel.get<PlacementPolicy>(Part.Policy),
        permits: kernel.get<PermitOwners>(Part.Permits).desk,
        site: kernel.get<SiteState>(Part.Site),
        clients: kernel.get<EngineClients>(Part.Clients).of,
        times: {
          reportMs: settings.reportPollMs,
          reportLagMs: settings.reportLagMs,
          clockDrift: settings.clockDriftShare,
          loadTimeoutMs: settings.orderTimeoutMs,
        },
      }),
  );
}

function dispatcherService({ timers, log, settings }: PartOptions): Service {
  const needs = [
    Part.Bus,
    Part.Metrics,
    Part.Config,
    Part.Membership,
    Part.Ownership,
    Part.Policy,
    Part.Site,
  ];
  return runningService(Part.Dispatcher, [...needs, Part.Engines], (kernel) =>
    createDispatcher({
      bus: kernel.get<PeerBus>(Part.Bus),
      timers,
      log: log.part('dispatch'),
      metrics: kernel.get<Metrics>(Part.Metrics),
      config: kernel.get<ConfigHolder>(Part.Config),
      membership: kernel.get<Membership>(Part.Membership),
      ownership: kernel.get<Ownership>(Part.Ownership),
      policy: kernel.get<PlacementPolicy>(Part.Policy),
      site: kernel.get<SiteState>(Part.Site),
      times: { clockDrift: settings.clockDriftShare, renewMs: settings.heartbeatMs },
    }),
  );
}

/**
 * Makes the services.
 * @param options - The daemon's options.
 * @returns The services, in no particular order.
 */
export function loadingServices(options: PartOptions): Service[] {
  return [
    policyService(),
    siteService(),
    permitsService(options),
    enginesService(options),
    dispatcherService(options),
  ];
}
