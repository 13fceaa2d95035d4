/** Checks that daemons heed what replicas declare about themselves: that they leave, and that they want a rest. */
import type { CallerAttempt } from '../callers/index.js';
import type { Arrival, Interruption } from '../replicas/index.js';
import { DRAIN_MS } from '../site/index.js';

/** Time after a request to back off in which others may still be on their way, in milliseconds. */
const BACKOFF_GRACE_MS = 500;
/** Requests of one daemon that are tolerated in the rest of a backoff. */
const MAX_IN_BACKOFF = 2;

/** A signal that was sent to a daemon: it has forgotten what it was told, or did not run. */
export interface DaemonSignal {
  readonly daemon: string;
  /** Unix milliseconds. */
  readonly at: number;
}

/** Faults that excuse a daemon. */
export interface Excuses {
  readonly signals: readonly DaemonSignal[];
  /** Times in which a replica read nothing, so that requests arrived late. */
  readonly interruptions: readonly Interruption[];
}

/** Requests that one daemon should not have sent to one replica. */
export interface HostViolation {
  readonly daemon: string;
  readonly replica: string;
  /** Ids of the requests. */
  readonly requests: readonly string[];
  /** Time from the declaration to the last of them, in milliseconds. */
  readonly afterMs: number;
}

/** An arrival and the attempt of the caller that caused it. */
interface SentOn {
  readonly attempt: CallerAttempt;
  readonly arrival: Arrival;
}

/**
 * Finds requests that callers sent later than {@link DRAIN_MS} after a daemon had passed on a response that says
 * that its replica leaves, and that reached that replica through the same daemon.
 */
export function checkLeaving(
  attempts: readonly CallerAttempt[],
  arrivals: readonly Arrival[],
  { signals }: Excuses,
): HostViolation[] {
  return byDaemonAndReplica(attempts, arrivals).flatMap((sent) => {
    const told = sent.flatMap(({ attempt: { toldLeavingAt } }) => toldLeavingAt ?? []);
    const late = sent.filter(({ attempt: { daemon, sentAt }, arrival }) =>
      told.some((at) => sentAt > at + DRAIN_MS && !wasSignalled(signals, daemon, at, arrival.at)),
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
    sent.flatMap(({ attempt: { daemon }, arrival: { at, replica, retryAfterMs = 0 } }) => {
      const late = sent.filter(({ arrival }) => {
        const afterMs = arrival.at - at;
        const isInBackoff = afterMs > BACKOFF_GRACE_MS && afterMs < retryAfterMs;
        return isInBackoff && !isExcused(excuses, daemon, replica, at, arrival.at);
      });
      return late.length > MAX_IN_BACKOFF ? [violation(late, at)] : [];
    }),
  );
}

/** Groups the requests that replicas have read by the daemon that sent them on and the replica, in order. */
function byDaemonAndReplica(attempts: readonly CallerAttempt[], arrivals: readonly Arrival[]): SentOn[][] {
  const byId = new Map(attempts.map((attempt) => [attempt.id, attempt]));
  const groups = new Map<string, SentOn[]>();
  for (const arrival of arrivals) {
    const attempt = byId.get(arrival.request);
    if (attempt === undefined || arrival.isMisdirected) continue;
    const key = `${attempt.daemon} ${arrival.replica}`;
    const group = groups.get(key) ?? [];
    groups.set(key, group);
    group.push({ attempt, arrival });
  }
  return [...groups.values()];
}

function isExcused(
  { signals, interruptions }: Excuses,
  daemon: string,
  replica: string,
  from: number,
  until: number,
): boolean {
  const wasInterrupted = interruptions.some(
    (time) =>
      (replica === time.replica || replica.startsWith(`${time.replica}.`)) &&
      time.from <= until &&
      (time.until ?? Number.POSITIVE_INFINITY) >= from,
  );
  return wasInterrupted || wasSignalled(signals, daemon, from, until);
}

function wasSignalled(
  signals: readonly DaemonSignal[],
  daemon: string,
  from: number,
  until: number,
): boolean {
  return signals.some((signal) => signal.daemon === daemon && signal.at >= from && signal.at <= until);
}

function violation(sent: readonly SentOn[], since: number): HostViolation {
  const last = sent.at(-1)!;
  return {
    daemon: last.attempt.daemon,
    replica: last.arrival.replica,
    requests: sent.map(({ attempt }) => attempt.id),
    afterMs: last.arrival.at - since,
  };
}
