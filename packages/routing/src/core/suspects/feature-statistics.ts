/** Counts how often requests have each shared feature, and which have run without a crash. */
import type { TimerService } from '@celeryyoke/core';

import type { AnswerRun } from './attempt-ledger.js';
import type { FeatureUse } from './evidence.js';

/** Time after which older counts are dropped, in milliseconds; the newest are up to twice as old. */
const EPOCH_MS = 30_000;
/** Largest number of features that are counted in an epoch. */
const MAX_FEATURES = 4096;
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
  return isWhole || livedMs > REFUTING_FACTOR * longestMs + REFUTING_MARGIN_MS;
}

/** Requests with one feature. */
interface FeatureCount {
  requests: number;
  /** Route of the last one. */
  route: string;
}

/** Requests of one epoch. */
class Epoch {
  /** Requests by route. */
  readonly requests = new Map<string, number>();

  readonly features = new Map<string, FeatureCount>();

  count(route: string, features: readonly string[]): void {
    this.requests.set(route, (this.requests.get(route) ?? 0) + 1);
    for (const feature of features) {
      const known = this.features.get(feature);
      if (known !== undefined) Object.assign(known, { requests: known.requests + 1, route });
      else if (this.features.size < MAX_FEATURES) this.features.set(feature, { requests: 1, route });
    }
  }

  /** Requests of a route, or of all of them. */
  requestsOf(route: string | undefined): number {
    if (route !== undefined) return this.requests.get(route) ?? 0;
    return [...this.requests.values()].reduce((sum, count) => sum + count, 0);
  }
}

/** Use of features in the last half a minute or more, by route: requests of one route are alike in what they share. */
export class FeatureStatistics {
  private current = new Epoch();

  private previous = new Epoch();

  private epochEndsAt: number;

  /** Answers that have begun, by route, in the order of their begin. */
  private readonly runs = new Map<string, AnswerRun[]>();

  constructor(private readonly timers: TimerService) {
    this.epochEndsAt = timers.now() + EPOCH_MS;
  }

  /** Counts a request of a caller. */
  countRequest(route: string, features: readonly string[]): void {
    if (this.timers.now() >= this.epochEndsAt) this.startEpoch();
    this.current.count(route, features);
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
   * Returns how often a feature is seen on its route; on all routes if it was not seen yet.
   * @param since - Monotonic time from which on answers that begin count, in milliseconds.
   * @param longestMs - Longest time for which an answer with it had gone on at one of its crashes, in milliseconds.
   */
  useOf(feature: string, since: number, longestMs: number): FeatureUse {
    const counts = [this.current, this.previous].map((epoch) => epoch.features.get(feature));
    const route = counts.find((count) => count !== undefined)?.route;
    const withFeature = counts.reduce((sum, count) => sum + (count?.requests ?? 0), 0);
    const requests = this.current.requestsOf(route) + this.previous.requestsOf(route);
    return {
      share: Math.min(1, (withFeature + 1 + Math.sqrt(withFeature + 1)) / (requests + 1)),
      shareAtLeast: Math.max(0, withFeature - Math.sqrt(withFeature)) / (requests + 1),
      soundRuns: this.soundRunsSince(route, since, longestMs),
    };
  }

  private soundRunsSince(route: string | undefined, since: number, longestMs: number): number {
    let count = 0;
    for (const run of this.runsSince(since))
      if ((route === undefined || run.route === route) && isSoundRun(run, longestMs)) count += 1;
    return count;
  }

  private startEpoch(): void {
    this.previous = this.current;
    this.current = new Epoch();
    this.epochEndsAt = this.timers.now() + EPOCH_MS;
  }
}
