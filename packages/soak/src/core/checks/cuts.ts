/** Checks that daemons that are cut off from all replicas serve their callers as the others do. */
import type { CallerAttempt } from '../callers/index.js';
import { CallerOutcome } from '../callers/index.js';
import type { Arrival } from '../replicas/index.js';
import { isCrashingPath } from './crashes.js';
import type { DaemonOutage } from './declarations.js';
import { isDisturbed, STABLE_MS } from './disturbances.js';

/** Share of what the others serve that must be served. */
const MIN_SHARE = 2 / 3;
/** First attempts that may fail in any case, and the share of all of them that may fail besides. */
const MAX_FAILED = 10;
const MAX_FAILED_SHARE = 1 / 50;
const MIN_FAILURE_STATUS = 500;

/** A time in which some daemons were cut off from all replicas. */
export interface DaemonCut {
  readonly daemons: readonly string[];
  /** Unix milliseconds. */
  readonly from: number;
  /** Unix milliseconds; undefined if it lasted to the end. */
  until: number | undefined;
}

/** What callers got in one cut. */
export interface CutFigures {
  readonly daemons: readonly string[];
  /** First attempts that the cut daemons served, of all that they got. */
  readonly served: readonly [served: number, all: number];
  /** The same at the other daemons. */
  readonly servedByOthers: readonly [served: number, all: number];
}

/**
 * Counts what callers got in each cut; what replicas have failed or refused themselves counts nowhere, nor do callers
 * who left.
 */
export function measureCuts(
  attempts: readonly CallerAttempt[],
  arrivals: readonly Arrival[],
  cuts: readonly DaemonCut[],
  outages: readonly DaemonOutage[],
): CutFigures[] {
  const refused = new Set(arrivals.flatMap(({ request, hasRun }) => (hasRun ? [] : request)));
  const first = attempts.filter(
    (attempt) =>
      attempt.isFirst &&
      !isCrashingPath(attempt.path) &&
      !attempt.hasLeft &&
      !hasFailedAtReplica(attempt) &&
      !(attempt.outcome === CallerOutcome.Refused && refused.has(attempt.id)),
  );
  return cuts.map(({ daemons, from, until = Number.POSITIVE_INFINITY }) => {
    // A daemon that is signalled while it has a request is not in touch either.
    const isInTouch = ({ daemon, sentAt, endedAt = sentAt }: CallerAttempt): boolean =>
      !isDisturbed(daemon, outages, sentAt, endedAt);
    const during = first.filter(
      (attempt) => attempt.sentAt >= from + STABLE_MS && attempt.sentAt < until && isInTouch(attempt),
    );
    const isCut = ({ daemon }: CallerAttempt): boolean =>
      cuts.some(
        (cut) =>
          cut.daemons.includes(daemon) && cut.from < until && (cut.until ?? Number.POSITIVE_INFINITY) > from,
      );
    return {
      daemons,
      served: countServed(during.filter(({ daemon }) => daemons.includes(daemon))),
      servedByOthers: countServed(during.filter((attempt) => !isCut(attempt))),
    };
  });
}

/** Finds cuts in which the daemons that were cut off served their callers far worse than the others. */
export function checkCuts(figures: readonly CutFigures[]): CutFigures[] {
  return figures.filter(({ served: [served, all], servedByOthers: [servedByOthers, allOthers] }) => {
    const allowed = MAX_FAILED + (all + allOthers) * MAX_FAILED_SHARE;
    return served * allOthers < servedByOthers * all * MIN_SHARE && all - served > allowed;
  });
}

/** Whether the failure of an attempt is a replica's own response: it says nothing of the path. */
function hasFailedAtReplica({ outcome, status = 0, code }: CallerAttempt): boolean {
  return outcome === CallerOutcome.Failed && status >= MIN_FAILURE_STATUS && code === undefined;
}

function countServed(attempts: readonly CallerAttempt[]): readonly [served: number, all: number] {
  return [attempts.filter(({ outcome }) => outcome === CallerOutcome.Served).length, attempts.length];
}
