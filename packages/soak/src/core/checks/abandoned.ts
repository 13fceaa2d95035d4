/** Finds requests that daemons left while sound replicas worked on them: silence of a replica is no reason to. */
import type { CallerAttempt } from '../callers/index.js';
import type { Abandonment } from '../replicas/index.js';
import { daemonNameOf } from '../site/index.js';
import type { DaemonCut } from './cuts.js';
import type { DaemonOutage } from './declarations.js';
import { isDisturbed } from './disturbances.js';

/** Time before its deadline from which on a request may be ended for that, in milliseconds. */
const DEADLINE_SLACK_MS = 100;

/**
 * Finds abandoned requests whose callers still waited, at daemons that were not disturbed, and whose connections were
 * not cut.
 */
export function checkAbandoned(
  attempts: readonly CallerAttempt[],
  abandonments: readonly Abandonment[],
  cuts: readonly DaemonCut[],
  outages: readonly DaemonOutage[],
): Abandonment[] {
  const byId = new Map(attempts.map((attempt) => [attempt.id, attempt]));
  return abandonments.filter(({ request, host, at }) => {
    const attempt = byId.get(request);
    if (attempt === undefined || attempt.hasLeft || hasTimedOut(attempt)) return false;
    // A peer may have sent it on for the daemon that its caller asked.
    const daemons = [attempt.daemon, daemonNameOf(`${host}:`)];
    return !daemons.some(
      (daemon) => isDisturbed(daemon, outages, attempt.sentAt, at) || isCut(daemon, cuts, attempt.sentAt, at),
    );
  });
}

function hasTimedOut({ sentAt, limitMs, endedAt = Number.POSITIVE_INFINITY }: CallerAttempt): boolean {
  return endedAt - sentAt >= limitMs - DEADLINE_SLACK_MS;
}

function isCut(daemon: string | undefined, cuts: readonly DaemonCut[], from: number, until: number): boolean {
  return cuts.some(
    (cut) =>
      cut.daemons.some((name) => name === daemon) &&
      cut.from <= until &&
      (cut.until ?? Number.POSITIVE_INFINITY) >= from,
  );
}
