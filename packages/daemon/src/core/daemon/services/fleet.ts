/** Services that make daemons act as one: peers, membership, ownership, and the configuration's distribution. */
import type { ConfigHolder, SiteConfig } from '@celeryyoke/configuration';
import { Fencing } from '@celeryyoke/configuration';
import type { AuditTrail, Metrics, Service } from '@celeryyoke/core';
import type { ManagedMembership, ManagedOwnership, ManagedPeerBus, OwnedResource } from '@celeryyoke/fleet';
import {
  Arbitration,
  PROTOCOL_VERSION,
  createConfigDistribution,
  createMembership,
  createOwnership,
  createPeerBus,
  engineResource,
  storeResource,
} from '@celeryyoke/fleet';
import { createHttpConfigSource, createHttpHostList } from '@celeryyoke/platform';

import { Part } from '../names.js';
import type { PartOptions } from '../types.js';
import { runningService } from './running.js';

function busService(options: PartOptions): Service<ManagedPeerBus> {
  const { settings, timers, log, incarnation, peerKeys, linkPolicy } = options;
  const self = {
    name: settings.hostName,
    incarnation,
    domain: settings.failureDomain,
    protocol: PROTOCOL_VERSION,
  };
  return {
    name: Part.Bus,
    needs: [Part.Audit, Part.Metrics],
    start: (kernel) =>
      createPeerBus({
        self,
        host: settings.peerAddress,
        port: settings.peerPort,
        keys: peerKeys,
        timers,
        log: log.part('peers'),
        audit: kernel.get<AuditTrail>(Part.Audit),
        metrics: kernel.get<Metrics>(Part.Metrics),
        settings: { heartbeatMs: settings.heartbeatMs },
        linkPolicy,
      }),
  };
}

function membershipService({ settings, timers, log }: PartOptions): Service<ManagedMembership> {
  return runningService(Part.Membership, [Part.Bus, Part.Audit], (kernel) =>
    createMembership({
      source: createHttpHostList({ address: settings.hostListAddress, reader: settings.hostName, timers }),
      bus: kernel.get<ManagedPeerBus>(Part.Bus),
      timers,
      log: log.part('membership'),
      audit: kernel.get<AuditTrail>(Part.Audit),
      settings: {
        pollMs: settings.hostListPollMs,
        readTimeoutMs: settings.platformTimeoutMs,
        peerTimeoutMs: settings.peerTimeoutMs,
        driftShare: settings.clockDriftShare,
        maxPeers: settings.maxPeers,
      },
    }),
  );
}

/** Everything that has an owner in a configuration: engines and weight stores. */
function listResources({ engines, stores }: SiteConfig): readonly OwnedResource[] {
  const ofEngines = engines.map(({ name, fencing }) => ({
    name: engineResource(name),
    arbitration: fencing === Fencing.Honoured ? Arbitration.Fenced : Arbitration.Unfenced,
  }));
  const ofStores = stores.map(({ name }) => ({
    name: storeResource(name),
    arbitration: Arbitration.Exclusive,
  }));
  return [...ofEngines, ...ofStores];
}

/** Lists the resources of the configuration in force; the same list until the configuration changes. */
function createResourceList(holder: ConfigHolder): () => readonly OwnedResource[] {
  let listed: SiteConfig | undefined;
  let resources: readonly OwnedResource[] = [];
  return () => {
    const config = holder.current()?.config;
    if (config === listed) return resources;
    listed = config;
    resources = config === undefined ? [] : listResources(config);
    return resources;
  };
}

function ownershipService({ settings, timers, log }: PartOptions): Service<ManagedOwnership> {
  return runningService(Part.Ownership, [Part.Bus, Part.Membership, Part.Config, Part.Audit], (kernel) => {
    const holder = kernel.get<ConfigHolder>(Part.Config);
    return createOwnership({
      bus: kernel.get<ManagedPeerBus>(Part.Bus),
      membership: kernel.get<ManagedMembership>(Part.Membership),
      timers,
      log: log.part('ownership'),
      audit: kernel.get<AuditTrail>(Part.Audit),
      resources: createResourceList(holder),
      times: {
        leaseMs: settings.leaseMs,
        hostListLagMs: settings.hostListLagMs,
        reportPollMs: settings.reportPollMs,
        reportLagMs: settings.reportLagMs,
        driftShare: settings.clockDriftShare,
        peerTimeoutMs: settings.peerTimeoutMs,
      },
    });
  });
}

function distributionService({ settings, timers, log }: PartOptions): Service {
  return runningService(
    Part.Distribution,
    [Part.Bus, Part.Membership, Part.Config, Part.Audit, Part.Metrics],
    (kernel) =>
      createConfigDistribution({
        site: settings.siteName,
        source: createHttpConfigSource({
          address: settings.configAddress,
          reader: settings.hostName,
          timers,
        }),
        holder: kernel.get<ConfigHolder>(Part.Config),
        bus: kernel.get<ManagedPeerBus>(Part.Bus),
        membership: kernel.get<ManagedMembership>(Part.Membership),
        timers,
        log: log.part('config'),
        metrics: kernel.get<Metrics>(Part.Metrics),
        audit: kernel.get<AuditTrail>(Part.Audit),
        settings: { watchMs: settings.configWatchMs },
      }),
  );
}

/** Listens for peers once every part has registered what it serves. */
function peerListenerService(): Service<number> {
  let bus: ManagedPeerBus | undefined;
  return {
    name: Part.Peers,
    needs: [Part.Bus, Part.Keys, Part.Limits, Part.Suspects, Part.Engines, Part.Dispatcher, Part.Status],
    start(kernel) {
      bus = kernel.get<ManagedPeerBus>(Part.Bus);
      return bus.start();
    },
    stop: () => bus?.stop(),
  };
}

/**
 * Makes the services.
 * @param options - The daemon's options.
 * @returns The services, in no particular order.
 */
export function fleetServices(options: PartOptions): Service[] {
  return [
    busService(options),
    membershipService(options),
    ownershipService(options),
    distributionService(options),
    peerListenerService(),
  ];
}
