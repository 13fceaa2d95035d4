/** The command `leases`: what a slot lease costs, from the owner here and from one across a link. */
import { splitAdapterKey } from '@celeryyoke/configuration';
import { createSystemTimers } from '@celeryyoke/core';
import type { Metrics, TimerService } from '@celeryyoke/core';
import type { Ownership, PeerBus, RunningDispatcher, SiteState } from '@celeryyoke/fleet';
import { engineResource, LEASE_REQUEST, LeaseOutcome } from '@celeryyoke/fleet';
import { build } from 'hdr-histogram-js';

import type { Fleet, FleetDaemon } from '../../core/fleet/index.js';
import { createFleet } from '../../core/fleet/index.js';
import { adapterName, MODEL_NAME } from '../../core/site/index.js';
import type { BenchCommand, BenchFlags } from '../types.js';

const NANOS_PER_MICRO = 1000;
const POLL_MS = 50;
const HIGHEST_NANOS = 10_000_000_000;
const SETTINGS = { hostListLagMs: 200, leaseMs: 1500 };
const CALL_TIMEOUT_MS = 5000;

/** One figure. */
interface LeaseFigure {
  readonly figure: string;
  readonly unit: string;
  readonly value: number;
}

const KEY = `${adapterName(1)}@1`;

async function until(timers: TimerService, isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await timers.sleep(POLL_MS);
}

async function holdAdapter(daemon: FleetDaemon, requestId: string): Promise<string> {
  const { adapter, version = '' } = splitAdapterKey(KEY);
  const resolved = { adapter, version, model: MODEL_NAME, key: KEY, sizeMb: 1 };
  const want = {
    requestId,
    adapter: resolved,
    priority: 0,
    deadlineAt: Infinity,
    excluded: new Set<string>(),
  };
  const dispatcher = daemon.daemon.part<RunningDispatcher>('dispatcher');
  const grant = await dispatcher.acquire(want, new AbortController().signal);
  grant.release(true);
  return grant.engine.name;
}

/** Times an action many times. */
async function time(
  name: string,
  samples: number,
  action: (index: number) => Promise<unknown>,
): Promise<LeaseFigure[]> {
  const histogram = build({ highestTrackableValue: HIGHEST_NANOS, numberOfSignificantValueDigits: 3 });
  for (let index = 0; index < samples; index += 1) {
    const startedAt = process.hrtime.bigint();
    await action(index);
    histogram.recordValue(Number(process.hrtime.bigint() - startedAt));
  }
  return [50, 95, 99].map((share) => ({
    figure: `${name}, p${share}`,
    unit: 'µs',
    value: Math.round(histogram.getValueAtPercentile(share) / NANOS_PER_MICRO),
  }));
}

function askOwner(from: FleetDaemon, owner: string, engine: string, way: string) {
  const bus = from.daemon.part<PeerBus>('bus');
  return async (index: number): Promise<void> => {
    const ask = Number.MAX_SAFE_INTEGER - 1;
    const input = {
      engine,
      key: KEY,
      requestId: `${way}-${index}`,
      ask,
      priority: 0,
      waitMs: 1000,
      deadlineMs: null,
    };
    const answer = await bus.call(owner, LEASE_REQUEST, input, { timeoutMs: CALL_TIMEOUT_MS });
    if (answer.outcome !== LeaseOutcome.Granted) throw new Error(`a lease was refused: ${answer.outcome}`);
  };
}

function counterOf(fleet: Fleet, name: string): number {
  const values = [...fleet.daemons.values()].map(({ daemon }) => {
    const line = daemon
      .part<Metrics>('metrics')
      .render()
      .split('\n')
      .find((text) => text.startsWith(`${name} `));
    return Number(line?.split(' ')[1] ?? 0);
  });
  return values.reduce((sum, value) => sum + value, 0);
}

/** Sends requests for leases at a steady rate, each used for a while, and counts the messages. */
async function countMessages(
  fleet: Fleet,
  timers: TimerService,
  rps: number,
  seconds: number,
): Promise<LeaseFigure[]> {
  const names = ['celeryyoke_leases_asked', 'celeryyoke_lease_renewals', 'celeryyoke_leases_reused'];
  const before = names.map((name) => counterOf(fleet, name));
  const daemons = [...fleet.daemons.values()];
  const open: Promise<unknown>[] = [];
  for (let index = 0; index < rps * seconds; index += 1) {
    open.push(holdAdapter(daemons[index % daemons.length]!, `count-${rps}-${index}`));
    await timers.sleep(1000 / rps);
  }
  await Promise.all(open);
  const [asked = 0, renewals = 0, reused = 0] = names.map(
    (name, index) => counterOf(fleet, name) - before[index]!,
  );
  const requests = rps * seconds;
  return [
    { figure: `messages that ask, at ${rps} requests/s`, unit: 'per request', value: asked / requests },
    { figure: `messages that renew, at ${rps} requests/s`, unit: 'per request', value: renewals / requests },
    { figure: `leases used again, at ${rps} requests/s`, unit: 'share', value: reused / requests },
  ];
}

async function run(flags: BenchFlags): Promise<never> {
  const timers = createSystemTimers();
  const samples = Number(flags.samples);
  const site = { engines: 2, slots: 4, loadsPerSecond: 10 };
  const fleet = await createFleet({ timers, daemons: 2, site, settings: SETTINGS });
  const daemons = [...fleet.daemons.values()];
  await until(timers, () =>
    daemons.every(({ daemon }) => daemon.part<SiteState>('site').hasSeenGrantingOwner()),
  );
  const engine = await holdAdapter(daemons[0]!, 'first');
  const ownership = daemons[0]!.daemon.part<Ownership>('ownership');
  const owner = ownership.ownerOf(engineResource(engine))!;
  const local = daemons.find(({ name }) => name === owner)!;
  const remote = daemons.find(({ name }) => name !== owner)!;
  const figures = [
    ...(await time('lease held already', samples, (index) => holdAdapter(local, `held-${index}`))),
    ...(await time('lease asked of the owner here', samples, askOwner(local, owner, engine, 'local'))),
    ...(await time('lease asked across loopback', samples, askOwner(remote, owner, engine, 'remote'))),
    ...(await countMessages(fleet, timers, 4, 10)),
    ...(await countMessages(fleet, timers, 100, 5)),
  ];
  for (const figure of figures) {
    const { figure: name, unit, value } = figure;
    console.log(
      flags.json === true ? JSON.stringify(figure) : `${name}: ${Number(value.toFixed(3))} ${unit}`,
    );
  }
  await fleet.close();
  // The ledger of keys and the limits keep their timers when a daemon is forced down in its process.
  process.exit(0);
}

/** The command. */
export const leasesCommand: BenchCommand = {
  name: 'leases',
  about: 'Time slot leases and count their messages, over real sockets on loopback',
  options: [
    { flag: '--samples <number>', about: 'Samples of each latency', default: 5000 },
    { flag: '--json', about: 'One JSON line a figure' },
  ],
  run,
};
