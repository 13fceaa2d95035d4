/**
 * What the platform supplies to the daemons of a run: the configuration, the replicas, and the settings of a
 * process.
 */
import { createServer } from 'node:net';

import { MODEL_NAME, StoreStandIn } from '@celeryyoke/adapter/testing';
import type { RetryBounds } from '@celeryyoke/routing/testing';

import type { ReplicaOptions } from '../replicas/index.js';

const REPLICA_HOST = '127.0.0.1';
const CALLER_PORT = 8149;
const READINESS_PORT = 8141;
const PEER_PORT = 8144;
const ADDRESS_IN_USE = 'EADDRINUSE';
const FIRST_FREE_PORT = 7380;
const LAST_FREE_PORT = 7395;
const HOSTS_PER_ZONE = 200;
/** Loopback networks of runs, three each, so that several can be played on one machine. */
const FIRST_NETWORK = 10;
const RUNS = 70;
const NETWORKS_PER_RUN = 3;
/** Last part of the addresses at which runs claim their networks. */
const CLAIM_PLACE = '255.254';
const MS_PER_SECOND = 1000;
export const ZONES = ['a', 'b', 'c'] as const;
export const CALLER_HOST = 'app.example';
export const ENGINE_SERVICE = 'llm';
export const PLAIN_SERVICE = 'web';
export const ENGINE_SLOTS = 16;
export const PLAIN_SLOTS = 6;
/** Allowed retries of each service. */
export const REPEAT_BOUNDS: RetryBounds = { ratio: 0.2, windowMs: 10_000, slack: 196 };
/** Time from which on a daemon sends nothing to a replica that has told it that it leaves, in milliseconds. */
export const DRAIN_MS = 2000;
/** Interval at which replicas write their entries, in milliseconds. */
export const HEARTBEAT_MS = 1200;
/** How much of its history the store keeps, in milliseconds. */
const HISTORY_MS = 20_000;
/** Time for a graceful shutdown, in seconds. */
export const GRACE_S = 8;

/** A route of the configuration, and how callers use it. */
export interface SoakRoute {
  readonly name: string;
  readonly kind: 'streaming' | 'safe' | 'unsafe';
  readonly service: string;
  readonly timeoutMs: number;
  readonly objectiveMs: number;
  readonly maxAttempts: number;
  readonly isResumable: boolean;
  /** Share of all requests, against the other routes. */
  readonly weight: number;
}

/** The routes. */
export const ROUTES: readonly SoakRoute[] = [
  {
    name: 'live',
    kind: 'streaming',
    service: ENGINE_SERVICE,
    timeoutMs: 12_000,
    objectiveMs: 600,
    maxAttempts: 2,
    isResumable: true,
    weight: 6,
  },
  {
    name: 'batch',
    kind: 'streaming',
    service: ENGINE_SERVICE,
    timeoutMs: 20_000,
    objectiveMs: 1000,
    maxAttempts: 1,
    isResumable: false,
    weight: 1,
  },
  {
    name: 'short',
    kind: 'streaming',
    service: ENGINE_SERVICE,
    timeoutMs: 3000,
    objectiveMs: 1000,
    maxAttempts: 2,
    isResumable: true,
    weight: 3,
  },
  {
    name: 'notice',
    kind: 'unsafe',
    service: PLAIN_SERVICE,
    timeoutMs: 2500,
    objectiveMs: 200,
    maxAttempts: 1,
    isResumable: false,
    weight: 2,
  },
  {
    name: 'read',
    kind: 'safe',
    service: PLAIN_SERVICE,
    timeoutMs: 2500,
    objectiveMs: 200,
    maxAttempts: 2,
    isResumable: false,
    weight: 2,
  },
];

/** Addresses of one daemon. */
export interface DaemonAddress {
  readonly name: string;
  readonly zone: string;
  readonly host: string;
  readonly callers: string;
  readonly readiness: string;
  readonly peers: string;
}

let firstNetwork = FIRST_NETWORK;
let hasClaimed = false;

/** Claims loopback networks for the daemons of this process that no other run on the machine uses. */
export async function claimNetworks(): Promise<void> {
  if (hasClaimed) return;
  for (let run = 0; run < RUNS; run += 1) {
    const network = FIRST_NETWORK + ((process.pid + run) % RUNS) * NETWORKS_PER_RUN;
    if (await tryListen(`127.${network}.${CLAIM_PLACE}`)) {
      firstNetwork = network;
      hasClaimed = true;
      return;
    }
  }
  throw new Error(`All ${RUNS} networks for runs are in use.`);
}

/** Listens at an address until the process ends; resolves to false if another process does. */
function tryListen(host: string): Promise<boolean> {
  const server = createServer();
  server.unref();
  return new Promise((resolve, reject) => {
    server.once('error', (err: NodeJS.ErrnoException) => {
      if (err.code === ADDRESS_IN_USE) resolve(false);
      else reject(err);
    });
    server.listen(PEER_PORT, host, () => resolve(true));
  });
}

/**
 * Names a daemon; each has a loopback address of its own.
 * @param index - Its number.
 */
export function daemonAddress(index: number): DaemonAddress {
  const zoneIndex = index % ZONES.length;
  const place = Math.floor(index / ZONES.length);
  const host = `127.${firstNetwork + zoneIndex}.${Math.floor(place / HOSTS_PER_ZONE)}.${1 + (place % HOSTS_PER_ZONE)}`;
  return {
    name: `front-${ZONES[zoneIndex]}-${place}`,
    zone: ZONES[zoneIndex]!,
    host,
    callers: `${host}:${CALLER_PORT}`,
    readiness: `${host}:${READINESS_PORT}`,
    peers: `${host}:${PEER_PORT}`,
  };
}

