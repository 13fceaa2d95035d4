/**
 * Simulates an engine under random demand, with changing owners and faulty connections, on a virtual clock.
 *
 * The seed determines the whole simulation: the engine's capacity, load times, when owners change and how
 * late the previous one notices, which calls are lost, when the engine restarts and which versions are
 * declared.
 */
import type { ManualTimerService } from '@celeryyoke/core';
import { createManualTimers } from '@celeryyoke/core';
import type { EngineControl, EngineOrder, EngineSpec, ReplicaEntry } from '@celeryyoke/routing';
import { EngineOwner } from '@celeryyoke/routing';

import { engineEntry, log, MODEL } from '../fakes.js';
import { SimulatedEngine, RequestResult } from './simulated-engine.js';
import type { Scenario } from './scenario.js';
import { drawScenario, SCENARIOS, ScenarioKind } from './scenario.js';
import type { Random } from './random.js';
import { createRandom } from './random.js';
import { FaultyLink } from './faulty-link.js';

/** Duration of the phase with faults, and of the fault-free phase before the final check, in milliseconds. */
const FAULT_PHASE_MS = 12_000;
const SETTLE_MS = 9000;
/** Longest wait of a request for its adapter, in milliseconds. */
const REQUEST_TIMEOUT_MS = 800;
/** Longest time for a load to finish when there are no faults, in milliseconds. */
const FINAL_LOAD_TIMEOUT_MS = 3000;
/** Share of the owner changes at which the previous owner's process crashes. */
const CRASH_SHARE = 0.3;
/** Delay before a caller tries again, in milliseconds. */
const RETRY_MS = 100;
/** Result for a caller that was refused. */
const REFUSED = 'refused';
const TOKEN_STEP = 4096;
/** Number of trace lines kept for a failed simulation. */
const MAX_TRACE_LINES = 80;

/** Result of one simulation. */
export interface SimulationResult {
  /** Number of times the engine was ordered beyond its capacity. */
  readonly overloads: number;
  /** Requests that ran, which shows that the simulation exercised the engine. */
  readonly requests: number;
  /** Whether an adapter can be loaded at the end, when there are no faults any more. */
  readonly servesAtEnd: boolean;
  /**
   * Free or evictable slots at the end according to the last owner, when no request runs; fewer than the
   * capacity means that slots leaked.
   */
  readonly freeSlotsAtEnd: number;
  readonly capacity: number;
  /** Last orders before the first overload, or of the whole simulation. */
  readonly trace: readonly string[];
}

/** A daemon that owns, or has owned, the engine. */
class SimulatedDaemon {
  /** Fencing token; undefined when the daemon must not send orders. */
  token: number | undefined;

  readonly owner: EngineOwner;

  constructor(
    readonly link: FaultyLink,
    token: number,
    createOwner: (daemon: SimulatedDaemon) => EngineOwner,
  ) {
    this.token = token;
    this.owner = createOwner(this);
  }

  /** Handles the loss of the lease to another daemon. */
  loseLease(): void {
    this.token = undefined;
    this.owner.stop();
  }

  /** Crashes the process; what it has sent is still delivered. */
  crash(): void {
    this.link.hasCrashed = true;
    this.loseLease();
  }
}

/** One run of the simulation. */
class Simulation {
  private readonly timers: ManualTimerService = createManualTimers();

  private readonly random: Random;

  /**
   * Separate generator for additional faults, so that they don't change the draws of the plain scenario. Its
   * seed suffix must not change either, or recorded seeds would no longer reproduce.
   */
  private readonly faultRandom: Random;

  private readonly scenario: Scenario;

  private readonly engine: SimulatedEngine;

  private readonly running = new Map<string, number>();

  private readonly trace: string[] = [];

  private currentDaemon: SimulatedDaemon;

  private daemonCount = 0;

  private token = TOKEN_STEP;

  private requests = 0;

  private isFaultFree = false;

  /** Number of following orders that still receive misattributed responses. */
  private misattributedLeft = 0;

  private readonly replica: ReplicaEntry = engineEntry('e');

  private readonly spec: EngineSpec;

