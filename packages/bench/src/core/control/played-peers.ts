/** Played daemons: real ends of the peer protocol, with answers in place of the parts behind them. */
import type { AuditTrail, Log, Metrics, TimerService } from '@celeryyoke/core';
import type { ManagedPeerBus, PeerProcedure } from '@celeryyoke/fleet';
import { chooseNeighbours, createPeerBus, PROTOCOL_VERSION } from '@celeryyoke/fleet';

import type { PlayedConfig } from './played-config.js';
import type { Owners } from './played-sections.js';
import { homesOf, playedSections } from './played-sections.js';
import type { PlayedHost } from './site.js';
import { domainOf, MEASURED, peerName } from './site.js';

const LOOPBACK = '127.0.0.1';
const LEASE_MS = 3000;
const VIEW_AGE_MS = 100;

/** Options of played daemons. */
export interface PlayedPeersOptions {
  readonly count: number;
  readonly key: string;
  /** Most links of a daemon, as its settings say. */
  readonly maxPeers: number;
  readonly config: PlayedConfig;
  readonly owners: () => Owners;
  /** Version of the host list. */
  readonly listVersion: () => number;
  readonly timers: TimerService;
  readonly log: Log;
  readonly audit: AuditTrail;
  readonly metrics: Metrics;
}

/** Played daemons. */
export interface PlayedPeers {
  readonly hosts: readonly PlayedHost[];
  readonly buses: readonly ManagedPeerBus[];
  /** Calls that the measured daemon made, by procedure. */
  readonly calls: ReadonlyMap<string, number>;
  /** Lets the measured daemon connect, before its port is known. */
  expect(measured: PlayedHost): void;
  /**
   * Lets those that would keep a link to the measured daemon connect.
   * @returns How many they are.
   */
  connect(measured: PlayedHost): number;
  stop(): Promise<void>;
}

/** What a played daemon answers to a procedure. */
type Answer = (input: never, options: PlayedPeersOptions, self: string) => unknown;

interface RenewalInput {
  readonly engines: readonly { readonly engine: string }[];
}

/** Answers by procedure; each is what a healthy daemon would say. */
const ANSWERS: Readonly<Record<string, Answer>> = {
  'membership.view': ({ digest }: { readonly digest: string }, { listVersion }) =>
    digest === '' ? {} : { ageMs: VIEW_AGE_MS, version: listVersion(), digest },
  'configuration.root': (_input, { config }) => ({ bytes: config.root() }),
  'configuration.part': ({ digest }: { readonly digest: string }, { config }) => ({
    bytes: config.part(digest),
  }),
  'lease.request': () => ({ outcome: 'granted', leaseMs: LEASE_MS, waitedMs: 0 }),
  'lease.cancel': () => null,
  'lease.renew': ({ engines }: RenewalInput) => ({
    engines: engines.map(({ engine }) => ({ engine, accepted: true, leaseMs: LEASE_MS, refused: [] })),
  }),
  'permit.request': (_input, { timers }, self) => ({
    accepted: true,
    proof: timers.now(),
    owner: `${self}#1`,
  }),
  'permit.done': () => null,
  'custody.claim': ({ buckets }: { readonly buckets: readonly number[] }) => ({
    promised: buckets.map((bucket) => ({ bucket, epoch: 0 })),
    held: [],
    knows: [],
  }),
  'custody.check': () => false,
  'custody.has': () => true,
  'custody.take': () => true,
  'custody.cede': () => true,
  'keys.write': () => true,
};

function procedureOf(name: string): PeerProcedure<never, unknown> {
  return { name, parse: (raw) => raw as never };
}

function serve(bus: ManagedPeerBus, options: PlayedPeersOptions, calls: Map<string, number>): void {
  for (const [name, answer] of Object.entries(ANSWERS)) {
    bus.handle(procedureOf(name), async (input) => {
      calls.set(name, (calls.get(name) ?? 0) + 1);
      return answer(input, options, bus.self.name);
    });
  }
}

/**
 * Starts played daemons; they listen, and dial nobody yet.
 * @param options - How many, and what they would know.
 * @returns The daemons.
 */
export async function startPlayedPeers(options: PlayedPeersOptions): Promise<PlayedPeers> {
  const { count, key, maxPeers, timers, log, audit, metrics } = options;
  const names = Array.from({ length: count }, (_, index) => peerName(index));
  const all = [...names, MEASURED];
  const homes = homesOf(all);
  const calls = new Map<string, number>();
  const buses = names.map((name, index) => {
    const self = { name, incarnation: 1, domain: domainOf(index), protocol: PROTOCOL_VERSION };
    const bus = createPeerBus({
      self,
      host: LOOPBACK,
      port: 0,
      keys: () => [key],
      timers,
      log,
      audit,
      metrics,
      settings: { heartbeatMs: 1000 },
    });
    serve(bus, options, calls);
    const own = { name, config: options.config, homes: homes.get(name)!, owners: options.owners };
    for (const section of playedSections(own)) bus.addHeartbeatSection(section);
    return bus;
  });
  const hosts: PlayedHost[] = [];
  for (const bus of buses) {
    const port = await bus.start();
    hosts.push({ name: bus.self.name, address: `${LOOPBACK}:${port}` });
  }
  return {
    hosts,
    buses,
    calls,
    expect(measured) {
      for (const bus of buses) bus.updatePeers({ listed: [measured], linked: new Set() });
    },
    connect(measured) {
      let linked = 0;
      for (const bus of buses) {
        const isLinked = chooseNeighbours(bus.self.name, all, maxPeers).has(MEASURED);
        if (isLinked) linked += 1;
        bus.updatePeers({ listed: [measured], linked: new Set(isLinked ? [MEASURED] : []) });
      }
      return linked;
    },
    async stop() {
      await Promise.all(buses.map((bus) => bus.stop()));
    },
  };
}
