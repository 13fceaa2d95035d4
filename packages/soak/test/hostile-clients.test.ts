/**
 * Clients that don't keep to the limits, one kind at a time, at one daemon that runs as a process of its own with the flags of
 * the deploy file: it goes on, stays within the memory of its machine and its descriptors, and serves others afterwards.
 *
 * With another build: `CELERYYOKE_PROGRAM=FILE npx ava packages/soak/dist/test/hostile-clients.test.js`.
 */
import { execFile } from 'node:child_process';
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

import type { ReplicaStandIn } from '@celeryyoke/adapter/testing';
import {
  beginStream,
  putConfiguration,
  putReplica,
  respondComplete,
  startReplicaStandIn,
  StoreStandIn,
  writeForever,
} from '@celeryyoke/adapter/testing';
import type { SocketAddress } from '@celeryyoke/core';
import { createSystemTimers, parseSocketAddress } from '@celeryyoke/core';
import type { RawRequest } from '@celeryyoke/routing/testing';
import { sendRaw } from '@celeryyoke/routing/testing';
import type { ExecutionContext } from 'ava';
import test from 'ava';

import type { RunningProcess } from '../src/core/processes/index.js';
import { ProcessGroup } from '../src/core/processes/index.js';
import { claimNetworks, daemonAddress, settingsOf } from '../src/core/site/index.js';
import type { HostileKind } from './hostile-crowd.js';
import {
  HOSTILE_KINDS,
  IDLE_CONNECTIONS,
  LARGE_PATH,
  MAX_BODY_BYTES,
  ORDINARY,
  OTHER_LISTENER_KINDS,
  startCrowd,
} from './hostile-crowd.js';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
/** Memory of a machine, in KiB. */
const MAX_RESIDENT_KIB = 350 * 1024;
/** Descriptors beyond those of a daemon without callers and one for each connection of the crowd. */
const SPARE_DESCRIPTORS = 200;
const PLAY_MS = 3500;
const SAMPLE_MS = 100;
/** First port of the range that the settings offer. */
const METRICS_PORT = 7380;
/** Time that an ordinary request has, once the crowd is gone, in milliseconds. */
const ANSWER_TIMEOUT_MS = 10_000;
const READY_TIMEOUT_MS = 10_000;
const LARGE_BODY = 'z'.repeat(200_000);
const EVENT = 'data: token token token token\n\n'.repeat(100);
const EVENT_CHUNK = Buffer.from(`${EVENT.length.toString(16)}\r\n${EVENT}\r\n`);
const ORDINARY_REQUEST =
  'GET /safe/1 HTTP/1.1\r\nHost: app.example\r\nCeleryyoke-Request-Id: ordinary\r\n' +
  `Celeryyoke-Deadline-Remaining: ${ANSWER_TIMEOUT_MS}\r\nConnection: close\r\n\r\n`;
const PROBE = 'GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n';

const timers = createSystemTimers();
const built = (async () => {
  if (process.env.CELERYYOKE_PROGRAM !== undefined) return process.env.CELERYYOKE_PROGRAM;
  const program = join(mkdtempSync(join(tmpdir(), 'celeryyoke-hostile-')), 'celeryyoke.mjs');
  await promisify(execFile)(process.execPath, [join(ROOT, 'platform/build.mjs'), program]);
  return program;
})();

/** Flags of Node.js with which the deploy file runs the daemon. */
function deployFlags(): string[] {
  const [, run = ''] =
    /^run = "node (.*) \S+"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')) ?? [];
  return run.split(' ');
}

const countDescriptors = (pid: number): number => readdirSync(`/proc/${pid}/fd`).length;

/** Largest memory that a process has had resident, in KiB; 0 while the process is ending and has none left. */
const peakResidentKib = (pid: number): number =>
  Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0);

function respond(req: RawRequest): void {
  if (req.head.startsWith(`GET ${LARGE_PATH} `)) respondComplete(req, undefined, LARGE_BODY);
  else respondComplete(req);
}

function streamForever(req: RawRequest): void {
  beginStream(req);
  writeForever(req, EVENT_CHUNK);
}

/** Listeners of a daemon to which clients connect. */
enum Listener {
  Callers = 'callers',
  Readiness = 'readiness',
  Metrics = 'metrics',
}

/** A daemon as a process of its own, with a store and a replica of each service. */
interface Site {
  readonly daemon: RunningProcess;
  readonly listeners: Readonly<Record<Listener, SocketAddress>>;
}

async function waitUntilReady(readiness: string): Promise<void> {
  const { host, port } = parseSocketAddress(readiness)!;
  const end = timers.now() + READY_TIMEOUT_MS;
  while (timers.now() < end) {
    const { text } = await sendRaw(port, [PROBE], undefined, { host });
    if (text.startsWith('HTTP/1.1 200')) return;
    await timers.sleep(SAMPLE_MS);
  }
  throw new Error('The daemon is not ready in time.');
}

