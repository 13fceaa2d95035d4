/** Checks streams that go on: each holds events of one software version, and callers can take them up. */
import type { CallerAttempt } from '../callers/index.js';
import type { Interruption, VersionChange } from '../replicas/index.js';
import type { SoakRecord } from './checks.js';
import type { Excuses } from './declarations.js';
import { allDisturbances, isDisturbed } from './disturbances.js';

/** Fewest streams that are taken up from which on they are compared with new ones. */
const MIN_TAKE_UPS = 12;
/** Time around a stream that is taken up in which new ones are compared with it, in milliseconds. */
const AROUND_MS = 1000;
/** Share of the success of new streams that streams that are taken up must reach. */
const MIN_SHARE = 1 / 2;
/** Replicas of its version that must serve for a stream to be counted. */
const MIN_REPLICAS = 2;

/** A stream whose events don't belong together. */
export interface JoinedStream {
  /** Attempts that brought its events, the first one first. */
  readonly attempts: readonly string[];
  readonly versions: readonly string[];
  /** Whether events are missing or come twice. */
  readonly isBroken: boolean;
}

/** How streams fared that callers took up, beside new ones. */
export interface TakeUpFigures {
  readonly wentOn: number;
  readonly takenUp: number;
  /** How many would have gone on if each had fared like the new streams around it. */
  readonly expected: number;
}

/** Finds streams with events of several versions, or with events that are missing or come twice. */
export function checkJoined(attempts: readonly CallerAttempt[]): JoinedStream[] {
  const streams = new Map<string, CallerAttempt[]>();
  for (const attempt of attempts) {
    const first = attempt.resumes ?? attempt.id;
    streams.set(first, [...(streams.get(first) ?? []), attempt]);
  }
  return [...streams.values()]
    .map((parts) => ({
      attempts: parts.map(({ id }) => id),
      versions: [
        ...new Set(parts.flatMap(({ events }) => events.map(({ softwareVersion }) => softwareVersion))),
      ],
      isBroken: parts.some(({ events, lastEventId = 0 }) =>
        events.some(({ id }, index) => id !== lastEventId + 1 + index),
      ),
    }))
    .filter(({ versions, isBroken }) => versions.length > 1 || isBroken);
}

/** Counts streams that callers took up while two replicas of their version served, and new streams. */
export function measureTakeUps(
  { attempts, versionChanges, misbehaviours }: SoakRecord,
  excuses: Excuses,
): TakeUpFigures {
  const byId = new Map(attempts.map((attempt) => [attempt.id, attempt]));
  const troubles = [...excuses.interruptions, ...misbehaviours];
  const disturbances = allDisturbances(excuses);
  const counted = attempts.filter(
    ({ route, daemon, sentAt, endedAt = sentAt }) =>
      route.isResumable && !isDisturbed(daemon, disturbances, sentAt, endedAt),
  );
  const takenUp = counted.filter(({ resumes, sentAt, endedAt = sentAt }) => {
    const version = resumes && byId.get(resumes)?.events[0]?.softwareVersion;
    const isServed = (at: number): boolean =>
      version !== undefined && servingCount(version, at, versionChanges, troubles) >= MIN_REPLICAS;
    return isServed(sentAt) && isServed(endedAt);
  });
  const withEvents = ({ events }: CallerAttempt): boolean => events.length > 0;
  const shares = takenUp.map(({ sentAt }) => {
    const around = counted.filter(
      ({ isFirst, sentAt: otherAt }) => isFirst && Math.abs(otherAt - sentAt) <= AROUND_MS,
    );
    return around.length === 0 ? 0 : around.filter(withEvents).length / around.length;
  });
  return {
    wentOn: takenUp.filter(withEvents).length,
    takenUp: takenUp.length,
    expected: shares.reduce((sum, share) => sum + share, 0),
  };
}

/** Finds out whether streams that are taken up go on far more seldom than new ones begin. */
export function checkTakeUps(figures: TakeUpFigures): TakeUpFigures[] {
  const { wentOn, takenUp, expected } = figures;
  const isLost = takenUp >= MIN_TAKE_UPS && wentOn < expected * MIN_SHARE;
  return isLost ? [figures] : [];
}

/** Number of engines that have a version at a time and treat their requests well. */
function servingCount(
  softwareVersion: string,
  at: number,
  changes: readonly VersionChange[],
  troubles: readonly Interruption[],
): number {
  const versions = new Map<string, string | undefined>();
  for (const change of changes) if (change.at <= at) versions.set(change.replica, change.softwareVersion);
  const isTroubled = (id: string): boolean =>
    troubles.some(
      ({ replica, from, until }) => replica === id && from <= at && (until ?? Number.POSITIVE_INFINITY) >= at,
    );
  return [...versions].filter(([id, version]) => version === softwareVersion && !isTroubled(id)).length;
}
