/**
 * Replicas that are processes of their own and are stopped while daemons send: what was written to them arrives when they
 * go on, whatever became of the connections meanwhile.
 *
 * All plays, by hand: `CELERYYOKE_TABLE=whole npx ava --timeout=30m packages/soak/dist/test/stopped-replicas.test.js`;
 * with another build in `CELERYYOKE_PROGRAM`.
 */
import { execFile } from 'node:child_process';
import { mkdtempSync } from 'node:fs';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

import { putConfiguration, StoreStandIn } from '@celeryyoke/adapter/testing';
import { createSystemTimers } from '@celeryyoke/core';
import type { RetryWindow } from '@celeryyoke/routing/testing';
import { PathCut, RetryRecord } from '@celeryyoke/routing/testing';
import test from 'ava';

import { ProcessGroup } from '../src/core/processes/index.js';
import type { Arrival } from '../src/core/replicas/index.js';
import { Behaviour, FIRST_VERSION, ReplicaFleet } from '../src/core/replicas/index.js';
import { Daemons } from '../src/core/run/daemons.js';
import type { DaemonAddress } from '../src/core/site/index.js';
import { claimNetworks, HEARTBEAT_MS, listReplica } from '../src/core/site/index.js';

const BUILD = fileURLToPath(new URL('../../../../platform/build.mjs', import.meta.url));
const isWhole = process.env.CELERYYOKE_TABLE === 'whole';
const DAEMONS = 5;
const REQUESTS_PER_SECOND = 66;
const CALLER_TIMEOUT_MS = 6000;
const SLOTS = 6;
const BOUNDS = { ratio: 0.2, windowMs: 10_000, slack: 54 };
/** Time from the first daemon's start to the traffic, in milliseconds. */
const TRAFFIC_AFTER_MS = 13_000;
/** The same where daemons start one after the other, while callers send already. */
const TRAFFIC_AFTER_FIRST_MS = 2000;
/** Time from the start of the traffic to the first stop, in milliseconds. */
const STOPPED_AT_MS = 4000;
/** Time after the last stop for which requests are sent, in milliseconds: one window of the budget. */
const TRAFFIC_AFTER_STOPS_MS = 10_000;
/** Time after the traffic in which held requests still arrive, in milliseconds. */
const SETTLE_MS = 2000;
/** Time after the end of a stop that counts as its moment, in milliseconds. */
const MOMENT_MS = 300;

const timers = createSystemTimers();
const built = (async () => {
  if (process.env.CELERYYOKE_PROGRAM !== undefined) return process.env.CELERYYOKE_PROGRAM;
  const dir = mkdtempSync(join(tmpdir(), 'celeryyoke-stopped-'));
  const program = join(dir, 'celeryyoke.mjs');
  await promisify(execFile)(process.execPath, [BUILD, program]);
  return program;
})();

/** One stop of some replicas, by their numbers. */
interface Stop {
  readonly replicas: readonly number[];
  /** Milliseconds since the first possible stop. */
  readonly atMs: number;
  readonly forMs: number;
}

/** Daemons, by their numbers, to which something happens. */
interface DaemonFault {
  readonly daemons: readonly number[];
  /** Milliseconds since the first possible stop. */
  readonly atMs: number;
  readonly forMs: number;
}

interface Play {
  readonly replicas: number;
  /** Numbers of the replicas that refuse nine in ten requests. */
  readonly refusing: readonly number[];
  readonly stops: readonly Stop[];
  /** Time between the starts of two daemons, in milliseconds. */
  readonly startSpreadMs?: number;
  /** Daemons that are stopped and go on: their clocks stand still, and peers may have sent them requests to relay. */
  readonly stoppedDaemons?: readonly DaemonFault[];
  /** Daemons whose connections to all replicas hang. */
  readonly cuts?: readonly DaemonFault[];
  /** Daemons that are killed and start again. */
  readonly kills?: readonly DaemonFault[];
}

interface PlayResult {
  /** The window with the most retries. */
  readonly fullest: RetryWindow | undefined;
  readonly violations: number;
  /** Retries that arrived at the moment at which stopped replicas went on. */
  readonly atOnce: number;
  readonly requests: number;
  readonly served: number;
}

let lastRequest = 0;

