/** Checks that a request under which replicas crash is held back, and that others beside it are not. */
import { ERROR_CATALOGUE } from '@celeryyoke/core';

import type { CallerAttempt } from '../callers/index.js';
import type { Arrival, ReplicaCrash } from '../replicas/index.js';
import { CRASHING_PATH } from '../replicas/index.js';
import type { DaemonOutage } from './declarations.js';
import { isDisturbed, STABLE_MS } from './disturbances.js';

/** Crashes under one request after which it must be held back. */
const CRASHES = 3;
/** Resends that may reach a replica after that. */
const MAX_LATE_RESENDS = 3;

/** A request that reached replicas too often after it had crashed several. */
export interface CrashingViolation {
  readonly path: string;
  /** Ids of the attempts that arrived too late. */
  readonly sent: readonly string[];
  readonly crashes: number;
}

/** Whether a path is one of requests that crash replicas. */
export function isCrashingPath(path: string): boolean {
  return path.endsWith(`/${CRASHING_PATH}`);
}

/** Counts the replicas that crashed under each request, by its path. */
export function countCrashes(
  attempts: readonly CallerAttempt[],
  crashes: readonly ReplicaCrash[],
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const [path, times] of crashTimes(attempts, crashes)) counts.set(path, times.length);
  return counts;
}

/** Finds requests that reached replicas in more than {@link MAX_LATE_RESENDS} resends after the third crash. */
export function checkCrashing(
  attempts: readonly CallerAttempt[],
  arrivals: readonly Arrival[],
  crashes: readonly ReplicaCrash[],
  outages: readonly DaemonOutage[],
): CrashingViolation[] {
  const arrived = new Set(arrivals.flatMap(({ request, isMisdirected }) => (isMisdirected ? [] : request)));
  const violations: CrashingViolation[] = [];
  for (const [path, times] of crashTimes(attempts, crashes)) {
    const third = times[CRASHES - 1];
    if (third === undefined) continue;
    const sent = attempts.filter(
      (attempt) =>
        attempt.path === path &&
        attempt.sentAt > third + STABLE_MS &&
        arrived.has(attempt.id) &&
        !isDisturbed(attempt.daemon, outages, attempt.sentAt),
    );
    if (sent.length > MAX_LATE_RESENDS)
      violations.push({ path, sent: sent.map(({ id }) => id), crashes: times.length });
  }
  return violations;
}

/** Finds requests that crash nothing and were refused as if they did. */
export function checkRefusedBeside(attempts: readonly CallerAttempt[]): string[] {
  return attempts
    .filter(({ path, code }) => code === ERROR_CATALOGUE.Quarantined.code && !isCrashingPath(path))
    .map(({ id }) => id);
}

/** Times of the crashes under each request, by its path, in order. */
function crashTimes(
  attempts: readonly CallerAttempt[],
  crashes: readonly ReplicaCrash[],
): Map<string, number[]> {
  const pathOf = new Map(attempts.map(({ id, path }) => [id, path]));
  const times = new Map<string, number[]>();
  for (const { request, at } of crashes) {
    const path = pathOf.get(request);
    if (path !== undefined) times.set(path, [...(times.get(path) ?? []), at]);
  }
  for (const known of times.values()) known.sort((left, right) => left - right);
  return times;
}
