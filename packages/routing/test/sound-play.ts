/** Plays loads on the virtual clock none of whose requests ends a replica, while replicas end for other reasons. */
import type { DecisionLog } from '@celeryyoke/core';
import { Suspicion } from '@celeryyoke/core';

import type { FollowedAttempt, ReplicaEntry, RequestFingerprints } from '../src/index.js';
import { AttemptEnd, fingerprintsOf, sharedFeatures } from '../src/index.js';
import type { Random } from './orders/random.js';
import { createRandom } from './orders/random.js';
import { SuspectFleet } from './suspect-fleet.js';

/** Time before the first end, and from there to the end of a play, in milliseconds. */
const CALM_MS = 3000;
const FAULT_MS = 5000;
const EVENT_INTERVAL_MS = 100;
const RESTART_MS = 2500;
/** Time from the end of a silent replica until its entry is removed, and until it has started again, in milliseconds. */
const REMOVAL_MS = 3100;
const SILENT_RESTART_MS = 4300;
/** Time without a byte after which a daemon chooses other replicas, in milliseconds. */
const EJECTED_AFTER_MS = 700;
/** Time after its begin at which the caller of a silent answer leaves, in milliseconds beyond its length. */
const CALLER_LEAVES_MS = 2000;
/** Time between two ends of a series, in milliseconds. */
const SERIES_INTERVAL_MS = { from: 100, to: 600 };
/** Delay after which a request that broke comes again, in milliseconds. */
const AGAIN_MS = { from: 5, to: 300 };
/** Share of the requests of a class that go to the replicas that have its part, if the class has such replicas. */
const AFFINITY = 0.8;

/** How replicas end. */
export enum EndPattern {
  Random = 'random',
  Together = 'together',
  InTurn = 'inTurn',
}

/** Largest number of requests a second; more take long to play. */
const MAX_PER_SECOND = 300;
const HOSTS = [8, 20, 45, 69, 78];
const ENDED_SHARES = [0.12, 0.25, 0.5];

/** Requests that share the first part of their prompts. */
interface RequestClass {
  readonly name: string;
  readonly route: string;
  /** Its frequency, relative to that of others. */
  readonly weight: number;
  /** Number of parts in second place. */
  readonly secondParts: number;
  /** Largest time until its answers begin, in milliseconds. */
  readonly prefillMs: number;
  /** Mean length of its answers, in milliseconds. */
  readonly answerMs: number;
  /** Replicas to which most of its requests go; all if there are none. */
  readonly replicas: readonly number[];
  /** Probability that a request that broke comes again. */
  readonly again: number;
  /** Factor of its frequency during its burst. */
  readonly burst: number;
}

/** A load, and how replicas end. */
export interface SoundScenario {
  readonly hosts: number;
  readonly replicas: number;
  readonly perSecond: number;
  readonly classes: readonly RequestClass[];
  readonly pattern: EndPattern;
  readonly isSilent: boolean;
  /** Share of the replicas that end in each series of ends. */
  readonly endedShare: number;
  /** Times of the series, in milliseconds after the calm. */
  readonly seriesAt: readonly number[];
  /** Factor by which the frequency of a class differs from one host to another. */
  readonly hostSpread: number;
}

function drawClass(random: Random, index: number, replicas: number): RequestClass {
  const hasAffinity = random.chance(0.3);
  const first = Math.floor(random.between(0, replicas));
  const count = Math.ceil(replicas * random.between(0.1, 0.4));
  return {
    name: `class${index}`,
    route: random.chance(0.5) ? 'route' : `route${index}`,
    weight: random.between(0.02, 0.6),
    secondParts: random.pick([1, 2, 9, 40]),
    prefillMs: random.pick([60, 300, 1500]),
    answerMs: random.pick([300, 800, 2500]),
    replicas: hasAffinity ? Array.from({ length: count }, (_, offset) => (first + offset) % replicas) : [],
    again: random.pick([0, 0.5, 1]),
    burst: random.chance(0.3) ? random.between(1.5, 3) : 1,
  };
}

/** Draws a scenario without a culprit. */
export function drawScenario(random: Random): SoundScenario {
  const replicas = Math.floor(random.between(30, 101));
  const inFlight = random.between(2, 16);
  const classes = Array.from({ length: random.pick([2, 3, 4, 6]) }, (_, index) =>
    drawClass(random, index, replicas),
  );
  const seconds =
    classes.reduce((sum, one) => sum + one.weight * (one.answerMs + one.prefillMs / 2), 0) / 1000;
  const weight = classes.reduce((sum, one) => sum + one.weight, 0);
  return {
    hosts: random.pick(HOSTS),
    replicas,
    perSecond: Math.min(MAX_PER_SECOND, (inFlight * replicas * weight) / seconds),
    classes,
    pattern: random.pick(Object.values(EndPattern)),
    isSilent: random.chance(0.3),
    endedShare: random.pick(ENDED_SHARES),
    seriesAt: random.pick([[0], [0, 2500], [0, 1000, 2000, 3000]]),
    hostSpread: random.pick([1, 1.5, 3]),
  };
}

