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
const ALLOWED_CRASHES_OF_REQUEST = 3;
const REFUSED_AFTER_MS = 3000;
/** Time at the end of a play in which it is counted which sound requests are served, in milliseconds. */
const LAST_MS = 4000;
/** Daemon that is slow, or cut off from the engines. */
const SPECIAL_DAEMON = 0;
/** Time at which all daemons start again, in milliseconds after the calm. */
const ALL_RESTART_MS = 6000;
/** Number of seeds; set the variable to play more than in CI. */
export const SEEDS = Number(process.env.CELERYYOKE_SOAK_PLAYS ?? 8);
/** Requests with the part that may reach an engine after that. */
export const ALLOWED_LATE = 3;
/** Part that ends engines, and another one. */
export const GUILTY = 'dead';
const OTHER_GUILTY = 'dead-too';
/** Time for which a daemon must have run and reached its peers before it is bound by what they know, in milliseconds. */
const IN_TOUCH_MS = 3000;
/** Time between the ends of two daemons, and of two engines that end for another reason, in milliseconds. */
const DAEMON_ENDS_MS = 2000;
const ENGINE_ENDS_MS = 1500;
/** Times between which the daemons are in two parts that do not reach each other, in milliseconds after the calm. */
const PARTITION = { from: 1500, to: 4500 };
/** Largest delay with which a slow host reads what engines send, in milliseconds. */
const SLOW_HOST_MS = 400;
/** Time after which a stream that broke goes on at another engine, in milliseconds. */
const RESUME_MS = 20;
/** Time between two sends of the same request, in milliseconds. */
const SAME_REQUEST_MS = 300;

/** How a replica ends. */
export enum Ending {
  Closed = 'closed',
  /** It sends nothing any more, and its entry is removed some seconds later. */
  Silent = 'silent',
  /** It sends nothing any more; its entry is replaced when it has started again. */
  Replaced = 'replaced',
}

/** What else goes on. */
export enum Beside {
  Nothing = 'nothing',
  /** Daemons end and start again, one after the other. */
  DaemonsEnd = 'daemonsEnd',
  /** All daemons start again at one moment. */
  AllRestart = 'allRestart',
  /** The daemons are in two parts that do not reach each other for a while. */
  Partition = 'partition',
  /** Engines end for another reason. */
  EnginesEnd = 'enginesEnd',
  /** One daemon reads what engines send late. */
  SlowHost = 'slowHost',
  /** One daemon reaches the engines over a peer only. */
  CutHost = 'cutHost',
  /** Streams that break go on at another engine. */
  Resumed = 'resumed',
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
  /** Whether a second part ends engines, in as many requests. */
  readonly hasTwoParts?: boolean;
  /** Whether the same request comes again and again beside the others, and ends engines whatever its parts are. */
  readonly hasSameRequest?: boolean;
  readonly beside?: Beside;
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
  /** What ends engines in it, if it has that. */
  readonly cause: Cause | undefined;
  readonly attempt: FollowedAttempt;
  /** Whether it goes on after another engine's end. */
  readonly isResumed: boolean;
}

/** What ends engines: a part of prompts, or one request. */
class Cause {
  crashes = 0;

  /** Times at which requests with it reached an engine, and whether the daemon was in touch with its peers. */
  private readonly arrivals: { readonly at: number; readonly isInTouch: boolean }[] = [];

  /** Time of the crash by which it must be known. */
  private knownAt = Number.POSITIVE_INFINITY;

  /** @param allowedCrashes - Crashes until it must be known. */
  constructor(private readonly allowedCrashes: number) {}

  recordArrival(at: number, isInTouch: boolean): void {
    this.arrivals.push({ at, isInTouch });
  }

  recordCrash(at: number): void {
    this.crashes += 1;
    if (this.crashes === this.allowedCrashes) this.knownAt = at;
  }

  /** Number of arrivals when it should have been refused. */
  countLate(isCounted: (isInTouch: boolean) => boolean): number {
    const from = this.knownAt + REFUSED_AFTER_MS;
    return this.arrivals.filter(({ at, isInTouch }) => at > from && isCounted(isInTouch)).length;
  }
}

/** A request of a caller. */
interface Sending {
  readonly parts: readonly string[];
  readonly target: string;
  readonly cause: Cause | undefined;
}

/** Plays a load through a fleet of daemons. */
export class Play {
  readonly fleet = new SuspectFleet(DAEMONS);

