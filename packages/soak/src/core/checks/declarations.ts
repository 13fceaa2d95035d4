/** Checks that daemons heed what replicas declare about themselves: that they leave, and that they want a rest. */
import type { CallerAttempt } from '../callers/index.js';
import type { Arrival, Interruption } from '../replicas/index.js';
import { daemonNameOf, DRAIN_MS } from '../site/index.js';

/**
 * Time after an interruption in which a replica reads what was sent to it meanwhile, in milliseconds: daemons have
 * closed connections whose responses it still writes then.
 */
const BACKLOG_MS = 200;
/** Time after a request to back off in which others may still be on their way, in milliseconds. */
const BACKOFF_GRACE_MS = 500;
/** Requests of one daemon that are tolerated in the rest of a backoff. */
const MAX_IN_BACKOFF = 2;

/** A signal to a daemon, or its start after one: it has forgotten what it was told, or did not run. */
export interface DaemonOutage {
  readonly daemon: string;
  /** Unix milliseconds. */
  readonly at: number;
}

/** Faults that excuse a daemon. */
export interface Excuses {
  readonly outages: readonly DaemonOutage[];
  /** First starts of daemons, which say nothing of what a daemon was told before; none when left out. */
  readonly firstStarts?: readonly DaemonOutage[];
  /** Times in which a replica read nothing, so that requests arrived late. */
  readonly interruptions: readonly Interruption[];
}

/** Requests and orders that one daemon should not have sent to one replica. */
export interface HostViolation {
  readonly daemon: string;
  readonly replica: string;
  /** Ids of the requests; `order` for an order. */
  readonly sent: readonly string[];
  /** Time from the declaration to the last of them, in milliseconds. */
  readonly afterMs: number;
}

/** An arrival, and what caused it. */
interface SentOn {
  readonly daemon: string;
  /** Attempt of the caller; undefined for an order. */
  readonly attempt: CallerAttempt | undefined;
  readonly arrival: Arrival;
}

/**
 * Finds what reached a replica through a daemon that had passed on a response of it that says that it leaves:
 * requests that callers sent, and orders that arrived, later than {@link DRAIN_MS} after.
 */
export function checkLeaving(
  attempts: readonly CallerAttempt[],
  arrivals: readonly Arrival[],
  excuses: Excuses,
): HostViolation[] {
  return byDaemonAndReplica(attempts, arrivals).flatMap((sent) => {
    // A request that another replica refused before also counts among what reached that one.
    const told = sent.flatMap(({ attempt, arrival: { replica } }) =>
      attempt?.toldLeaving?.replica === replica ? attempt.toldLeaving.at : [],
    );
    const late = sent.filter((one) =>
      told.some((at) => sentAt(one) > at + DRAIN_MS && !isExcused(excuses, one, at)),
    );
    return late.length === 0 ? [] : [violation(late, Math.min(...told))];
  });
}

/** Finds backoffs in which a replica got more from the daemon that it had asked than {@link MAX_IN_BACKOFF}. */
export function checkBackoffs(
  attempts: readonly CallerAttempt[],
  arrivals: readonly Arrival[],
  excuses: Excuses,
): HostViolation[] {
  return byDaemonAndReplica(attempts, arrivals).flatMap((sent) =>
    sent.flatMap(({ arrival: { at, retryAfterMs = 0 } }) => {
      const late = sent.filter((one) => {
        const afterMs = one.arrival.at - at;
        return afterMs > BACKOFF_GRACE_MS && afterMs < retryAfterMs && !isExcused(excuses, one, at);
      });
      return late.length > MAX_IN_BACKOFF ? [violation(late, at)] : [];
    }),
  );
}

/** Moment at which something was sent: a request by its caller; an order shows only when it has arrived. */
function sentAt({ attempt, arrival }: SentOn): number {
  return attempt?.sentAt ?? arrival.at;
}

/** Groups what replicas have read by the daemon that sent it and the replica, in order. */
function byDaemonAndReplica(attempts: readonly CallerAttempt[], arrivals: readonly Arrival[]): SentOn[][] {
  const attemptById = new Map(attempts.map((attempt) => [attempt.id, attempt]));
  const groups = new Map<string, SentOn[]>();
  for (const arrival of arrivals) {
    const attempt = attemptById.get(arrival.request);
    const daemon = attempt?.daemon ?? (arrival.holder && daemonNameOf(arrival.holder));
    if (daemon === undefined || arrival.isMisdirected) continue;
    const key = `${daemon} ${arrival.replica}`;
    const group = groups.get(key) ?? [];
    groups.set(key, group);
    group.push({ daemon, attempt, arrival });
  }
  return [...groups.values()];
}

/** Whether a fault explains an arrival after a declaration: at the daemon, or on the path of what came late. */
function isExcused(
  { outages, interruptions }: Excuses,
  { daemon, attempt, arrival }: SentOn,
  declaredAt: number,
): boolean {
  const wasOut = outages.some(
    ({ daemon: name, at }) => name === daemon && at >= declaredAt && at <= arrival.at,
  );
  // When its caller sent a request says enough if that was late already.
  const isSentLate = attempt !== undefined && attempt.sentAt > declaredAt + DRAIN_MS;
  const wasInterrupted = interruptions.some(
    ({ replica, from, until }) =>
      (arrival.replica === replica || arrival.replica.startsWith(`${replica}.`)) &&
      from <= arrival.at &&
      (until ?? Number.POSITIVE_INFINITY) >= declaredAt - BACKLOG_MS,
  );
  return wasOut || (wasInterrupted && !isSentLate);
}

function violation(sent: readonly SentOn[], since: number): HostViolation {
  const { daemon, arrival } = sent.at(-1)!;
  return {
    daemon,
    replica: arrival.replica,
    sent: sent.map(({ attempt }) => attempt?.id ?? 'order'),
    afterMs: arrival.at - since,
  };
}
