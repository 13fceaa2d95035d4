/** Encodes rows about suspects as arrays. Daemons have different clocks, so times are sent as ages. */
import type { SharedFeature, SuspectRequest } from '@celeryyoke/core';
import { EndCertainty } from '@celeryyoke/core';

import type { SuspectRow } from './types.js';
import { SuspectRowKind } from './types.js';

/** Fingerprint of a request, then each shared feature with what it must differ in, which may be empty. */
type RequestFrame = readonly string[];

/** Ages of a request and of its answer at the sending, in milliseconds; negative if that is not known or has not begun. */
type AgesFrame = readonly [requestMs: number, answerMs: number];

/**
 * Kind, name, time relative to the sending in milliseconds, reporter, a list of names or of requests, the ages of these
 * requests, and how sure the row is.
 */
export type SuspectFrame = readonly [
  kind: SuspectRowKind,
  name: string,
  ms: number,
  reporter: string,
  list: readonly string[] | readonly RequestFrame[],
  ages?: readonly AgesFrame[],
  certainty?: EndCertainty,
];

const UNKNOWN_AGE = -1;
/** What a daemon of an earlier version sends. */
const UNKNOWN_AGES: AgesFrame = [UNKNOWN_AGE, UNKNOWN_AGE];

function encodeRequest({ fingerprint, shared }: SuspectRequest): RequestFrame {
  return [fingerprint, ...shared.flatMap(({ feature, within }) => [feature, within ?? ''])];
}

function encodeAges({ sentAt, beganAt }: SuspectRequest, now: number): AgesFrame {
  const age = (at: number | undefined): number =>
    at === undefined ? UNKNOWN_AGE : Math.max(0, Math.round(now - at));
  return [age(sentAt), age(beganAt)];
}

function decodeRequest(
  frame: RequestFrame | string,
  [sentMs, answerMs]: AgesFrame,
  now: number,
): SuspectRequest {
  // Daemons of an earlier version send fingerprints alone.
  if (typeof frame === 'string') return { fingerprint: frame, shared: [] };
  const [fingerprint = '', ...words] = frame;
  const shared: SharedFeature[] = [];
  for (let index = 0; index < words.length; index += 2) {
    const feature = words[index]!;
    const within = words[index + 1];
    shared.push(within ? { feature, within } : { feature });
  }
  const time = (ms: number): number | undefined => (ms < 0 ? undefined : now - ms);
  return { fingerprint, shared, sentAt: time(sentMs), beganAt: time(answerMs) };
}

/**
 * Encodes a row.
 * @param now - Monotonic milliseconds.
 */
export function encodeSuspect(row: SuspectRow, now: number): SuspectFrame {
  const { kind } = row;
  if (kind === SuspectRowKind.Crash)
    return [
      kind,
      row.replica,
      Math.round(now - row.at),
      row.reporter,
      row.requests.map(encodeRequest),
      row.requests.map((request) => encodeAges(request, now)),
      row.certainty,
    ];
  if (kind === SuspectRowKind.Cleared) return [kind, row.fingerprint, Math.round(now - row.at), '', []];
  if (kind === SuspectRowKind.Quarantine)
    return [
      kind,
      row.fingerprint,
      Math.round(row.until - now),
      '',
      row.replicas,
      [],
      row.isProvisional ? EndCertainty.Presumed : EndCertainty.Confirmed,
    ];
  return [kind, row.replica, 0, '', []];
}

/**
 * Returns a time in the past; one that is stated as future counts as now.
 * @throws TypeError if the age is no number.
 */
function timeAgo(ageMs: number, now: number): number {
  if (!Number.isFinite(ageMs)) throw new TypeError(`The age of a row is no number: ${String(ageMs)}.`);
  return now - Math.max(0, ageMs);
}

type Decoder = (frame: SuspectFrame, now: number) => SuspectRow;

const DECODERS: Readonly<Record<SuspectRowKind, Decoder>> = {
  [SuspectRowKind.Crash]: (
    [, replica, ageMs, reporter, requests, ages = [], certainty = EndCertainty.Confirmed],
    now,
  ) => ({
    kind: SuspectRowKind.Crash,
    replica,
    reporter,
    at: timeAgo(ageMs, now),
    certainty,
    requests: requests.map((request, index) => decodeRequest(request, ages[index] ?? UNKNOWN_AGES, now)),
  }),
  [SuspectRowKind.Cleared]: ([, fingerprint, ageMs], now) => ({
    kind: SuspectRowKind.Cleared,
    fingerprint,
    at: now - ageMs,
  }),
  [SuspectRowKind.Quarantine]: ([, fingerprint, remainingMs, , replicas, , certainty], now) => ({
    kind: SuspectRowKind.Quarantine,
    fingerprint,
    isProvisional: certainty === EndCertainty.Presumed,
    replicas: replicas as readonly string[],
    until: now + remainingMs,
  }),
  [SuspectRowKind.Refuted]: ([, replica]) => ({ kind: SuspectRowKind.Refuted, replica }),
};

/**
 * Decodes a row; the frame's types are not checked.
 * @param now - Monotonic milliseconds.
 */
export function decodeSuspect(frame: SuspectFrame, now: number): SuspectRow {
  return DECODERS[frame[0]](frame, now);
}
