/** Plays loads through a fleet of daemons on the virtual clock, some requests of which end their replicas. */
import { Suspicion } from '@celeryyoke/core';
import type { ExecutionContext } from 'ava';

import type { FollowedAttempt, ReplicaEntry, RequestFingerprints } from '../src/index.js';
import { AttemptEnd, fingerprintsOf, sharedFeatures } from '../src/index.js';
import type { Random } from './orders/random.js';
import { createRandom } from './orders/random.js';
import { SuspectFleet } from './suspect-fleet.js';

export const DAEMONS = 7;
/** Time from the first event of an answer to the crash, in milliseconds, unless a scenario has another. */
const CRASH_AFTER_MS = 60;
/** Time that an answer takes, in milliseconds, unless a scenario has another. */
const ANSWER_MS = 800;
const EVENT_INTERVAL_MS = 50;
/** Time in which an answer begins, in milliseconds. */
const PREFILL_MS = 150;
const RESTART_MS = 2500;
/** Time from the end of a silent replica until its entry is removed, and until it has started again, in milliseconds. */
const REMOVAL_MS = 3100;
const SILENT_RESTART_MS = 4300;
/** Time without a byte after which a daemon chooses other replicas, and a caller leaves, in milliseconds. */
const EJECTED_AFTER_MS = 700;
const CALLER_LEAVES_MS = 2000;
/** Time for which a replica that pauses is silent, in milliseconds. */
const PAUSE_MS = 1500;
const CALM_MS = 10_000;
const FAULT_MS = 12_000;
/** Crashes that users allow until a part must be known, and the time until it must be refused, in milliseconds. */
const ALLOWED_CRASHES = 5;
const REFUSED_AFTER_MS = 3000;
/** Number of seeds; set the variable to play more than in CI. */
export const SEEDS = Number(process.env.CELERYYOKE_SOAK_PLAYS ?? 8);
/** Requests with the part that may reach an engine after that. */
export const ALLOWED_LATE = 3;
/** Part that ends engines. */
export const GUILTY = 'dead';

/** How a replica ends. */
export enum Ending {
  Closed = 'closed',
  /** It sends nothing any more, and its entry is removed some seconds later. */
  Silent = 'silent',
  /** It sends nothing any more; its entry is replaced when it has started again. */
  Replaced = 'replaced',
}

/** A load, and what crashes its replicas. */
export interface Scenario {
  readonly engines: number;
  readonly perSecond: number;
  /** Number of parts in second place. */
  readonly secondParts: number;
  /** One request in so many has the guilty part; none if it is left out. */
  readonly guiltyEvery?: number;
  /** Place of the guilty part. */
  readonly place?: 0 | 1;
  /** Closed, unless it is stated. */
  readonly ending?: Ending;
  /** Time at which all daemons start again, in milliseconds after the calm. */
  readonly restartAt?: number;
  /** Times at which half of the engines are silent for a while and go on, in milliseconds after the calm. */
  readonly pauses?: readonly number[];
  /** Negative for a crash before the first event. */
  readonly crashAfterMs?: number;
  readonly answerMs?: number;
  /** Times at which all engines crash for another reason, in milliseconds after the calm. */
  readonly otherCrashes?: readonly number[];
}

interface Run {
  readonly daemon: number;
  readonly request: RequestFingerprints;
  readonly parts: readonly string[];
  readonly attempt: FollowedAttempt;
}

/** Plays a load through a fleet of daemons. */
export class Play {
  readonly fleet = new SuspectFleet(DAEMONS);

  crashes = 0;

  /** Times at which requests with the guilty part reached an engine. */
  private readonly guiltySentAt: number[] = [];

  /** Time of the crash by which the part must be known. */
  private knownAt = Number.POSITIVE_INFINITY;

  /** Sound requests that were refused. */
  refused = 0;

  private readonly engines: Set<Run>[];

  /** Number of the incarnation of each engine. */
  private readonly incarnations: number[];

  private readonly downUntil: number[];

  /** Time up to which each engine holds back what it sends. */
  private readonly silentUntil: number[];

  /** Time of the last sign of life of each engine that has ended silently. */
  private readonly silentSince: (number | undefined)[];