/** Sends a request on a connection of its own, and leaves at the deadline; resolves to whether it was served. */
function sendRequest(callers: string, record: RetryRecord): Promise<boolean> {
  const [host, port] = callers.split(':') as [string, string];
  lastRequest += 1;
  const id = `s${lastRequest}`;
  record.recordRequest(timers.wall());
  return new Promise((resolve) => {
    let text = '';
    const socket = connect({ host, port: Number(port) });
    const timer = timers.after(CALLER_TIMEOUT_MS, () => socket.destroy());
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('close', () => {
      timer.cancel();
      resolve(text.startsWith('HTTP/1.1 200'));
    });
    socket.write(
      `GET /safe/1 HTTP/1.1\r\nHost: app.example\r\nCeleryyoke-Request-Id: ${id}\r\n` +
        `Celeryyoke-Deadline-Remaining: ${CALLER_TIMEOUT_MS}\r\nConnection: close\r\n\r\n`,
    );
  });
}

async function play({
  replicas: count,
  refusing,
  stops,
  startSpreadMs = 0,
  stoppedDaemons = [],
  cuts = [],
  kills = [],
}: Play): Promise<PlayResult> {
  const program = await built;
  await claimNetworks();
  const dir = mkdtempSync(join(tmpdir(), 'celeryyoke-stopped-play-'));
  const processes = new ProcessGroup();
  const store = new StoreStandIn();
  await store.start();
  putConfiguration(store, 1, CALLER_TIMEOUT_MS);
  const options = Array.from({ length: count }, (_, index) => ({
    id: `p-${index}`,
    isEngine: false,
    slots: SLOTS,
  }));
  const arrivals: Arrival[] = [];
  const replicas = new ReplicaFleet({
    processes,
    replicas: options,
    processCount: count,
    logFile: (name) => join(dir, `${name}.log`),
    onArrival: (arrival) => arrivals.push(arrival),
    onRestart: () => undefined,
    timers,
  });
  const daemons = new Daemons({
    processes,
    program,
    dir,
    storePort: store.port,
    count: DAEMONS,
    retryBounds: BOUNDS,
    timers,
  });
  const record = new RetryRecord();
  const callers: Promise<boolean>[] = [];
  const wokenAt: number[] = [];
  let written = 0;
  const writeEntries = (): void => {
    written += 1;
    for (const option of options)
      listReplica(store, option.id, option, replicas.ports.get(option.id)!, FIRST_VERSION, written);
  };
  try {
    await replicas.start();
    writeEntries();
    const heartbeats = timers.repeat(HEARTBEAT_MS, writeEntries);
    for (const [index, daemon] of daemons.addresses.entries())
      timers.after(index * startSpreadMs, () => daemons.start(daemon, true));
    await timers.sleep(startSpreadMs > 0 ? TRAFFIC_AFTER_FIRST_MS : TRAFFIC_AFTER_MS);
    replicas.behave(
      refusing.map((index) => options[index]!.id),
      Behaviour.Shed,
    );
    let lastEndMs = Math.max(
      0,
      ...[...stoppedDaemons, ...cuts, ...kills].map(({ atMs, forMs }) => STOPPED_AT_MS + atMs + forMs),
    );
    for (const { replicas: hit, atMs, forMs } of stops) {
      const chosen = hit.map((index) => replicas.processes[index]!);
      const fromMs = STOPPED_AT_MS + atMs;
      timers.after(fromMs, () => replicas.freeze(chosen, true));
      timers.after(fromMs + forMs, () => {
        wokenAt.push(timers.wall());
        replicas.freeze(chosen, false);
      });
      lastEndMs = Math.max(lastEndMs, fromMs + forMs);
    }
    const inject = (
      faults: readonly DaemonFault[],
      begin: (daemon: DaemonAddress) => void,
      end: (daemon: DaemonAddress) => void,
    ): void => {
      for (const { daemons: hit, atMs, forMs } of faults)
        for (const daemon of hit.map((index) => daemons.addresses[index]!)) {
          timers.after(STOPPED_AT_MS + atMs, () => begin(daemon));
          timers.after(STOPPED_AT_MS + atMs + forMs, () => end(daemon));
        }
    };
    const signal = (name: NodeJS.Signals) => (daemon: DaemonAddress) => {
      void daemons.signal(daemon, name);
    };
    inject(stoppedDaemons, signal('SIGSTOP'), signal('SIGCONT'));
    inject(kills, signal('SIGKILL'), (daemon) => daemons.start(daemon, false));
    inject(
      cuts,
      ({ host }) => replicas.cut([host], PathCut.Hang),
      ({ host }) => replicas.cut([host], undefined),
    );
    const total = Math.round(((lastEndMs + TRAFFIC_AFTER_STOPS_MS) * REQUESTS_PER_SECOND) / 1000);
    const startedAt = timers.now();
    for (let sent = 0; sent < total; sent += 1) {
      await timers.sleep(Math.max(0, startedAt + (sent * 1000) / REQUESTS_PER_SECOND - timers.now()));
      callers.push(sendRequest(daemons.addresses[sent % DAEMONS]!.callers, record));
    }
    const served = (await Promise.all(callers)).filter(Boolean).length;
    await timers.sleep(SETTLE_MS);
    heartbeats.cancel();
    for (const { request, at } of arrivals) record.recordArrival(request, at);
    const windows = record.windows(BOUNDS);
    const retryTimes = record.retryTimes();
    return {
      fullest: windows.reduce((most, window) => (window.retries > most.retries ? window : most), windows[0]!),
      violations: windows.filter(({ retries, allowed }) => retries > allowed).length,
      atOnce: retryTimes.filter((at) => wokenAt.some((woken) => at >= woken && at < woken + MOMENT_MS))
        .length,
      requests: total,
      served,
    };
  } finally {
    await processes.stop();
    await store.close();
  }
}