async function withSite(run: (site: Site) => Promise<void>, settings = ''): Promise<void> {
  const program = await built;
  await claimNetworks();
  const dir = mkdtempSync(join(tmpdir(), 'celeryyoke-hostile-'));
  const address = daemonAddress(0);
  const processes = new ProcessGroup();
  const store = new StoreStandIn();
  await store.start();
  putConfiguration(store, 1, ANSWER_TIMEOUT_MS, undefined, MAX_BODY_BYTES);
  const replicas: ReplicaStandIn[] = [];
  for (const [service, handler] of [
    ['web', respond],
    ['llm', streamForever],
  ] as const) {
    const replica = await startReplicaStandIn(`i-${service}-0`, handler);
    replicas.push(replica);
    putReplica(store, replica, service);
  }
  const settingsFile = join(dir, 'node.conf');
  writeFileSync(settingsFile, `${settingsOf(address, store.port, true)}${settings}`);
  try {
    const daemon = processes.start({
      name: address.name,
      args: [...deployFlags(), program],
      env: { CELERYYOKE_NODE_FILE: settingsFile },
      logFile: join(dir, 'daemon.log'),
    });
    await waitUntilReady(address.readiness);
    await run({
      daemon,
      listeners: {
        [Listener.Callers]: parseSocketAddress(address.callers)!,
        [Listener.Readiness]: parseSocketAddress(address.readiness)!,
        [Listener.Metrics]: { host: address.host, port: METRICS_PORT },
      },
    });
  } finally {
    await processes.stop();
    await Promise.all(replicas.map((replica) => replica.close()));
    await store.close();
  }
}

const hasEnded = ({ child }: RunningProcess): boolean => child.exitCode !== null || child.signalCode !== null;

/** Lets a crowd play beside ordinary callers; returns the most descriptors and memory that the daemon has had. */
async function playCrowd({ daemon, listeners }: Site, at: Listener, kind: HostileKind) {
  const pid = daemon.child.pid!;
  const most = { descriptors: 0, residentKib: 0 };
  const sample = (): void => {
    if (hasEnded(daemon)) return;
    most.descriptors = Math.max(most.descriptors, countDescriptors(pid));
    most.residentKib = Math.max(most.residentKib, peakResidentKib(pid));
  };
  const end = timers.now() + PLAY_MS;
  const stops = [startCrowd(listeners[at], kind), startCrowd(listeners[Listener.Callers], ORDINARY)];
  while (timers.now() < end) {
    await timers.sleep(SAMPLE_MS);
    sample();
  }
  for (const stop of stops) stop();
  return { most, sample };
}

/** Plays one kind of client at a listener, and checks what must hold. */
function survives(t: ExecutionContext, at: Listener, kind: HostileKind): Promise<void> {
  t.timeout(60_000);
  return withSite(async (site) => {
    const { daemon, listeners } = site;
    const before = countDescriptors(daemon.child.pid!);
    const { most, sample } = await playCrowd(site, at, kind);
    const askedAt = timers.now();
    const { host, port } = listeners[Listener.Callers];
    const { text } = await sendRaw(port, [ORDINARY_REQUEST], ANSWER_TIMEOUT_MS, { host });
    sample();
    const [status = ''] = text.split('\r\n');
    t.log(
      `${Math.round(most.residentKib / 1024)} MiB resident, ${most.descriptors} descriptors (${before} before); ` +
        `${status || 'no answer'} after ${Math.round(timers.now() - askedAt)} ms`,
    );
    t.false(hasEnded(daemon), `the process has ended: ${daemon.child.signalCode ?? daemon.child.exitCode}`);
    const connections = kind.connections + ORDINARY.connections;
    t.true(most.residentKib < MAX_RESIDENT_KIB, `${most.residentKib} KiB are resident`);
    t.true(
      most.descriptors < before + connections + SPARE_DESCRIPTORS,
      `${most.descriptors} descriptors are open`,
    );
    t.true(text.startsWith('HTTP/1.1 200'), status);
  });
}

for (const [name, kind] of Object.entries(HOSTILE_KINDS))
  // Guards against clients outside the limits that end a daemon, take its memory or keep it from answering others.
  test.serial(`a daemon survives hostile clients and serves others: ${name}`, (t) =>
    survives(t, Listener.Callers, kind),
  );

for (const at of [Listener.Readiness, Listener.Metrics])
  for (const [name, kind] of Object.entries(OTHER_LISTENER_KINDS))
    // Guards against the same at a listener that few use, whose clients take the time of the callers.
    test.serial(`a daemon survives hostile clients at its ${at} listener and serves callers: ${name}`, (t) =>
      survives(t, at, kind),
    );

const MAX_DESCRIPTORS = 500;

for (const at of Object.values(Listener))
  // Guards against idle connections that take the descriptors that requests need.
  test.serial(`idle connections leave descriptors for requests and others are served: ${at}`, (t) =>
    withSite(async (site) => {
      const { most } = await playCrowd(site, at, IDLE_CONNECTIONS);
      const { host, port } = site.listeners[Listener.Callers];
      const { text } = await sendRaw(port, [ORDINARY_REQUEST], ANSWER_TIMEOUT_MS, { host });
      t.log(`${most.descriptors} descriptors`);
      t.false(hasEnded(site.daemon));
      t.true(most.descriptors < MAX_DESCRIPTORS, `${most.descriptors} descriptors are open`);
      t.true(text.startsWith('HTTP/1.1 200'));
    }, `limits.max_fds=${MAX_DESCRIPTORS}\n`),
  );
