/** Checks that requests under which replicas crash are held back, and that others beside them are not. */
import { ERROR_CATALOGUE } from '@celeryyoke/core';

import type { CallerAttempt } from '../callers/index.js';
import type { Arrival, ReplicaCrash } from '../replicas/index.js';
import { CRASHING_PATH } from '../replicas/index.js';
import type { DaemonOutage } from './declarations.js';
import { isDisturbed, STABLE_MS } from './disturbances.js';

/** Crashes under one request after which it must be held back. */
const CRASHES = 3;
/** The same of requests that share a part of their prompts. */
const CRASHES_OF_PART = 5;
/** Resends that may reach a replica after that. */
const MAX_LATE_RESENDS = 3;

/** A request that reached replicas too often after it had crashed several. */
export interface CrashingViolation {
  /** Path of the request, or the part that requests share. */
  readonly cause: string;
  /** Ids of the attempts that arrived too late. */
  readonly sent: readonly string[];
  readonly crashes: number;
}

/** Whether a path is one of requests that crash replicas. */
export function isCrashingPath(path: string): boolean {
  return path.endsWith(`/${CRASHING_PATH}`);
}

/** What in a request crashes replicas, if anything does. */
type CauseOf = (attempt: CallerAttempt) => string | undefined;

const pathOfCrashing: CauseOf = ({ path }) => (isCrashingPath(path) ? path : undefined);

/** Counts the replicas that crashed under each request, by its path, and under each part of prompts. */
export function countCrashes(
  attempts: readonly CallerAttempt[],
  crashes: readonly ReplicaCrash[],
): Map<string, number> {
  const causeOf: CauseOf = (attempt) => attempt.crashingPart ?? pathOfCrashing(attempt);
  const counts = new Map<string, number>();
  for (const [cause, times] of crashTimes(attempts, crashes, causeOf)) counts.set(cause, times.length);
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
  const sentLate = attempts.filter(
    ({ id, daemon, sentAt }) => arrived.has(id) && !isDisturbed(daemon, outages, sentAt),
  );
  const check = (causeOf: CauseOf, allowedCrashes: number): CrashingViolation[] =>
    [...crashTimes(attempts, crashes, causeOf)].flatMap(([cause, times]) => {
      const knownAt = (times[allowedCrashes - 1] ?? Infinity) + STABLE_MS;
      const sent = sentLate.filter((attempt) => causeOf(attempt) === cause && attempt.sentAt > knownAt);
      return sent.length > MAX_LATE_RESENDS
        ? [{ cause, sent: sent.map(({ id }) => id), crashes: times.length }]
        : [];
    });
  return [...check(pathOfCrashing, CRASHES), ...check(({ crashingPart }) => crashingPart, CRASHES_OF_PART)];
}

/** Finds requests that crash nothing and were refused as if they did. */
export function checkRefusedBeside(attempts: readonly CallerAttempt[]): string[] {
  return attempts
    .filter(({ code }) => code === ERROR_CATALOGUE.Quarantined.code)
    .filter(({ path, crashingPart }) => crashingPart === undefined && !isCrashingPath(path))
    .map(({ id }) => id);
}

/** Times of the crashes by their cause, in order. */
function crashTimes(
  attempts: readonly CallerAttempt[],
  crashes: readonly ReplicaCrash[],
  causeOf: CauseOf,
): Map<string, number[]> {
  const causes = new Map(attempts.map((attempt) => [attempt.id, causeOf(attempt)]));
  const times = new Map<string, number[]>();
  for (const { request, at } of crashes) {
    const cause = causes.get(request);
    if (cause !== undefined) times.set(cause, [...(times.get(cause) ?? []), at]);
  }
  for (const known of times.values()) known.sort((left, right) => left - right);
  return times;
}
