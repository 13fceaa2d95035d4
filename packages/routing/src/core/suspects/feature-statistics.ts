/** Counts how often requests have each shared feature, and which have run without a crash. */
import type { TimerService } from '@celeryyoke/core';

import type { AnswerRun } from './attempt-ledger.js';
import type { FeatureUse } from './evidence.js';
import type { FeatureTally } from './types.js';

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

/** What one peer has counted. */
interface PeerTally extends FeatureTally {
  /** Monotonic milliseconds. */
  readonly receivedAt: number;
}

/**
 * Use of features in the last half a minute or more, on their routes: requests of one are alike in what they share. Few
 * requests show little, so the counts of peers that have reported crashes are added.
 */
export class FeatureStatistics {
  private current = new Epoch();

  private previous = new Epoch();

  private epochEndsAt: number;

  /** Latest counts of peers, by feature and peer. */
  private readonly peerTallies = new Map<string, Map<string, PeerTally>>();

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

  /** Returns how often this daemon has seen features. */
  talliesOf(features: Iterable<string>): FeatureTally[] {
    return [...features].map((feature) => ({ feature, ...this.ownTally(feature) }));
  }

  /** Takes what a peer has counted in place of what it had told before. */
  mergeTallies(peer: string, tallies: readonly FeatureTally[]): void {
    const receivedAt = this.timers.now();
    for (const tally of tallies) {
      const known = this.peerTallies.get(tally.feature) ?? new Map<string, PeerTally>();
      if (known.size === 0 && this.peerTallies.size >= MAX_FEATURES) continue;
      this.peerTallies.set(tally.feature, known.set(peer, { ...tally, receivedAt }));
    }
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
    const { requests, all } = this.fleetTally(feature);
    return {
      share: Math.min(1, (requests + 1 + Math.sqrt(requests + 1)) / (all + 1)),
      shareAtLeast: Math.max(0, requests - Math.sqrt(requests)) / (all + 1),
      soundRuns: this.soundRunsSince(this.routesOf(feature), since, longestMs, wasRefusedAt),
    };
  }

  private countsOf(feature: string): FeatureCount[] {
    return [this.current, this.previous].flatMap((epoch) => epoch.features.get(feature) ?? []);
  }

  /** Routes on which this daemon has seen a feature; undefined if it has not. */
  private routesOf(feature: string): ReadonlySet<string> | undefined {
    const counts = this.countsOf(feature);
    return counts.length === 0 ? undefined : new Set(counts.flatMap((count) => [...count.routes]));
  }

  private ownTally(feature: string): Omit<FeatureTally, 'feature'> {
    const routes = this.routesOf(feature);
    return {
      requests: this.countsOf(feature).reduce((sum, { requests }) => sum + requests, 0),
      all: this.current.requestsOf(routes) + this.previous.requestsOf(routes),
    };
  }

  /** Adds what peers have counted to the counts of this daemon. */
  private fleetTally(feature: string): Omit<FeatureTally, 'feature'> {
    const oldest = this.timers.now() - 2 * EPOCH_MS;
    const told = [...(this.peerTallies.get(feature)?.values() ?? [])];
    return told
      .filter(({ receivedAt }) => receivedAt >= oldest)
      .reduce(
        (sum, { requests, all }) => ({ requests: sum.requests + requests, all: sum.all + all }),
        this.ownTally(feature),
      );
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
    const oldest = this.timers.now() - 2 * EPOCH_MS;
    for (const [feature, tallies] of this.peerTallies) {
      for (const [peer, { receivedAt }] of tallies) if (receivedAt < oldest) tallies.delete(peer);
      if (tallies.size === 0) this.peerTallies.delete(feature);
    }
    this.epochEndsAt = this.timers.now() + EPOCH_MS;
  }
}