  private number = 0;

  constructor(
    private readonly scenario: Scenario,
    private readonly random: Random,
  ) {
    this.engines = Array.from({ length: scenario.engines }, () => new Set());
    this.incarnations = this.engines.map(() => 0);
    this.downUntil = this.engines.map(() => 0);
    this.silentUntil = this.engines.map(() => 0);
    this.silentSince = this.engines.map(() => undefined);
    for (const engine of this.engines.keys()) this.fleet.list(this.idOf(engine));
  }

  async run(): Promise<void> {
    const { timers } = this.fleet;
    const { perSecond, otherCrashes = [], pauses = [], restartAt } = this.scenario;
    const total = ((CALM_MS + FAULT_MS) * perSecond) / 1000;
    for (let index = 0; index < total; index += 1)
      timers.after((index * 1000) / perSecond, () => this.send(timers.now() >= CALM_MS));
    for (const at of otherCrashes)
      timers.after(CALM_MS + at, () => this.engines.forEach((_runs, engine) => this.crash(engine)));
    if (restartAt !== undefined) timers.after(CALM_MS + restartAt, () => this.restart());
    for (const at of pauses) timers.after(CALM_MS + at, () => this.pauseHalf());
    await timers.advance(CALM_MS + FAULT_MS + this.answerMs);
  }

  /** Number of requests with the guilty part that reached an engine when they should have been refused. */
  get lateArrivals(): number {
    return this.guiltySentAt.filter((at) => at > this.knownAt + REFUSED_AFTER_MS).length;
  }

  private partsOf(isFaulty: boolean): string[] {
    const { secondParts, guiltyEvery, place = 1 } = this.scenario;
    this.number += 1;
    // Some parts are far more frequent than others.
    const second = Math.floor(secondParts * this.random.between(0, 1) ** 2);
    const parts = [`a${Math.floor(this.random.between(0, 3))}`, `b${second}`];
    if (isFaulty && guiltyEvery !== undefined && this.random.chance(1 / guiltyEvery)) parts[place] = GUILTY;
    return parts;
  }

  private send(isFaulty: boolean): void {
    const daemon = Math.floor(this.random.between(0, DAEMONS));
    const registry = this.fleet.registries[daemon]!;
    const parts = this.partsOf(isFaulty);
    const shared = sharedFeatures(parts, undefined);
    const identity = { account: undefined, method: 'POST', host: 'h', target: `/r${this.number}` };
    const request = fingerprintsOf({ ...identity, body: undefined, shared });
    registry.countRequest('route', shared);
    if (registry.suspicionOf(() => request) === Suspicion.Quarantined) {
      if (!parts.includes(GUILTY)) this.refused += 1;
      return;
    }
    const up = this.engines.map((_runs, engine) => engine).filter((engine) => !this.isDown(engine));
    if (up.length === 0) return;
    const engine = this.random.pick(up);
    const attempt = this.fleet.begin(daemon, this.idOf(engine), request);
    this.answer(engine, { daemon, request, parts, attempt });
  }

  private get answerMs(): number {
    return this.scenario.answerMs ?? ANSWER_MS;
  }

  private idOf(engine: number): string {
    return `e${engine}.${this.incarnations[engine]}`;
  }

  private isDown(engine: number): boolean {
    const now = this.fleet.timers.now();
    const silentSince = this.silentSince[engine];
    const isEjected = silentSince !== undefined && now > silentSince + EJECTED_AFTER_MS;
    return isEjected || now < this.downUntil[engine]!;
  }

  /** Replaces the daemons; their callers and engines lose what runs. */
  private restart(): void {
    for (const engine of this.engines.keys()) this.endRuns(engine);
    this.fleet.restart();
  }

  private pauseHalf(): void {
    const until = this.fleet.timers.now() + PAUSE_MS;
    for (const engine of this.engines.keys()) if (engine % 2 === 0) this.silentUntil[engine] = until;
  }

