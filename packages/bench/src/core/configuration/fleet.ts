/** Daemons that only follow the configuration, over real sockets, before a stand-in service. */
import type { ConfigHolder, PackedSite } from '@celeryyoke/configuration';
import { createConfigHolder } from '@celeryyoke/configuration';
import type { Metrics, TimerService } from '@celeryyoke/core';
import { createAuditTrail, createMetrics, createSilentLog } from '@celeryyoke/core';
import type { ConfigDistribution, ManagedPeerBus, Membership, PeerAddress } from '@celeryyoke/fleet';
import { createConfigDistribution, createPeerBus, PROTOCOL_VERSION } from '@celeryyoke/fleet';
import type { ConfigSource, HostEntry } from '@celeryyoke/platform';
import { createHttpConfigSource, HostRole, HostState } from '@celeryyoke/platform';

import type { StandInConfigService } from '../standins/index.js';
import { createStandInConfigService, DownMode } from '../standins/index.js';
import { SITE } from './site.js';

const LOOPBACK = '127.0.0.1';

const KEY = 'key of the bench';

interface Daemon {
  readonly name: string;
  readonly bus: ManagedPeerBus;
  readonly holder: ConfigHolder;
  readonly source: ConfigSource;
  readonly metrics: Metrics;
  readonly distribution: ConfigDistribution;
}

function entryOf(name: string): HostEntry {
  return { name, role: HostRole.Entry, state: HostState.Live, domain: 'domain', address: `${LOOPBACK}:0` };
}

function membershipOf(names: readonly string[]): Membership {
  const hosts = names.map(entryOf);
  return {
    hosts: (role) => (role === HostRole.Entry ? hosts : []),
    findHost: (name) => hosts.find((host) => host.name === name),
    isLive: (name) => names.includes(name),
    isReachable: () => true,
    incarnationOf: () => 1,
    ageMs: () => 0,
    needsConfirmation: () => false,
    subscribe: () => () => undefined,
  };
}

function makeDaemon(name: string, names: readonly string[], address: string, timers: TimerService): Daemon {
  const metrics = createMetrics();
  const log = createSilentLog();
  const audit = createAuditTrail({ daemon: name, timers });
  const self = { name, incarnation: 1, domain: 'domain', protocol: PROTOCOL_VERSION };
  const bus = createPeerBus({
    self,
    host: LOOPBACK,
    port: 0,
    keys: () => [KEY],
    timers,
    log,
    audit,
    metrics,
  });
  const holder = createConfigHolder();
  const source = createHttpConfigSource({ address, reader: name, timers });
  const membership = membershipOf(names);
  const options = { site: SITE, holder, source, bus, membership, timers, audit, log, metrics };
  return { name, bus, holder, source, metrics, distribution: createConfigDistribution(options) };
}

/** A fleet that follows the configuration. */
export interface ConfigBenchFleet {
  readonly service: StandInConfigService;
  /** Publishes a set, the root last. */
  publish(packed: PackedSite): void;
  /** Lets only the first daemon reach the service. */
  cutServiceForAllButOne(): void;
  /** Settles when a revision is in force at every daemon. */
  inForce(revision: number): Promise<void>;
  /** Bytes that all daemons have sent to peers. */
  sentBytes(): number;
  stop(): Promise<void>;
}

function waitFor({ holder }: Daemon, revision: number): Promise<void> {
  if ((holder.current()?.revision ?? 0) >= revision) return Promise.resolve();
  return new Promise((resolve) => {
    const unsubscribe = holder.subscribe((next) => {
      if (next.revision < revision) return;
      unsubscribe();
      resolve();
    });
  });
}

function readCounter(metrics: Metrics, name: string): number {
  const line = metrics
    .render()
    .split('\n')
    .find((one) => one.startsWith(name));
  return Number(line?.split(' ').at(-1) ?? 0);
}

/**
 * Starts a fleet.
 * @param count - Daemons.
 * @param timers - Time.
 * @returns The fleet, whose links are being made.
 */
export async function startConfigFleet(count: number, timers: TimerService): Promise<ConfigBenchFleet> {
  const service = await createStandInConfigService({ timers, quiet: true });
  const names = Array.from({ length: count }, (_, index) => `entry-${index}`);
  const daemons = names.map((name) => makeDaemon(name, names, service.address, timers));
  const listed: PeerAddress[] = [];
  for (const { name, bus } of daemons) listed.push({ name, address: `${LOOPBACK}:${await bus.start()}` });
  for (const { name, bus } of daemons) {
    const others = listed.filter((one) => one.name !== name);
    bus.updatePeers({ listed: others, linked: new Set(others.map((one) => one.name)) });
  }
  await Promise.all(daemons.map(({ distribution }) => distribution.start()));
  return {
    service,
    publish(packed) {
      for (const [key, value] of packed.values) service.set(key, value, packed.revision);
    },
    cutServiceForAllButOne() {
      for (const name of names.slice(1)) service.faults.downFor.set(name, DownMode.Unavailable);
    },
    async inForce(revision) {
      await Promise.all(daemons.map((daemon) => waitFor(daemon, revision)));
    },
    sentBytes: () =>
      daemons.reduce((sum, { metrics }) => sum + readCounter(metrics, 'celeryyoke_peer_sent_bytes_total'), 0),
    async stop() {
      await Promise.all(daemons.map(({ distribution }) => distribution.stop()));
      await Promise.all(daemons.map(({ bus }) => bus.stop()));
      await Promise.all(daemons.map(({ source }) => source.close()));
      await service.close();
    },
  };
}