  /** Sound requests that were refused. */
  refused = 0;

  private readonly parts: ReadonlyMap<string, Cause>;

  private readonly sameRequest = new Cause(ALLOWED_CRASHES_OF_REQUEST);

  /** Times at which sound requests were sent, and of those that were answered whole at the first attempt. */
  private readonly sentAt: number[] = [];

  private readonly servedAt: number[] = [];

  private readonly engines: Set<Run>[];

  /** Number of the incarnation of each engine. */
  private readonly incarnations: number[];

  private readonly downUntil: number[];

  /** Time up to which each engine holds back what it sends. */
  private readonly silentUntil: number[];

  /** Time of the last sign of life of each engine that has ended silently. */
  private readonly silentSince: (number | undefined)[];

  /** Time from which on each daemon is in touch. */
  private readonly inTouchFrom: number[] = Array.from({ length: DAEMONS }, () => 0);

  /** Time up to which what each daemon has read so far reaches it. */
  private readonly readUntil: number[] = Array.from({ length: DAEMONS }, () => 0);

  /** Errors of what runs beside the play. */
  private readonly errors: Error[] = [];

  private number = 0;

  constructor(
    private readonly scenario: Scenario,
    private readonly random: Random,
  ) {
    const { hasTwoParts = false, engines } = scenario;
    const names = hasTwoParts ? [GUILTY, OTHER_GUILTY] : [GUILTY];
    this.parts = new Map(names.map((name) => [name, new Cause(ALLOWED_CRASHES)]));
    this.engines = Array.from({ length: engines }, () => new Set());
    this.incarnations = this.engines.map(() => 0);
    this.downUntil = this.engines.map(() => 0);
    this.silentUntil = this.engines.map(() => 0);
    this.silentSince = this.engines.map(() => undefined);
    for (const engine of this.engines.keys()) this.fleet.list(this.idOf(engine));
  }

  async run(): Promise<void> {
    const { timers } = this.fleet;
    const { perSecond, otherCrashes = [], pauses = [], restartAt, beside = Beside.Nothing } = this.scenario;
    const total = ((CALM_MS + FAULT_MS) * perSecond) / 1000;
    for (let index = 0; index < total; index += 1)
      timers.after((index * 1000) / perSecond, () => this.sendNext(timers.now() >= CALM_MS));
    for (const at of otherCrashes)
      timers.after(CALM_MS + at, () => this.engines.forEach((_runs, engine) => this.end(engine)));
    if (restartAt !== undefined) timers.after(CALM_MS + restartAt, () => this.restart());
    for (const at of pauses) timers.after(CALM_MS + at, () => this.pauseHalf());
    if (this.scenario.hasSameRequest === true) this.sendSameRequest();
    timers.after(CALM_MS, () => this.startBeside[beside]());
    await timers.advance(CALM_MS + FAULT_MS + this.answerMs);
    if (this.errors.length > 0) throw this.errors[0]!;
  }

  /** Number of engines that have ended under a part or a request. */
  get crashes(): number {
    return this.causes.reduce((sum, { crashes }) => sum + crashes, 0);
  }

  /** Largest number of requests of one cause that reached an engine when they should have been refused. */
  get lateArrivals(): number {
    return Math.max(...this.causes.map((cause) => cause.countLate(() => true)));
  }

  /** The same, of daemons in touch. */
  get lateInTouch(): number {
    return Math.max(...this.causes.map((cause) => cause.countLate((isInTouch) => isInTouch)));
  }

  /** Share of the sound requests of the last seconds that were answered whole at the first attempt. */
  get servedShare(): number {
    const isLast = (at: number): boolean => at >= CALM_MS + FAULT_MS - LAST_MS;
    return this.servedAt.filter(isLast).length / Math.max(1, this.sentAt.filter(isLast).length);
  }

  private get causes(): Cause[] {
    return [...this.parts.values(), this.sameRequest];
  }