const STOP_MS = 15_000;
const PLAYS: Readonly<Record<string, Play & { readonly isShort?: boolean }>> = {
  'three of four stopped, all refuse while they run': {
    replicas: 4,
    refusing: [0, 1, 2, 3],
    stops: [{ replicas: [0, 1, 2], atMs: 0, forMs: STOP_MS }],
    isShort: true,
  },
  'three of four stopped, the other refuses': {
    replicas: 4,
    refusing: [3],
    stops: [{ replicas: [0, 1, 2], atMs: 0, forMs: STOP_MS }],
  },
  'two of four stopped, the others refuse': {
    replicas: 4,
    refusing: [2, 3],
    stops: [{ replicas: [0, 1], atMs: 0, forMs: STOP_MS }],
  },
  'four of four stopped one after the other': {
    replicas: 4,
    refusing: [],
    stops: [0, 1, 2, 3].map((index) => ({
      replicas: [index],
      atMs: index * 6000,
      forMs: 24_000 - index * 6000,
    })),
  },
  'four of eight stopped, the others refuse': {
    replicas: 8,
    refusing: [4, 5, 6, 7],
    stops: [{ replicas: [0, 1, 2, 3], atMs: 0, forMs: STOP_MS }],
  },
  'daemons start one after the other, all refuse, three of four stopped': {
    replicas: 4,
    refusing: [0, 1, 2, 3],
    stops: [{ replicas: [0, 1, 2], atMs: 4000, forMs: STOP_MS }],
    startSpreadMs: 2000,
  },
  'all refuse, daemons are killed and start again': {
    replicas: 4,
    refusing: [0, 1, 2, 3],
    stops: [{ replicas: [0, 1, 2], atMs: 0, forMs: STOP_MS }],
    kills: [
      { daemons: [1, 2], atMs: 3000, forMs: 1000 },
      { daemons: [3, 4], atMs: 9000, forMs: 1000 },
    ],
  },
  'all refuse, two daemons relay for a cut one and are stopped': {
    replicas: 4,
    refusing: [0, 1, 2, 3],
    stops: [],
    cuts: [{ daemons: [0, 1], atMs: 0, forMs: STOP_MS }],
    stoppedDaemons: [
      { daemons: [2], atMs: 2000, forMs: 3000 },
      { daemons: [3], atMs: 7000, forMs: 6000 },
    ],
  },
  'all refuse, four daemons stop and go on at one moment': {
    replicas: 4,
    refusing: [0, 1, 2, 3],
    stops: [],
    stoppedDaemons: [
      { daemons: [1, 2, 3, 4], atMs: 1000, forMs: 5000 },
      { daemons: [1, 2, 3, 4], atMs: 9000, forMs: 5000 },
    ],
  },
  'three of four stopped again and again, the other refuses': {
    replicas: 4,
    refusing: [3],
    stops: [0, 1, 2].map((index) => ({ replicas: [0, 1, 2], atMs: index * 5500, forMs: 5000 })),
  },
};

for (const [name, played] of Object.entries(PLAYS).filter(([, { isShort }]) => isWhole || isShort))
  // Guards against retries that arrive together, long after they were sent, when their replicas go on.
  test.serial(`retries stay within their budget while replicas are stopped and go on: ${name}`, async (t) => {
    t.timeout(180_000);
    const { fullest, violations, atOnce, requests, served } = await play(played);
    const { retries = 0, allowed = 0 } = fullest ?? {};
    t.log(
      `${retries} of ${Math.floor(allowed)} retries in the fullest window, ${atOnce} as replicas went on; ` +
        `${served} of ${requests} served`,
    );
    t.is(violations, 0, JSON.stringify(fullest));
  });