  constructor(seed: string, kind: ScenarioKind) {
    this.random = createRandom(seed);
    const scenario = drawScenario(this.random);
    this.faultRandom = createRandom(`${seed} others`);
    this.scenario = SCENARIOS[kind](scenario, this.faultRandom);
    const { isFenced, capacity, loadMs } = this.scenario;
    this.spec = {
      slots: 8,
      memoryMb: 1000,
      adapterSlots: capacity,
      modelLoadsPerSecond: 2,
      models: [{ name: MODEL, weightsMb: 90, adapterMb: 1 }],
    };
    this.engine = new SimulatedEngine({
      timers: this.timers,
      isFenced,
      capacity,
      loadMs: () => this.random.between(loadMs[0], loadMs[1]),
      onEvent: (text) => this.addTrace(`${this.timers.now().toFixed(1)} engine ${text}`),
    });
    this.currentDaemon = this.startDaemon();
  }

  async run(): Promise<SimulationResult> {
    const { scenario, timers } = this;
    this.schedule(scenario.requestIntervalMs, () => {
      void this.request(this.drawAdapter(), false);
    });
    this.schedule(scenario.ownerChangeIntervalMs, () => this.changeOwner());
    this.schedule(scenario.restartIntervalMs, () => this.engine.restart());
    this.schedule(scenario.versionIntervalMs, () => this.declareVersion());
    while (timers.now() < FAULT_PHASE_MS && this.engine.overloads === 0) await timers.advance(50);
    this.isFaultFree = true;
    if (this.engine.overloads > 0) return this.result(false);
    await timers.advance(SETTLE_MS);
    return this.result(await this.canServe());
  }

  private result(servesAtEnd: boolean): SimulationResult {
    const { engine, requests, trace, scenario } = this;
    const { freeSlots: freeSlotsAtEnd } = this.currentDaemon.owner.slotAvailability();
    return {
      overloads: engine.overloads,
      requests,
      servesAtEnd,
      freeSlotsAtEnd,
      capacity: scenario.capacity,
      trace,
    };
  }

  /**
   * Returns whether a caller that retries when refused can have an adapter loaded in time that nobody has
   * requested so far.
   */
  private async canServe(): Promise<boolean> {
    const { timers } = this;
    const endAt = timers.now() + FINAL_LOAD_TIMEOUT_MS;
    const ref = { model: MODEL, adapter: 'never-asked', version: undefined };
    let isServed = false;
    const retryUntilServed = async (): Promise<void> => {
      while (!isServed && timers.now() < endAt) {
        const availability = await this.currentDaemon.owner
          .ensure(ref, urgency(FINAL_LOAD_TIMEOUT_MS))
          .catch(() => REFUSED);
        isServed = availability === undefined;
        if (!isServed) await timers.sleep(RETRY_MS);
      }
    };
    void retryUntilServed();
    await timers.advance(FINAL_LOAD_TIMEOUT_MS);
    return isServed;
  }

  private startDaemon(): SimulatedDaemon {
    const { timers, random, engine, scenario } = this;
    this.daemonCount += 1;
    const name = `d${this.daemonCount}`;
    this.token += TOKEN_STEP;
    const faultShare = (): number => (this.isFaultFree ? 0 : scenario.faultShare);
    const isNextDuplicated = (): boolean =>
      !this.isFaultFree && scenario.duplicateShare > 0 && this.faultRandom.chance(scenario.duplicateShare);
    const link = new FaultyLink({
      timers,
      engine,
      random,
      faultShare,
      isNextMisattributed: () => this.drawMisattributed(),
      isNextDuplicated,
    });
    const createOwner = (daemon: SimulatedDaemon): EngineOwner =>
      new EngineOwner({
        replica: this.replica,
        engine: this.spec,
        self: name,
        control: this.createTracedControl(name, link),
        isFenced: scenario.isFenced,
        timers,
        log,
        fencingToken: () => daemon.token,
        onOrder: () => undefined,
        acceptsOrders: () => true,
        onFenced: () => daemon.loseLease(),
        onResidencyChange: () => undefined,
        onRestart: () => undefined,
      });
    const daemon = new SimulatedDaemon(link, this.token, createOwner);
    void daemon.owner.run();
    return daemon;
  }

  /** Draws whether the next order receives the response to another call. */
  private drawMisattributed(): boolean {
    const { scenario, faultRandom } = this;
    if (this.isFaultFree) return false;
    if (this.misattributedLeft > 0) {
      this.misattributedLeft -= 1;
      return true;
    }
    const isMisattributed = faultRandom.chance(scenario.misattributedShare);
    if (isMisattributed && scenario.maxMisattributedInRow > 1)
      this.misattributedLeft = Math.floor(faultRandom.between(1, scenario.maxMisattributedInRow));
    return isMisattributed;
  }

