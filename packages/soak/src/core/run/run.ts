/** One run: starts the platform, the replicas, the daemons and the callers, brings the faults about, and checks. */
import { join } from 'node:path';

import type { TimerHandle, TimerService } from '@celeryyoke/core';
import { createSystemTimers } from '@celeryyoke/core';
import { createRandom } from '@celeryyoke/routing/testing';

import type { CallerAttempt } from '../callers/index.js';
import { Balancer, Callers, ConfigProbes } from '../callers/index.js';
import type { BrittleTime, DaemonCut, RunMeasurements, SoakFigures } from '../checks/index.js';
import { checkRun, countCrashes, measureRun } from '../checks/index.js';
import type { SoakPlan } from '../plan/index.js';
import { ProcessGroup } from '../processes/index.js';
import type { Arrival, ReplicaFall, ReplicaOptions } from '../replicas/index.js';
import { ReplicaFleet } from '../replicas/index.js';
import {
  claimNetworks,
  discardHistory,
  ENGINE_SLOTS,
  HEARTBEAT_MS,
  listReplica,
  PLAIN_SLOTS,
  putConfiguration,
  startStore,
  StoreDrills,
} from '../site/index.js';
import { Daemons } from './daemons.js';
import { inject } from './faults.js';

const MS_PER_SECOND = 1000;
/** Replicas for each of their processes; few, so that a part of them can be stopped. */
const REPLICAS_PER_PROCESS = 4;
/** Time after the traffic in which held requests still arrive, in milliseconds. */
const SETTLE_MS = 1000;
/** Time after its acknowledgement at which a configuration must be in force, in milliseconds. */
const IN_FORCE_MS = 2500;
/** The same after a drill, which leaves time for what was lost to be written again. */
const IN_FORCE_AFTER_DRILL_MS = 3600;

/** What a run needs beside its plan. */
export interface SoakOptions {
  /** The bundled program of the daemons. */
  readonly program: string;
  /** Directory of settings and logs; it exists. */
  readonly dir: string;
}

/** What a run showed, with what it was shown by. */
export interface SoakResult extends RunMeasurements {
  readonly figures: SoakFigures;
  readonly outcomes: ReadonlyMap<string, number>;
  readonly attempts: readonly CallerAttempt[];
  readonly arrivals: readonly Arrival[];
  /** Replicas that crashed under each request that crashes replicas, by its path. */
  readonly crashes: ReadonlyMap<string, number>;
  /** Brittle replicas that fell over. */
  readonly falls: readonly ReplicaFall[];
}

/**
 * Plays a plan.
 * @param plan - The plan.
 * @param options - The program, and where settings and logs go.
 * @returns What it showed; all processes have ended.
 */
