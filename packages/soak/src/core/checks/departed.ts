/** Finds requests that reached replicas long after their callers had closed the connection. */
import type { CallerAttempt } from '../callers/index.js';
import type { Arrival, Interruption } from '../replicas/index.js';
import type { DaemonCut } from './cuts.js';
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

/** What excuses a late arrival. */
export interface DepartureExcuses {
  /** Signals to daemons and their starts. */
  readonly outages?: readonly DaemonOutage[];
  /** Times in which daemons were cut off from all replicas: what they had sent arrives when that ends. */
  readonly cuts?: readonly DaemonCut[];
  /** Times in which replicas read nothing. */
  readonly interruptions?: readonly Interruption[];
}

/** Lists all such requests that nothing excuses. */
export function listDeparted(
  attempts: readonly CallerAttempt[],
  arrivals: readonly Arrival[],
  { outages = [], cuts = [], interruptions = [] }: DepartureExcuses = {},
): DepartedRequest[] {
  const left = new Map(attempts.filter(({ hasLeft }) => hasLeft).map((attempt) => [attempt.id, attempt]));
  return arrivals.flatMap(({ request, replica, at }) => {
    const { daemon, endedAt = at, sentAt = at } = left.get(request) ?? {};
    if (daemon === undefined || at - endedAt <= GRACE_MS) return [];
    const isDuring = ({ from, until = Infinity }: { from: number; until: number | undefined }): boolean =>
      from <= at && until >= sentAt;
    const [name] = replica.split('.');
    const isExcused =
      isDisturbed(daemon, outages, sentAt, at) ||
      cuts.some((cut) => cut.daemons.includes(daemon) && isDuring(cut)) ||
      interruptions.some((interruption) => interruption.replica === name && isDuring(interruption));
    return isExcused ? [] : [{ request, daemon, afterMs: at - endedAt }];
  });
}

/** Returns {@link listDeparted} if these are more than a few. */
export function checkDeparted(...record: Parameters<typeof listDeparted>): DepartedRequest[] {
  const departed = listDeparted(...record);
  return departed.length > MAX_LATE ? departed : [];
}