/** Returns the name of the daemon whose peers reach it at an address, as {@link daemonAddress} makes both. */
export function daemonNameOf(peers: string): string | undefined {
  const [, network, place, host] = /^127\.(\d+)\.(\d+)\.(\d+):/.exec(peers)?.map(Number) ?? [];
  const zone = network === undefined ? undefined : ZONES[network - firstNetwork];
  return zone && `front-${zone}-${place! * HOSTS_PER_ZONE + host! - 1}`;
}

/**
 * Writes the settings file of a daemon.
 * @param daemon - The daemon.
 * @param storePort - Port of the store.
 * @param isFirstStart - Whether the whole fleet starts for the first time.
 * @param bounds - Allowed retries of each service.
 */
export function settingsOf(
  daemon: DaemonAddress,
  storePort: number,
  isFirstStart: boolean,
  { ratio, windowMs, slack }: RetryBounds = REPEAT_BOUNDS,
): string {
  const seeds = ZONES.map((_zone, index) => daemonAddress(index).peers);
  return [
    `node=${daemon.name}`,
    `ip=${daemon.host}`,
    `zone=${daemon.zone}`,
    `listen.front=${daemon.callers}`,
    `listen.ready=${daemon.readiness}`,
    `listen.control=${daemon.peers}`,
    `port_range=${FIRST_FREE_PORT},${LAST_FREE_PORT}`,
    `seeds=${seeds.join(',')}`,
    `bootstrap=${isFirstStart}`,
    `heartbeat_ms=${HEARTBEAT_MS}`,
    `bounds.grace_s=${GRACE_S}`,
    `bounds.drain_ms=${DRAIN_MS}`,
    'bounds.lease_ms=3000',
    'bounds.require_fence=true',
    `bounds.retry_budget_ratio=${ratio}`,
    `bounds.budget_window_s=${windowMs / MS_PER_SECOND}`,
    `bounds.budget_slack=${slack}`,
    `platform.address=${REPLICA_HOST}:${storePort}`,
    '',
  ].join('\n');
}

/** Starts the store with the configuration in it. */
export async function startStore(): Promise<StoreStandIn> {
  const store = new StoreStandIn();
  await store.start();
  putConfiguration(store, 1);
  return store;
}

/** Path of a route that a version of the configuration adds, and that earlier ones don't have. */
export function versionPrefix(version: number): string {
  return `/version-${version}/`;
}

/** Routes that show which configuration is in force: versions up to this one have added them, and none removes them. */
function versionRoutes(version: number): object[] {
  return Array.from({ length: version }, (_, index) => ({
    name: `version-${index + 1}`,
    host: CALLER_HOST,
    prefix: versionPrefix(index + 1),
    kind: 'safe',
    service: PLAIN_SERVICE,
    max_attempts: 1,
  }));
}

/** Puts a version of the configuration into the store; another one has another idle timeout of callers. */
export function putConfiguration(store: StoreStandIn, version: number): void {
  store.put('op/config', {
    version,
    routes: [...ROUTES.map(wireRoute), ...versionRoutes(version)],
    services: [
      { name: PLAIN_SERVICE, max_connections: 500 },
      {
        name: ENGINE_SERVICE,
        engine: {
          slots: ENGINE_SLOTS,
          weights_mb: 1000,
          adapter_slots: 100,
          loads_per_s: 27,
          models: [{ name: MODEL_NAME, weights_mb: 90, adapter_mb: 1 }],
        },
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 65_536,
      header_timeout_ms: 5000,
      idle_timeout_ms: 15_000 + version,
    },
  });
}

function wireRoute({ name, kind, service, timeoutMs, objectiveMs, maxAttempts, isResumable }: SoakRoute) {
  return {
    name,
    host: CALLER_HOST,
    prefix: `/${name}/`,
    kind,
    timeout_ms: timeoutMs,
    target_latency_ms: objectiveMs,
    priority: 1,
    service,
    max_attempts: maxAttempts,
    resumable: isResumable,
    ...(kind === 'streaming' ? { gap_aim_ms: 300 } : {}),
  };
}

/**
 * Lists a replica in the store.
 * @param incarnation - Name of its current incarnation.
 * @param softwareVersion - Version of its software.
 * @param writeCount - How often it has written its entry.
 */
export function listReplica(
  store: StoreStandIn,
  incarnation: string,
  { isEngine, slots }: ReplicaOptions,
  port: number,
  softwareVersion: string,
  writeCount: number,
): void {
  const models = isEngine ? { models: [{ name: MODEL_NAME, version: 1, adapters: [] }] } : {};
  store.put(`servers/${incarnation}`, {
    service: isEngine ? ENGINE_SERVICE : PLAIN_SERVICE,
    address: `${REPLICA_HOST}:${port}`,
    zone: ZONES[0],
    version: softwareVersion,
    slots,
    state: 'ready',
    sequence: writeCount,
    ...models,
  });
}

/** Has the store discard what is older than the history that it keeps. */
export function discardHistory(store: StoreStandIn, wall: number): void {
  Object.assign(store, { historyFrom: store.revisionAt(wall - HISTORY_MS) });
}