export async function runSoak(plan: SoakPlan, { program, dir }: SoakOptions): Promise<SoakResult> {
  await claimNetworks();
  const timers = createSystemTimers();
  const processes = new ProcessGroup();
  const arrivals: Arrival[] = [];
  const cuts: DaemonCut[] = [];
  const brittleTimes: BrittleTime[] = [];
  const store = await startStore();
  const replicas = new ReplicaFleet({
    processes,
    replicas: replicasOf(plan),
    processCount: Math.ceil((plan.engines + plan.plains) / REPLICAS_PER_PROCESS),
    logFile: (name) => join(dir, `${name}.log`),
    onArrival: (arrival) => arrivals.push(arrival),
    onRestart: (id, before) => relist(id, before),
    timers,
  });
  const { port: storePort } = store;
  const daemons = new Daemons({ processes, program, dir, storePort, count: plan.daemons, timers });
  const writeCounts = new Map<string, number>();
  function list(option: ReplicaOptions): void {
    const { id } = option;
    const incarnation = replicas.incarnationOf(id);
    const count = (writeCounts.get(incarnation) ?? 0) + 1;
    writeCounts.set(incarnation, count);
    listReplica(store, incarnation, option, replicas.ports.get(id)!, replicas.versionOf(id), count);
  }
  function writeEntries(): void {
    if (store.isDown) return;
    for (const option of replicasOf(plan)) list(option);
    discardHistory(store, timers.wall());
  }
  function relist(id: string, before: string): void {
    store.remove(`servers/${before}`);
    list(replicasOf(plan).find((option) => option.id === id)!);
  }
  function recordTime<Time extends DaemonCut | BrittleTime>(times: Time[], time: Time): () => void {
    times.push(time);
    return () => Object.assign(time, { until: timers.wall() });
  }
  const recordCut = (hit: readonly string[]): (() => void) =>
    recordTime(cuts, { daemons: hit, from: timers.wall(), until: undefined });
  const recordBrittle = (): (() => void) =>
    recordTime(brittleTimes, { replicas: plan.plains, from: timers.wall(), until: undefined });
  const probes = new ConfigProbes(daemons.addresses, timers);
  let version = 1;
  const reconfigure = (): void => {
    // Nothing can be written while the store is away.
    if (store.isDown) return;
    version += 1;
    putConfiguration(store, version);
    probes.schedule(version, IN_FORCE_MS);
  };
  const drills = new StoreDrills(store, timers, () => probes.schedule(version, IN_FORCE_AFTER_DRILL_MS));
  const balancer = new Balancer(daemons.addresses, timers);
  const random = createRandom(`run-${plan.seed}`);
  const { requestsPerSecond, adapters, hasRetries } = plan;
  const callers = new Callers({ balancer, random, timers, requestsPerSecond, adapters, hasRetries });
  let heartbeats: TimerHandle | undefined;
  try {
    await replicas.start();
    writeEntries();
    heartbeats = timers.repeat(HEARTBEAT_MS, writeEntries);
    startAll(plan, daemons, timers);
    await timers.sleep(plan.trafficAfterMs);
    for (const fault of plan.faults)
      timers.after(fault.atMs, () =>
        inject(
          {
            daemons,
            replicas,
            callers,
            relist,
            recordCut,
            recordBrittle,
            reconfigure,
            drills,
            random,
            timers,
          },
          fault,
        ),
      );
    void callers.run();
    await timers.sleep(plan.seconds * MS_PER_SECOND);
    await callers.stop();
    await timers.sleep(SETTLE_MS);
  } finally {
    balancer.stop();
    heartbeats?.cancel();
    await processes.stop();
    await store.close();
  }
  const { attempts } = callers;
  const { outages, firstStarts } = daemons;
  const excuses = { outages, firstStarts, interruptions: replicas.interruptions };
  const { crashes, falls, versionChanges, abandonments } = replicas;
  const misbehaviours = [...replicas.misbehaviours, ...replicas.departures];
  const record = {
    attempts,
    arrivals,
    crashes,
    cuts,
    falls,
    brittleTimes,
    versionChanges,
    abandonments,
    misbehaviours,
    configProbes: probes.results,
    drills: drills.played,
    daemonCount: plan.daemons,
  };
  const measured = measureRun(record, excuses);
  return {
    figures: checkRun(record, excuses, measured),
    outcomes: countOutcomes(callers),
    attempts,
    arrivals,
    crashes: countCrashes(attempts, crashes),
    falls,
    ...measured,
  };
}

function replicasOf({ engines, plains }: SoakPlan): ReplicaOptions[] {
  const engineOptions = Array.from({ length: engines }, (_, index) => ({
    id: `e-${index}`,
    isEngine: true,
    slots: ENGINE_SLOTS,
  }));
  const plainOptions = Array.from({ length: plains }, (_, index) => ({
    id: `p-${index}`,
    isEngine: false,
    slots: PLAIN_SLOTS,
  }));
  return [...engineOptions, ...plainOptions];
}

function startAll({ startSpreadMs }: SoakPlan, daemons: Daemons, timers: TimerService): void {
  const { addresses } = daemons;
  for (const [index, daemon] of addresses.entries())
    timers.after((startSpreadMs * index) / addresses.length, () => daemons.start(daemon, true));
}

function countOutcomes({ attempts }: Callers): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { route, outcome } of attempts) {
    const key = `${route.name} ${outcome ?? 'open'}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return counts;
}
