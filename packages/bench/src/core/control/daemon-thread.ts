/** The thread of the measured daemon: one real daemon, and a probe of what the thread costs. */
import { parentPort, workerData } from 'node:worker_threads';

import type { ConfigHolder } from '@celeryyoke/configuration';
import type { Log, Metrics } from '@celeryyoke/core';
import { createSettings, createSystemTimers, toCeleryyokeError } from '@celeryyoke/core';
import type { Daemon } from '@celeryyoke/daemon';
import { createDaemon, Part } from '@celeryyoke/daemon';
import type { ManagedMembership, Ownership } from '@celeryyoke/fleet';

import type { EntryWork } from './entry-work.js';
import { startEntryWork } from './entry-work.js';
import type { DaemonAnswer, DaemonDescription, DaemonThreadData, EngineOwnerName } from './messages.js';
import { DaemonOrder } from './messages.js';
import { createProbe } from './probe.js';
import { ControlRole } from './types.js';

const CONFIG_POLL_MS = 20;
const START_TIMEOUT_MS = 30_000;
const SENT_FRAMES = /^celeryyoke_peer_sent_frames_total\S* (\d+)$/m;

const data = workerData as DaemonThreadData;
const timers = createSystemTimers();
const complaints: string[] = [];

function createComplaintLog(label: string): Log {
  return {
    error: (text) => {
      complaints.push(`error [${label}] ${text}`);
    },
    warn: (text) => {
      complaints.push(`warn [${label}] ${text}`);
    },
    info: () => undefined,
    debug: () => undefined,
    part: createComplaintLog,
  };
}

const settings = createSettings(
  [
    ...['--host-name', data.name],
    ...['--failure-domain', data.domain],
    ...['--site-name', data.site],
    ...['--caller-port', '0'],
    ...['--admin-port', '0'],
    ...['--peer-port', '0'],
    // A short wait of new owners, so that owners do their work while they are measured.
    ...['--lease', '2500ms'],
    ...['--host-list-lag', '500ms'],
    ...['--config-address', data.configAddress],
    ...['--host-list-address', data.hostListAddress],
  ],
  {},
);

const daemon: Daemon = createDaemon({
  settings,
  peerKeys: () => [data.peerKey],
  timers,
  log: createComplaintLog('daemon'),
  incarnation: Date.now(),
});

let isStarted = false;
let work: EntryWork | undefined;

function countSentFrames(): number {
  if (!isStarted) return 0;
  return Number(SENT_FRAMES.exec(daemon.part<Metrics>(Part.Metrics).render())?.[1] ?? 0);
}

const probe = createProbe(countSentFrames);

async function start(): Promise<number> {
  const { peer } = await daemon.start();
  isStarted = true;
  const holder = daemon.part<ConfigHolder>(Part.Config);
  const giveUpAt = timers.now() + START_TIMEOUT_MS;
  while (holder.current() === undefined) {
    if (timers.now() > giveUpAt) throw new Error(`No configuration came in force. ${complaints.join(' ')}`);
    await timers.sleep(CONFIG_POLL_MS);
  }
  return peer;
}

function owners(): EngineOwnerName[] {
  const ownership = daemon.part<Ownership>(Part.Ownership);
  const { engines } = daemon.part<ConfigHolder>(Part.Config).require().config;
  return engines.map(({ name }) => ({ engine: name, owner: ownership.ownerOf(`engine/${name}`) ?? '' }));
}

function describe(): DaemonDescription {
  return {
    owners: owners(),
    linksOut: daemon.part<ManagedMembership>(Part.Membership).viewAgreement().known - 1,
    complaints: complaints.splice(0),
    workDone: work?.done ?? 0,
    workFailed: work?.failed ?? 0,
  };
}

const HANDLERS: Readonly<Record<DaemonOrder, () => Promise<DaemonAnswer> | DaemonAnswer>> = {
  [DaemonOrder.Start]: async () => ({ peerPort: await start() }),
  [DaemonOrder.Work]: () => {
    if (data.point.role === ControlRole.Entry) work = startEntryWork({ ...data, daemon, timers });
    return {};
  },
  [DaemonOrder.BeginWindow]: () => {
    probe.begin();
    return {};
  },
  [DaemonOrder.EndWindow]: () => ({ cost: probe.end() }),
  [DaemonOrder.Describe]: () => ({ description: describe() }),
  [DaemonOrder.Stop]: async () => {
    work?.stop();
    await daemon.force('the measurement is over');
    return {};
  },
};

parentPort!.on('message', (order: DaemonOrder) => {
  void (async () => {
    try {
      parentPort!.postMessage(await HANDLERS[order]());
    } catch (err) {
      parentPort!.postMessage({ error: toCeleryyokeError(err).message } satisfies DaemonAnswer);
    }
  })();
});