  private createTracedControl(name: string, link: FaultyLink): EngineControl {
    return {
      connect: (replica, onClosed) => {
        const connection = link.connect(replica, onClosed);
        return {
          get isOpen() {
            return connection.isOpen;
          },
          order: (order) => this.traceOrder(name, order, connection.order(order)),
          report: () => connection.report(),
          close: () => connection.close(),
        };
      },
      report: (replica) => link.report(replica),
    };
  }

  private async traceOrder<T>(
    name: string,
    { kind, adapter, expected }: EngineOrder,
    outcome: Promise<T>,
  ): Promise<T> {
    const sentAt = this.timers.now();
    const result = await outcome;
    const span = `${sentAt.toFixed(1)}-${this.timers.now().toFixed(1)}`;
    const sequenceLabel = expected === undefined ? '' : ` #${expected}`;
    const occupancy = `${this.engine.occupied}/${this.scenario.capacity}`;
    this.addTrace(
      `${span} ${name} ${kind} ${adapter ?? MODEL}${sequenceLabel}: ${String(result)} (${occupancy})`,
    );
    return result;
  }

  private addTrace(line: string): void {
    if (this.engine.overloads > 0) return;
    this.trace.push(line);
    if (this.trace.length > MAX_TRACE_LINES) this.trace.shift();
  }

  /** Moves the engine to another daemon; the previous owner notices late, or has crashed. */
  private changeOwner(): void {
    const { random, timers, scenario } = this;
    const previousDaemon = this.currentDaemon;
    if (random.chance(CRASH_SHARE)) previousDaemon.crash();
    else timers.after(random.between(0, scenario.maxOwnerOverlapMs), () => previousDaemon.loseLease());
    this.currentDaemon = this.startDaemon();
  }

  private declareVersion(): void {
    const adapter = this.drawAdapter();
    const version = this.engine.newestVersionOf(adapter) + 1;
    this.engine.declareVersion(adapter, version);
    const { owner } = this.currentDaemon;
    this.timers.after(this.random.between(0, this.scenario.maxReportLagMs), () => {
      if (!owner.hasOlderVersion(`${MODEL}/${adapter}`, version)) return;
      owner.ensure({ model: MODEL, adapter, version }, urgency(REQUEST_TIMEOUT_MS)).catch(() => undefined);
    });
  }

  private async request(adapter: string, isDoubted: boolean): Promise<void> {
    const { timers, random, engine } = this;
    const { owner } = this.currentDaemon;
    const version = engine.newestVersionOf(adapter) > 1 ? engine.newestVersionOf(adapter) : undefined;
    try {
      const ref = { model: MODEL, adapter, version, isDoubted };
      if ((await owner.ensure(ref, urgency(REQUEST_TIMEOUT_MS))) !== undefined) return;
    } catch {
      return;
    }
    await timers.sleep(random.between(0, 3));
    const result = engine.startRequest(adapter);
    if (result === RequestResult.NotResident && !isDoubted) await this.request(adapter, true);
    if (result !== RequestResult.Started) return;
    this.requests += 1;
    this.reportRunning(adapter, 1);
    await timers.sleep(random.between(20, 700));
    engine.endRequest(adapter);
    this.reportRunning(adapter, -1);
  }

  /** Reports a change in running requests to the owner, with a delay. */
  private reportRunning(adapter: string, change: number): void {
    const { timers, random, scenario, running } = this;
    const key = `${MODEL}/${adapter}`;
    timers.after(random.between(0, scenario.maxReportLagMs), () => {
      running.set(key, (running.get(key) ?? 0) + change);
      if (change > 0) this.currentDaemon.owner.recordUses(key, change);
      this.currentDaemon.owner.setRunning(running);
    });
  }

  /** Draws an adapter: a few are requested often, many rarely. */
  private drawAdapter(): string {
    const { random, scenario } = this;
    return `a${Math.floor(random.between(0, 1) ** 2 * scenario.adapters)}`;
  }

  private schedule(meanIntervalMs: number, action: () => void): void {
    const next = (): void => {
      this.timers.after(this.random.between(0, 2 * meanIntervalMs), () => {
        if (this.isFaultFree) return;
        action();
        next();
      });
    };
    next();
  }
}

function urgency(timeoutMs: number) {
  return {
    rank: 1,
    waitedMs: 0,
    lastCallMs: timeoutMs,
    patienceMs: timeoutMs,
    timeoutMs,
  };
}

/**
 * Runs the simulation of one seed.
 * @param kind - Faults in addition to the plain scenario.
 */
export function simulate(seed: string, kind = ScenarioKind.Plain): Promise<SimulationResult> {
  return new Simulation(seed, kind).run();
}
