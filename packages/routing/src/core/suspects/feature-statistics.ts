/** Counts how often requests have each shared feature, and which have run without a crash. */
import type { TimerService } from '@celeryyoke/core';

import type { AnswerRun } from './attempt-ledger.js';
import type { FeatureUse } from './evidence.js';

/** Time after which older counts are dropped, in milliseconds; the newest are up to twice as old. */
const EPOCH_MS = 30_000;
/** Largest number of features that are counted in an epoch. */
const MAX_FEATURES = 4096;
/** Largest number of requests of an epoch that are known apart. */
const MAX_REQUESTS = 8192;
/** Largest number of runs that are remembered for each route. */
const MAX_RUNS = 1024;

/**
 * Part of an answer beyond the longest one at a crash with a feature that refutes the feature: what crashes replicas may
 * take longer at one time than at another.
 */
const REFUTING_FACTOR = 2;
const REFUTING_MARGIN_MS = 100;

/**
 * Whether an answer shows that what its request shares crashes no replica: it is whole, or has gone on for far longer.
 * @param longestMs - Longest time for which an answer with the feature had gone on at one of its crashes, in milliseconds.
 */
export function isSoundRun(
  { livedMs, isWhole }: Pick<AnswerRun, 'livedMs' | 'isWhole'>,
  longestMs: number,
): boolean {
  return isWhole || livedMs > refutingMs(longestMs);
}

/** Time for which an answer must go on to refute a feature, in milliseconds. */
function refutingMs(longestMs: number): number {
  return REFUTING_FACTOR * longestMs + REFUTING_MARGIN_MS;
}

/** A request that a replica runs. */
export interface CountedRun {
  /** Name of its route. */
  readonly route: string;
  readonly features: readonly string[];
  /** Its fingerprint. */
  readonly request: string;
}

/** Requests with one feature that replicas have run. */
interface FeatureCount {
  requests: number;
  /** Names of their routes. */
  readonly routes: Set<string>;
}

/** Requests of one epoch that replicas have run, each counted once however often it came. */
class Epoch {
  /** Requests by route. */
  readonly requests = new Map<string, number>();

  readonly features = new Map<string, FeatureCount>();

  private readonly known = new Set<string>();

  count({ route, features, request }: CountedRun): void {
    if (this.known.has(request)) return;
    if (this.known.size < MAX_REQUESTS) this.known.add(request);
    this.requests.set(route, (this.requests.get(route) ?? 0) + 1);
    for (const feature of features) this.countFeature(feature, route);
  }

  private countFeature(feature: string, route: string): void {
    const known = this.features.get(feature);
    if (known !== undefined) {
      known.requests += 1;
      known.routes.add(route);
    } else if (this.features.size < MAX_FEATURES)
      this.features.set(feature, { requests: 1, routes: new Set([route]) });
  }

  /** Requests of some routes, or of all of them. */
  requestsOf(routes: ReadonlySet<string> | undefined): number {
    return [...this.requests].reduce(
      (sum, [route, count]) => (routes === undefined || routes.has(route) ? sum + count : sum),
      0,
    );
  }
}

/** Use of features in the last half a minute or more, on their routes: requests of one are alike in what they share. */
export class FeatureStatistics {
  private current = new Epoch();

  private previous = new Epoch();

  private epochEndsAt: number;

  /** Answers that have begun, by route, in the order of their begin. */
  private readonly runs = new Map<string, AnswerRun[]>();

  constructor(private readonly timers: TimerService) {
    this.epochEndsAt = timers.now() + EPOCH_MS;
  }

  /**
   * Counts a request that a replica runs, not one that is refused: that no answer has what it shares shows nothing, and its
   * caller may send it again and again.
   */
  countRun(run: CountedRun): void {
    if (this.timers.now() >= this.epochEndsAt) this.startEpoch();
    this.current.count(run);
  }

  /** Records an answer that has begun, or goes on; how long it goes on is read when it matters. */
  recordRun(run: AnswerRun): void {
    const runs = this.runs.get(run.route) ?? [];
    this.runs.set(run.route, runs);
    if (run.livedMs > 0) return;
    runs.push(run);
    if (runs.length > MAX_RUNS) runs.shift();
  }

  /**
   * Lists answers that have begun, the newest of each route first.
   * @param since - Monotonic time from which on, in milliseconds.
   */
  *runsSince(since: number): Generator<AnswerRun, void, undefined> {
    for (const runs of this.runs.values())
      for (let index = runs.length - 1; index >= 0 && runs[index]!.beganAt! > since; index -= 1)
        yield runs[index]!;
  }

  /**
   * Returns how often a feature is seen on its routes; on all of them if it was not seen yet.
   * @param since - Monotonic time from which on answers that begin count, in milliseconds.
   * @param longestMs - Longest time for which an answer with it had gone on at one of its crashes, in milliseconds.
   * @param wasRefusedAt - Whether the feature was refused at a monotonic time in milliseconds.
   */
  useOf(
    feature: string,
    since: number,
    longestMs: number,
    wasRefusedAt: (at: number) => boolean = () => false,
  ): FeatureUse {
    const counts = [this.current, this.previous].flatMap((epoch) => epoch.features.get(feature) ?? []);
    const routes = counts.length === 0 ? undefined : new Set(counts.flatMap((count) => [...count.routes]));
    const withFeature = counts.reduce((sum, { requests }) => sum + requests, 0);
    const all = this.current.requestsOf(routes) + this.previous.requestsOf(routes);
    return {
      share: Math.min(1, (withFeature + 1 + Math.sqrt(withFeature + 1)) / (all + 1)),
      shareAtLeast: Math.max(0, withFeature - Math.sqrt(withFeature)) / (all + 1),
      soundRuns: this.soundRunsSince(routes, since, longestMs, wasRefusedAt),
    };
  }

  /**
   * Counts answers in whose place one with a feature would have refuted it. Classes of requests differ in how long their
   * answers take, so an answer counts once any would have gone on for long enough.
   */
  private soundRunsSince(
    routes: ReadonlySet<string> | undefined,
    since: number,
    longestMs: number,
    wasRefusedAt: (at: number) => boolean,
  ): number {
    const latest = this.timers.now() - refutingMs(longestMs);
    const sound = new Set<string>();
    for (const run of this.runsSince(since)) {
      const isOnRoute = routes?.has(run.route) ?? true;
      const isJudged = run.beganAt! <= latest && !wasRefusedAt(run.beganAt!);
      if (isOnRoute && isJudged && isSoundRun(run, longestMs)) sound.add(run.request);
    }
    return sound.size;
  }

  private startEpoch(): void {
    this.previous = this.current;
    this.current = new Epoch();
    this.epochEndsAt = this.timers.now() + EPOCH_MS;
  }
}
