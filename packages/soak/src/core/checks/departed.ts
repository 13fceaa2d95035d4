/** Finds requests that reached replicas long after their callers had closed the connection. */
import type { CallerAttempt } from '../callers/index.js';
import type { Arrival } from '../replicas/index.js';
import type { DaemonOutage } from './declarations.js';
import { isDisturbed } from './disturbances.js';

/** Time after its caller's close from which on a request must not reach a replica, in milliseconds. */
const GRACE_MS = 500;
/** Such requests that are tolerated in a run. */
const MAX_LATE = 3;

/** A request that reached a replica although its caller had left. */
export interface DepartedRequest {
  readonly request: string;
  readonly daemon: string;
  /** Time from the close to the arrival, in milliseconds. */
  readonly afterMs: number;
}

/** Lists all such requests of daemons that were not disturbed. */
export function listDeparted(
  attempts: readonly CallerAttempt[],
  arrivals: readonly Arrival[],
  outages: readonly DaemonOutage[],
): DepartedRequest[] {
  const left = new Map(attempts.filter(({ hasLeft }) => hasLeft).map((attempt) => [attempt.id, attempt]));
  return arrivals.flatMap(({ request, at }) => {
    const { daemon, endedAt = at, sentAt } = left.get(request) ?? {};
    if (daemon === undefined || at - endedAt <= GRACE_MS || isDisturbed(daemon, outages, sentAt!, at))
      return [];
    return [{ request, daemon, afterMs: at - endedAt }];
  });
}

/** Returns {@link listDeparted} if these are more than a few. */
export function checkDeparted(...record: Parameters<typeof listDeparted>): DepartedRequest[] {
  const departed = listDeparted(...record);
  return departed.length > MAX_LATE ? departed : [];
}