interface Run {
  readonly daemon: number;
  readonly request: RequestFingerprints;
  readonly kind: RequestClass;
  readonly attempt: FollowedAttempt;
}

/** Plays a load without a culprit. */
export class SoundPlay {
  readonly fleet: SuspectFleet;

  /** Requests that were refused, by what they share, and by themselves. */
  refusedByPart = 0;

  refusedAlone = 0;

  /** Number of replicas that have ended. */
  ends = 0;

  private readonly runs: Set<Run>[];

  private readonly incarnations: number[];

  private readonly downUntil: number[];

  private readonly silentSince: (number | undefined)[];

  /** Frequencies of the classes at each host. */
  private readonly weights: readonly (readonly number[])[];

  private readonly errors: Error[] = [];

  private number = 0;

  constructor(
    private readonly scenario: SoundScenario,
    private readonly random: Random,
    log?: DecisionLog,
  ) {
    const { hosts, replicas, classes, hostSpread } = scenario;
    this.fleet = new SuspectFleet(hosts, undefined, log);
    this.runs = Array.from({ length: replicas }, () => new Set());
    this.incarnations = this.runs.map(() => 0);
    this.downUntil = this.runs.map(() => 0);
    this.silentSince = this.runs.map(() => undefined);
    this.weights = this.fleet.registries.map(() =>
      classes.map(({ weight }) => weight * hostSpread ** random.between(-1, 1)),
    );
    for (const replica of this.runs.keys()) this.fleet.list(this.idOf(replica));
  }

  async run(): Promise<void> {
    const { timers } = this.fleet;
    const { perSecond, seriesAt } = this.scenario;
    const total = ((CALM_MS + FAULT_MS) * perSecond) / 1000;
    for (let index = 0; index < total; index += 1)
      timers.after((index * 1000) / perSecond, () => this.sendNext());
    for (const at of seriesAt) timers.after(CALM_MS + at, () => this.startSeries[this.scenario.pattern]());
    await timers.advance(CALM_MS + FAULT_MS);
    for (const registry of this.fleet.registries) registry.stop();
    if (this.errors.length > 0) throw this.errors[0]!;
  }

  private readonly startSeries: Readonly<Record<EndPattern, () => void>> = {
    [EndPattern.Random]: () =>
      this.endSome(() => this.random.between(0, FAULT_MS / this.scenario.seriesAt.length)),
    [EndPattern.Together]: () => this.endSome(() => this.random.between(0, 2)),
    [EndPattern.InTurn]: () => {
      let at = 0;
      this.endSome(() => {
        at += this.random.between(SERIES_INTERVAL_MS.from, SERIES_INTERVAL_MS.to);
        return at;
      });
    },
  };

  /** Ends some of the replicas. */
  private endSome(delayMs: () => number): void {
    const { replicas, endedShare } = this.scenario;
    for (let count = 0; count < replicas * endedShare; count += 1)
      this.fleet.timers.after(delayMs(), () => {
        const up = this.replicasUp();
        if (up.length > 1) this.end(this.random.pick(up));
      });
  }

  private isBurst(): boolean {
    return this.fleet.timers.now() >= CALM_MS - 1000 && this.fleet.timers.now() < CALM_MS + 4000;
  }

  private pickClass(host: number): RequestClass {
    const { classes } = this.scenario;
    const weights = classes.map(
      ({ burst }, index) => this.weights[host]![index]! * (this.isBurst() ? burst : 1),
    );
    let draw = this.random.between(
      0,
      weights.reduce((sum, weight) => sum + weight, 0),
    );
    const index = weights.findIndex((weight) => {
      draw -= weight;
      return draw < 0;
    });
    return classes[Math.max(0, index)]!;
  }

  private sendNext(): void {
    const daemon = Math.floor(this.random.between(0, this.scenario.hosts));
    const kind = this.pickClass(daemon);
    this.number += 1;
    // Some second parts are far more frequent than others.
    const second = Math.floor(kind.secondParts * this.random.between(0, 1) ** 2);
    const shared = sharedFeatures([kind.name, `${kind.name} ${second}`], undefined);
    const identity = { account: undefined, method: 'POST', host: 'h', target: `/r${this.number}` };
    this.send(daemon, kind, fingerprintsOf({ ...identity, body: undefined, shared }));
  }

