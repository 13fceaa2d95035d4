/** Encodes messages about streams as arrays without field names. */
import type { OriginRecord, SharedHistory, StreamOrigin } from './types.js';
import { OriginState } from './types.js';

export type OriginRowFrame = readonly [key: string, softwareVersion: string];
/** Daemons have different clocks, so ages in milliseconds are sent. */
export type VersionHistoryFrame = readonly [
  former: readonly (readonly [service: string, softwareVersion: string, removedAgoMs: number])[],
  knownUntilAgoMs: number | null,
  knownForMs: number,
];
export type OriginFrame = readonly [state: OriginState, softwareVersion: string | null];

export function encodeRecord({ key, softwareVersion }: OriginRecord): OriginRowFrame {
  return [key, softwareVersion];
}

export function decodeRecord([key, softwareVersion]: OriginRowFrame): OriginRecord {
  return { key, softwareVersion };
}

export function encodeOrigin(origin: StreamOrigin): OriginFrame {
  return [origin.state, origin.state === OriginState.Known ? origin.softwareVersion : null];
}

export function decodeOrigin([state, softwareVersion]: OriginFrame): StreamOrigin {
  if (state !== OriginState.Known) return { state };
  return softwareVersion === null ? { state: OriginState.Unknown } : { state, softwareVersion };
}

/**
 * Encodes a history.
 * @param now - Monotonic milliseconds.
 */
export function encodeHistory({ former, time }: SharedHistory, now: number): VersionHistoryFrame {
  return [
    former.map(({ service, softwareVersion, removedAt }) => [
      service,
      softwareVersion,
      Math.round(now - removedAt),
    ]),
    time === undefined ? null : Math.ceil(now - time.until),
    time === undefined ? 0 : Math.floor(time.until - time.since),
  ];
}

/**
 * Decodes a history; the frame's types are not checked.
 * @param now - Monotonic milliseconds.
 */
export function decodeHistory(
  [former, untilAgoMs, knownForMs]: VersionHistoryFrame,
  now: number,
): SharedHistory {
  const until = now - (untilAgoMs ?? 0);
  return {
    former: former.map(([service, softwareVersion, agoMs]) => ({
      service,
      softwareVersion,
      removedAt: now - agoMs,
    })),
    time: untilAgoMs === null ? undefined : { since: until - knownForMs, until },
  };
}
