/** Encodes messages about streams as arrays without field names. */
import type { StreamKey } from './stream-key.js';
import type { OriginRecord, SharedHistory, StreamOrigin } from './types.js';
import { OriginState, UNKNOWN_ORIGIN } from './types.js';

export type OriginRowFrame = readonly [
  request: string,
  attempt: string,
  softwareVersion: string,
  retentionMs: number,
];
export type StreamKeyFrame = readonly [request: string, attempt: string | null];
/** Daemons have different clocks, so ages in milliseconds are sent. */
export type VersionHistoryFrame = readonly [
  /** The time is null if replicas of the version are listed. */
  versions: readonly (readonly [service: string, softwareVersion: string, removedAgoMs: number | null])[],
  knownUntilAgoMs: number | null,
  /** Null if all versions are known that have ever served. */
  knownForMs: number | null,
  fleetStartedAgoMs: number,
  deadlines: readonly (readonly [route: string, account: string | null, longestMs: number])[],
];
export type OriginFrame = readonly [state: OriginState, softwareVersion: string | null];

export function encodeRecord({
  request,
  attempt,
  softwareVersion,
  retentionMs,
}: OriginRecord): OriginRowFrame {
  return [request, attempt, softwareVersion, retentionMs];
}

export function decodeRecord([request, attempt, softwareVersion, retentionMs]: OriginRowFrame): OriginRecord {
  return { request, attempt, softwareVersion, retentionMs };
}

export function encodeKey({ request, attempt }: StreamKey): StreamKeyFrame {
  return [request, attempt ?? null];
}

export function decodeKey([request, attempt]: StreamKeyFrame): StreamKey {
  return { request, attempt: attempt ?? undefined };
}

export function encodeOrigin(origin: StreamOrigin): OriginFrame {
  return [origin.state, origin.state === OriginState.Known ? origin.softwareVersion : null];
}

export function decodeOrigin([state, softwareVersion]: OriginFrame): StreamOrigin {
  if (state !== OriginState.Known) return { state };
  return softwareVersion === null ? UNKNOWN_ORIGIN : { state, softwareVersion };
}

/**
 * Encodes a history.
 * @param now - Monotonic milliseconds.
 */
export function encodeHistory(
  { versions, time, fleetStartedAt, deadlines }: SharedHistory,
  now: number,
): VersionHistoryFrame {
  const knownForMs = time === undefined ? 0 : time.until - time.since;
  return [
    versions.map(({ service, softwareVersion, removedAt }) => [
      service,
      softwareVersion,
      removedAt === undefined ? null : Math.round(now - removedAt),
    ]),
    time === undefined ? null : Math.ceil(now - time.until),
    Number.isFinite(knownForMs) ? Math.floor(knownForMs) : null,
    Math.ceil(now - fleetStartedAt),
    deadlines.map(({ route, account, longestMs }) => [route, account ?? null, longestMs]),
  ];
}

/**
 * Decodes a history; the frame's types are not checked.
 * @param now - Monotonic milliseconds.
 */
export function decodeHistory(
  [versions, untilAgoMs, knownForMs, fleetStartedAgoMs, deadlines]: VersionHistoryFrame,
  now: number,
): SharedHistory {
  const until = now - (untilAgoMs ?? 0);
  const since = until - (knownForMs ?? Number.POSITIVE_INFINITY);
  return {
    versions: versions.map(([service, softwareVersion, agoMs]) => ({
      service,
      softwareVersion,
      removedAt: agoMs === null ? undefined : now - agoMs,
    })),
    time: untilAgoMs === null ? undefined : { since, until },
    fleetStartedAt: now - fleetStartedAgoMs,
    deadlines: deadlines.map(([route, account, longestMs]) => ({
      route,
      account: account ?? undefined,
      longestMs,
    })),
  };
}
