/** Checks that brittle replicas don't fall over because daemons send them more than they have room for. */
import type { CallerAttempt } from '../callers/index.js';
import type { ReplicaFall } from '../replicas/index.js';
import type { DaemonOutage } from './declarations.js';
import { isDisturbed } from './disturbances.js';

/** Falls that are allowed in one time, and the share of the replicas that may fall besides. */
const MAX_FALLS = 2;
const MAX_FALLS_SHARE = 0.1;

/** A time in which the replicas of a service say that they are brittle. */
export interface BrittleTime {
  readonly replicas: number;
  /** Unix milliseconds. */
  readonly from: number;
  /** Unix milliseconds; undefined if it lasted to the end. */
  until: number | undefined;
}

/** Replicas that fell over in such a time, if they were too many. */
export interface TooManyFalls {
  readonly falls: readonly string[];
  readonly allowed: number;
}

/** Finds times in which more replicas fell than is allowed, through daemons that were not disturbed. */
export function checkFalls(
  attempts: readonly CallerAttempt[],
  falls: readonly ReplicaFall[],
  times: readonly BrittleTime[],
  outages: readonly DaemonOutage[],
): TooManyFalls[] {
  const attemptById = new Map(attempts.map((attempt) => [attempt.id, attempt]));
  const isOfCalmDaemon = (request: string, at: number): boolean =>
    !isDisturbed(attemptById.get(request)?.daemon, outages, at);
  const counted = falls.filter(
    ({ rejected, at }) =>
      rejected.filter((request) => isOfCalmDaemon(request, at)).length > rejected.length / 2,
  );
  return times.flatMap(({ replicas, from, until = Number.POSITIVE_INFINITY }) => {
    const during = counted.filter(({ at }) => at >= from && at < until).map(({ replica }) => replica);
    const allowed = MAX_FALLS + replicas * MAX_FALLS_SHARE;
    return during.length > allowed ? [{ falls: during, allowed }] : [];
  });
}