  private answer(engine: number, run: Run): void {
    const { timers } = this.fleet;
    const runs = this.engines[engine]!;
    runs.add(run);
    // A caller leaves whatever has become of the engine.
    timers.after(CALLER_LEAVES_MS + PREFILL_MS + this.answerMs, () => {
      if (runs.delete(run)) run.attempt.end(AttemptEnd.Unanswered, this.fleet.timers.now());
    });
    if (this.silentSince[engine] !== undefined) return;
    const isGuilty = run.parts.includes(GUILTY);
    if (isGuilty) this.guiltySentAt.push(timers.now());
    const { crashAfterMs = CRASH_AFTER_MS } = this.scenario;
    const whileRunning = (ms: number, act: () => void): void => {
      const { silentUntil } = this;
      timers.after(ms, () => {
        const waitMs = silentUntil[engine]! - timers.now();
        if (!runs.has(run) || this.silentSince[engine] !== undefined) return;
        if (waitMs > 0) whileRunning(waitMs, act);
        else act();
      });
    };
    if (isGuilty) whileRunning(PREFILL_MS + crashAfterMs, () => this.crash(engine));
    for (let ms = 0; ms < this.answerMs; ms += EVENT_INTERVAL_MS)
      whileRunning(PREFILL_MS + ms, () => run.attempt.recordBody(timers.now()));
    whileRunning(PREFILL_MS + this.answerMs, () => {
      runs.delete(run);
      run.attempt.end(AttemptEnd.Answered, this.fleet.timers.now());
      this.fleet.registries[run.daemon]!.attemptCompleted(run.request);
    });
  }

  private crash(engine: number): void {
    this.crashes += 1;
    if (this.crashes === ALLOWED_CRASHES) this.knownAt = this.fleet.timers.now();
    this.endings[this.scenario.ending ?? Ending.Closed](engine, this.idOf(engine));
  }

  private readonly endings: Readonly<Record<Ending, (engine: number, id: string) => void>> = {
    [Ending.Closed]: (engine, id) => {
      const cut = this.endRuns(engine);
      this.downUntil[engine] = this.fleet.timers.now() + RESTART_MS;
      this.startAgain(engine, RESTART_MS);
      for (const daemon of new Set(cut.map((run) => run.daemon)))
        void this.fleet.registries[daemon]!.attemptCut({ id } as ReplicaEntry);
    },
    [Ending.Silent]: (engine, id) => {
      this.silentSince[engine] = this.fleet.timers.now();
      this.fleet.timers.after(REMOVAL_MS, () => this.fleet.unlist(id));
      this.startAgain(engine, SILENT_RESTART_MS);
    },
    [Ending.Replaced]: (engine) => {
      this.silentSince[engine] = this.fleet.timers.now();
      this.startAgain(engine, SILENT_RESTART_MS);
    },
  };

  private endRuns(engine: number): Run[] {
    const cut = [...this.engines[engine]!];
    this.engines[engine]!.clear();
    for (const { attempt } of cut) attempt.end(AttemptEnd.Unanswered, this.fleet.timers.now());
    return cut;
  }

  private startAgain(engine: number, ms: number): void {
    const id = this.idOf(engine);
    this.fleet.timers.after(ms, () => {
      this.fleet.unlist(id);
      this.endRuns(engine);
      this.incarnations[engine]! += 1;
      this.silentSince[engine] = undefined;
      this.fleet.list(this.idOf(engine));
    });
  }
}

export async function play(scenario: Scenario, seed: number): Promise<Play> {
  const one = new Play(scenario, createRandom(`parts-${seed}`));
  await one.run();
  return one;
}

/** Checks with many seeds that a part is refused in time, and that nothing else is. */
export async function checkFound(t: ExecutionContext, scenario: Scenario): Promise<void> {
  for (let seed = 0; seed < SEEDS; seed += 1) {
    const { crashes, lateArrivals, refused } = await play(scenario, seed);
    t.log(`seed ${seed}: ${crashes} crashes, ${lateArrivals} late arrivals, ${refused} others refused`);
    t.true(lateArrivals <= ALLOWED_LATE, `seed ${seed}: ${lateArrivals} late arrivals`);
    t.is(refused, 0, `seed ${seed}`);
  }
}

/** A busy fleet, of whose requests each twelfth has the guilty part. */
export const BUSY: Scenario = { engines: 10, perSecond: 60, secondParts: 40, guiltyEvery: 12 };