  private readonly startBeside: Readonly<Record<Beside, () => void>> = {
    [Beside.Nothing]: () => undefined,
    [Beside.DaemonsEnd]: () => {
      let count = 0;
      this.fleet.timers.repeat(DAEMON_ENDS_MS, () => {
        this.restartOne(count % DAEMONS);
        count += 1;
      });
    },
    [Beside.AllRestart]: () => this.fleet.timers.after(ALL_RESTART_MS, () => this.restart()),
    [Beside.Partition]: () => {
      const { timers } = this.fleet;
      timers.after(PARTITION.from, () => this.fleet.divide());
      timers.after(PARTITION.to, () => this.fleet.heal());
      this.inTouchFrom.fill(timers.now() + PARTITION.to + IN_TOUCH_MS);
    },
    [Beside.EnginesEnd]: () => {
      this.fleet.timers.repeat(ENGINE_ENDS_MS, () => {
        const up = this.enginesUp();
        if (up.length > 0) this.end(this.random.pick(up));
      });
    },
    [Beside.SlowHost]: () => undefined,
    [Beside.CutHost]: () => undefined,
    [Beside.Resumed]: () => undefined,
  };

  private partsOf(isFaulty: boolean): string[] {
    const { secondParts, guiltyEvery, place = 1, hasTwoParts = false } = this.scenario;
    this.number += 1;
    // Some parts are far more frequent than others.
    const second = Math.floor(secondParts * this.random.between(0, 1) ** 2);
    const parts = [`a${Math.floor(this.random.between(0, 3))}`, `b${second}`];
    if (isFaulty && guiltyEvery !== undefined && this.random.chance(1 / guiltyEvery)) parts[place] = GUILTY;
    else if (isFaulty && hasTwoParts && this.random.chance(1 / guiltyEvery!)) parts[place] = OTHER_GUILTY;
    return parts;
  }

  private sendNext(isFaulty: boolean): void {
    const daemon = Math.floor(this.random.between(0, DAEMONS));
    const parts = this.partsOf(isFaulty);
    const [cause] = parts.flatMap((part) => this.parts.get(part) ?? []);
    this.send(daemon, { parts, target: `/r${this.number}`, cause });
  }

  /** Sends the same request at any daemon, again and again. */
  private sendSameRequest(): void {
    const { timers } = this.fleet;
    for (let at = 0; at < FAULT_MS; at += SAME_REQUEST_MS)
      timers.after(CALM_MS + at, () => {
        const daemon = Math.floor(this.random.between(0, DAEMONS));
        this.send(daemon, { parts: ['a0', 'b0'], target: '/same', cause: this.sameRequest });
      });
  }

  private send(daemon: number, { parts, target, cause }: Sending): void {
    const registry = this.fleet.registries[daemon]!;
    const shared = sharedFeatures(parts, undefined);
    const identity = { account: undefined, method: 'POST', host: 'h', target };
    const request = fingerprintsOf({ ...identity, body: undefined, shared });
    if (cause === undefined) this.sentAt.push(this.fleet.timers.now());
    if (registry.suspicionOf(() => request) === Suspicion.Quarantined) {
      if (cause === undefined) this.refused += 1;
      return;
    }
    this.attempt({ daemon, request, cause, isResumed: false });
  }

  private enginesUp(): number[] {
    return this.engines.map((_runs, engine) => engine).filter((engine) => !this.isDown(engine));
  }

  /** Sends a request to an engine; a suspect to the one that ranks first for it. */
  private attempt(sent: Omit<Run, 'attempt'>): void {
    const up = this.enginesUp();
    if (up.length === 0) return;
    const { daemon, request } = sent;
    const registry = this.fleet.registries[daemon]!;
    const isSuspect = registry.suspicionOf(() => request) !== Suspicion.Clear;
    const ranks = isSuspect
      ? registry.rankReplicas(
          request,
          up.map((one) => this.idOf(one)),
        )
      : undefined;
    const engine = up.find((one) => ranks?.get(this.idOf(one)) === 0) ?? this.random.pick(up);
    const isRelayed = daemon === SPECIAL_DAEMON && this.scenario.beside === Beside.CutHost;
    this.answer(engine, {
      ...sent,
      attempt: this.fleet.begin(daemon, this.idOf(engine), request, isRelayed),
    });
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
    this.inTouchFrom.fill(this.fleet.timers.now() + IN_TOUCH_MS);
  }

  private restartOne(daemon: number): void {
    for (const runs of this.engines) for (const run of runs) if (run.daemon === daemon) runs.delete(run);
    this.fleet.restartOne(daemon);
    this.inTouchFrom[daemon] = this.fleet.timers.now() + IN_TOUCH_MS;
  }