  private send(daemon: number, kind: RequestClass, request: RequestFingerprints): void {
    const registry = this.fleet.registries[daemon]!;
    const suspicion = registry.suspicionOf(() => request);
    if (suspicion === Suspicion.Quarantined) {
      const isAlone = registry.suspicionOf(() => ({ ...request, shared: [] })) === Suspicion.Quarantined;
      if (isAlone) this.refusedAlone += 1;
      else this.refusedByPart += 1;
      return;
    }
    const replica = this.choose(registry, kind, request, suspicion);
    if (replica === undefined) return;
    const attempt = this.fleet.begin(daemon, this.idOf(replica), request, false, kind.route);
    this.answer(replica, { daemon, request, kind, attempt });
  }

  private choose(
    registry: SuspectFleet['registries'][number],
    kind: RequestClass,
    request: RequestFingerprints,
    suspicion: Suspicion,
  ): number | undefined {
    const up = this.replicasUp();
    if (up.length === 0) return undefined;
    if (suspicion !== Suspicion.Clear) {
      const ids = up.map((one) => this.idOf(one));
      const ranks = registry.rankReplicas(request, ids);
      return up.find((one) => ranks.get(this.idOf(one)) === 0);
    }
    const near = kind.replicas.filter((one) => up.includes(one));
    return this.random.pick(near.length > 0 && this.random.chance(AFFINITY) ? near : up);
  }

  private replicasUp(): number[] {
    return [...this.runs.keys()].filter((replica) => !this.isDown(replica));
  }

  private isDown(replica: number): boolean {
    const now = this.fleet.timers.now();
    const silentSince = this.silentSince[replica];
    const isEjected = silentSince !== undefined && now > silentSince + EJECTED_AFTER_MS;
    return isEjected || now < this.downUntil[replica]!;
  }

  private idOf(replica: number): string {
    return `e${replica}.${this.incarnations[replica]}`;
  }

  private answer(replica: number, run: Run): void {
    const { timers } = this.fleet;
    const { kind, attempt, daemon, request } = run;
    const runs = this.runs[replica]!;
    runs.add(run);
    const beginMs = this.random.between(20, kind.prefillMs);
    const lengthMs = kind.answerMs * this.random.between(0.3, 1.7);
    timers.after(beginMs + lengthMs + CALLER_LEAVES_MS, () => {
      if (runs.delete(run)) attempt.end(AttemptEnd.Unanswered, timers.now());
    });
    const isOver = (): boolean => !runs.has(run) || this.silentSince[replica] !== undefined;
    const next = (): void => {
      if (isOver()) return;
      attempt.recordBody(timers.now());
      timers.after(EVENT_INTERVAL_MS, next);
    };
    timers.after(beginMs, next);
    timers.after(beginMs + lengthMs, () => {
      if (isOver()) return;
      runs.delete(run);
      attempt.end(AttemptEnd.Answered, timers.now());
      this.fleet.registries[daemon]!.attemptCompleted(request);
    });
  }

  private end(replica: number): void {
    this.ends += 1;
    const { timers } = this.fleet;
    const id = this.idOf(replica);
    if (this.scenario.isSilent) {
      this.silentSince[replica] = timers.now();
      timers.after(REMOVAL_MS, () => this.fleet.unlist(id));
      this.startAgain(replica, SILENT_RESTART_MS);
      return;
    }
    this.downUntil[replica] = timers.now() + RESTART_MS;
    this.startAgain(replica, RESTART_MS);
    for (const run of this.endRuns(replica))
      this.handleCut(id, run).catch((err: Error) => this.errors.push(err));
  }

  private async handleCut(id: string, run: Run): Promise<void> {
    const { timers, registries } = this.fleet;
    run.attempt.end(AttemptEnd.Unanswered, timers.now());
    await registries[run.daemon]!.attemptCut({ id } as ReplicaEntry);
    this.sendAgain(run);
  }

  /** Has a request that broke come again at any host. */
  private sendAgain({ kind, request }: Run): void {
    if (!this.random.chance(kind.again)) return;
    const daemon = Math.floor(this.random.between(0, this.scenario.hosts));
    this.fleet.timers.after(this.random.between(AGAIN_MS.from, AGAIN_MS.to), () =>
      this.send(daemon, kind, request),
    );
  }

  private endRuns(replica: number): Run[] {
    const cut = [...this.runs[replica]!];
    this.runs[replica]!.clear();
    return cut;
  }

  private startAgain(replica: number, ms: number): void {
    const id = this.idOf(replica);
    const { timers } = this.fleet;
    timers.after(ms, () => {
      this.fleet.unlist(id);
      for (const { attempt } of this.endRuns(replica)) attempt.end(AttemptEnd.Unanswered, timers.now());
      this.incarnations[replica]! += 1;
      this.silentSince[replica] = undefined;
      this.fleet.list(this.idOf(replica));
    });
  }
}

/** Plays the scenario of a seed. */
export async function playSound(seed: number, log?: DecisionLog): Promise<SoundPlay> {
  const random = createRandom(`sound-${seed}`);
  const one = new SoundPlay(drawScenario(random), random, log);
  await one.run();
  return one;
}
