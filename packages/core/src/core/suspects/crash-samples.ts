/** What was in flight at crashes, by what requests share and by how long their answers had gone on. */
import type { Crash } from './crash-log.js';
import type { FeatureSample, SuspectRequest } from './types.js';

/** Difference by which the ages of answers at several crashes may be off, in milliseconds. */
const AGE_MARGIN_MS = 50;

/** Time after the end of an upstream at which a request may have been sent and still reach it, in milliseconds. */
const SENT_MARGIN_MS = 150;

/** Requests with one feature at a crash. */
interface FeatureEntry {
  /** Times for which their answers had gone on, in milliseconds. */
  readonly agesMs: number[];
  /** In what they differ. */
  readonly variants: Set<string>;
}

/** Requests in flight at a crash that share anything. */
interface CrashIndex {
  /** Times for which their answers had gone on, in milliseconds, sorted. */
  readonly agesMs: readonly number[];
  /** Longest time for which any answer had gone on, in milliseconds. */
  readonly oldestMs: number;
  readonly byFeature: ReadonlyMap<string, FeatureEntry>;
}

const EMPTY: FeatureEntry = { agesMs: [], variants: new Set() };

/** Indexes are made when they are needed, as features are weighed far more often than crashes change. */
const indexes = new WeakMap<Crash, CrashIndex>();

/** Drops what is derived from a crash; to be called when it changes. */
export function dropIndex(crash: Crash): void {
  indexes.delete(crash);
}

function indexOf(crash: Crash): CrashIndex {
  const known = indexes.get(crash);
  if (known !== undefined) return known;
  const index = createIndex(crash);
  indexes.set(crash, index);
  return index;
}

function createIndex(crash: Crash): CrashIndex {
  const byFeature = new Map<string, FeatureEntry>();
  const agesMs: number[] = [];
  for (const request of candidates(crash)) {
    const ageMs = answeredMs(request, crash);
    if (request.shared.length > 0) agesMs.push(ageMs);
    for (const { feature, within = request.fingerprint } of request.shared) {
      const entry = byFeature.get(feature) ?? { agesMs: [], variants: new Set() };
      byFeature.set(feature, entry);
      entry.agesMs.push(ageMs);
      entry.variants.add(within);
    }
  }
  const allMs = [...crash.requests.values()].map((request) => answeredMs(request, crash));
  return { agesMs: agesMs.sort((left, right) => left - right), oldestMs: Math.max(0, ...allMs), byFeature };
}

/** Time for which the answer to a request had gone on at a crash, in milliseconds. */
function answeredMs({ beganAt }: SuspectRequest, { at }: Crash): number {
  return beganAt === undefined ? 0 : Math.max(0, at - beganAt);
}

/** Requests that a crash may be due to: one that was sent later has not reached the upstream. */
function candidates(crash: Crash): SuspectRequest[] {
  return [...crash.requests.values()].filter(({ sentAt = crash.at }) => sentAt <= crash.at + SENT_MARGIN_MS);
}

function entryOf(crash: Crash, feature: string): FeatureEntry {
  return indexOf(crash).byFeature.get(feature) ?? EMPTY;
}

/** Whether a request with a feature was in flight at a crash. */
export function wasInFlight(crash: Crash, feature: string): boolean {
  return entryOf(crash, feature).agesMs.length > 0;
}

/** In what the requests with a feature differ at a crash. */
export function variantsAt(crash: Crash, feature: string): Iterable<string> {
  return entryOf(crash, feature).variants;
}

/** Longest time for which an answer with a feature had gone on at a crash, in milliseconds. */
export function longestAnswerMs(crash: Crash, feature: string): number {
  return Math.max(0, ...entryOf(crash, feature).agesMs);
}

/** Requests in flight at a crash that share anything. */
export function sampleOf(crash: Crash, feature: string): FeatureSample {
  return {
    requests: indexOf(crash).agesMs.length,
    withFeature: entryOf(crash, feature).agesMs.length,
  };
}

/** The same, of requests whose answers had gone on for a time in a range. */
function sampleInRange(crash: Crash, feature: string, fromMs: number, toMs: number): FeatureSample {
  const count = (agesMs: readonly number[]): number =>
    agesMs.filter((ms) => ms >= fromMs && ms <= toMs).length;
  return {
    requests: count(indexOf(crash).agesMs),
    withFeature: count(entryOf(crash, feature).agesMs),
  };
}

function sum(samples: readonly FeatureSample[]): FeatureSample {
  return {
    requests: samples.reduce((total, { requests }) => total + requests, 0),
    withFeature: samples.reduce((total, { withFeature }) => total + withFeature, 0),
  };
}

/**
 * Lists ranges of ages in which the oldest answer with a feature was at all its crashes: all younger ones, and those
 * about as old, as what causes crashes does so about as long after an answer begins.
 * @param groups - Crashes, those together that count as one; a request with the feature was in flight in each group.
 */
export function ageRanges(
  groups: readonly (readonly Crash[])[],
  feature: string,
): { choices: number; inFlight: FeatureSample[] }[] {
  const crashes = groups.flat();
  const ages = crashes
    .filter((crash) => wasInFlight(crash, feature))
    .map((crash) => longestAnswerMs(crash, feature));
  const fromMs = Math.max(0, Math.min(...ages) - AGE_MARGIN_MS);
  const toMs = Math.max(...ages) + AGE_MARGIN_MS;
  const oldestMs = Math.max(...crashes.map((crash) => indexOf(crash).oldestMs));
  const samples = (from: number, to: number): FeatureSample[] =>
    groups.map((group) => sum(group.map((crash) => sampleInRange(crash, feature, from, to))));
  return [
    { choices: 1, inFlight: samples(0, Math.max(...ages)) },
    { choices: 1 + oldestMs / (toMs - fromMs), inFlight: samples(fromMs, toMs) },
  ];
}

/** Orders crashes by how much they speak for a feature, those first that do so the most. */
export function compareEvidence(left: FeatureSample, right: FeatureSample): number {
  return left.requests * right.withFeature - right.requests * left.withFeature;
}