  private pauseHalf(): void {
    const until = this.fleet.timers.now() + PAUSE_MS;
    for (const engine of this.engines.keys()) if (engine % 2 === 0) this.silentUntil[engine] = until;
  }

  /** Has a daemon read what an engine sent to it; a slow host does so late. */
  private deliver(daemon: number, act: () => void): void {
    if (daemon !== SPECIAL_DAEMON || this.scenario.beside !== Beside.SlowHost) {
      act();
      return;
    }
    const now = this.fleet.timers.now();
    const at = Math.max(this.readUntil[daemon]!, now + this.random.between(0, SLOW_HOST_MS));
    this.readUntil[daemon] = at;
    this.fleet.timers.after(at - now, act);
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
    const { cause, daemon } = run;
    cause?.recordArrival(timers.now(), timers.now() >= this.inTouchFrom[daemon]!);
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
    if (cause !== undefined)
      whileRunning(PREFILL_MS + crashAfterMs, () => {
        cause.recordCrash(timers.now());
        this.end(engine);
      });
    for (let ms = 0; ms < this.answerMs; ms += EVENT_INTERVAL_MS)
      whileRunning(PREFILL_MS + ms, () => this.deliver(daemon, () => run.attempt.recordBody(timers.now())));
    const sentAt = timers.now();
    whileRunning(PREFILL_MS + this.answerMs, () => {
      runs.delete(run);
      if (cause === undefined && !run.isResumed) this.servedAt.push(sentAt);
      this.deliver(daemon, () => {
        run.attempt.end(AttemptEnd.Answered, this.fleet.timers.now());
        this.fleet.registries[daemon]!.attemptCompleted(run.request);
      });
    });
  }

  private end(engine: number): void {
    this.endings[this.scenario.ending ?? Ending.Closed](engine, this.idOf(engine));
  }

  private readonly endings: Readonly<Record<Ending, (engine: number, id: string) => void>> = {
    [Ending.Closed]: (engine, id) => {
      this.downUntil[engine] = this.fleet.timers.now() + RESTART_MS;
      this.startAgain(engine, RESTART_MS);
      for (const run of this.endRuns(engine))
        this.deliver(run.daemon, () => {
          this.handleCut(id, run).catch((err: Error) => this.errors.push(err));
        });
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

  /** Has a daemon see that the connection of a run has closed. */
  private async handleCut(replica: string, run: Run): Promise<void> {
    const { daemon, request, isResumed } = run;
    const registry = this.fleet.registries[daemon]!;
    run.attempt.end(AttemptEnd.Unanswered, this.fleet.timers.now());
    await registry.attemptCut({ id: replica } as ReplicaEntry);
    if (this.scenario.beside !== Beside.Resumed || isResumed) return;
    const resume = (): void => {
      const suspicion = registry.suspicionOf(() => request);
      if (suspicion === Suspicion.Unresolved) this.fleet.timers.after(RESUME_MS, resume);
      else if (suspicion !== Suspicion.Quarantined) this.attempt({ ...run, isResumed: true });
    };
    this.fleet.timers.after(RESUME_MS, resume);
  }

  private endRuns(engine: number): Run[] {
    const cut = [...this.engines[engine]!];
    this.engines[engine]!.clear();
    return cut;
  }

  private startAgain(engine: number, ms: number): void {
    const id = this.idOf(engine);
    this.fleet.timers.after(ms, () => {
      this.fleet.unlist(id);
      for (const { attempt } of this.endRuns(engine))
        attempt.end(AttemptEnd.Unanswered, this.fleet.timers.now());
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
export async function checkFound(t: ExecutionContext, scenario: Scenario, seeds = SEEDS): Promise<void> {
  for (let seed = 0; seed < seeds; seed += 1) {
    const { crashes, lateInTouch, refused, servedShare } = await play(scenario, seed);
    const served = servedShare.toFixed(2);
    t.log(
      `seed ${seed}: ${crashes} crashes, ${lateInTouch} late arrivals, ${refused} others refused, ${served} served`,
    );
    t.true(lateInTouch <= ALLOWED_LATE, `seed ${seed}: ${lateInTouch} late arrivals`);
    t.is(refused, 0, `seed ${seed}`);
  }
}

/** A busy fleet, of whose requests each twelfth has the guilty part. */
export const BUSY: Scenario = { engines: 10, perSecond: 60, secondParts: 40, guiltyEvery: 12 };
