/** Encodes rows about suspects as arrays. Daemons have different clocks, so times are sent as ages. */
import type { SharedFeature, SuspectRequest } from '@celeryyoke/core';

import type { SuspectRow } from './types.js';
import { SuspectRowKind } from './types.js';

/** Fingerprint of a request, then each shared feature with what it must differ in, which may be empty. */
type RequestFrame = readonly string[];

/** Age of a request's answer at the sending, in milliseconds; negative if it had not begun. */
type AnswerAge = number;

/**
 * Kind, name, time relative to the sending in milliseconds, reporter, a list of names or of requests, and the ages of
 * the answers to these requests.
 */
export type SuspectFrame = readonly [
  kind: SuspectRowKind,
  name: string,
  ms: number,
  reporter: string,
  list: readonly string[] | readonly RequestFrame[],
  ages?: readonly AnswerAge[],
];

const NOT_BEGUN: AnswerAge = -1;

function encodeRequest({ fingerprint, shared }: SuspectRequest): RequestFrame {
  return [fingerprint, ...shared.flatMap(({ feature, within }) => [feature, within ?? ''])];
}

function encodeAge({ beganAt }: SuspectRequest, now: number): AnswerAge {
  return beganAt === undefined ? NOT_BEGUN : Math.max(0, Math.round(now - beganAt));
}

function decodeRequest(frame: RequestFrame | string, age: AnswerAge, now: number): SuspectRequest {
  // Daemons of an earlier version send fingerprints alone.
  if (typeof frame === 'string') return { fingerprint: frame, shared: [] };
  const [fingerprint = '', ...words] = frame;
  const shared: SharedFeature[] = [];
  for (let index = 0; index < words.length; index += 2) {
    const feature = words[index]!;
    const within = words[index + 1];
    shared.push(within ? { feature, within } : { feature });
  }
  return age < 0 ? { fingerprint, shared } : { fingerprint, shared, beganAt: now - age };
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
      row.requests.map((request) => encodeAge(request, now)),
    ];
  if (kind === SuspectRowKind.Cleared) return [kind, row.fingerprint, Math.round(now - row.at), '', []];
  if (kind === SuspectRowKind.Quarantine)
    return [kind, row.fingerprint, Math.round(row.until - now), '', row.replicas];
  return [kind, row.replica, 0, '', []];
}

type Decoder = (frame: SuspectFrame, now: number) => SuspectRow;

const DECODERS: Readonly<Record<SuspectRowKind, Decoder>> = {
  [SuspectRowKind.Crash]: ([, replica, ageMs, reporter, requests, ages = []], now) => ({
    kind: SuspectRowKind.Crash,
    replica,
    reporter,
    at: now - ageMs,
    requests: requests.map((request, index) => decodeRequest(request, ages[index] ?? NOT_BEGUN, now)),
  }),
  [SuspectRowKind.Cleared]: ([, fingerprint, ageMs], now) => ({
    kind: SuspectRowKind.Cleared,
    fingerprint,
    at: now - ageMs,
  }),
  [SuspectRowKind.Quarantine]: ([, fingerprint, remainingMs, , replicas], now) => ({
    kind: SuspectRowKind.Quarantine,
    fingerprint,
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
