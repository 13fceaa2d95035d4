/** Encodes rows about suspects as arrays. Daemons have different clocks, so times are sent as ages. */
import type { SuspectRow } from './types.js';
import { SuspectRowKind } from './types.js';

/** Kind, name, time relative to the sending in milliseconds, reporter, and a list of names. */
export type SuspectFrame = readonly [
  kind: SuspectRowKind,
  name: string,
  ms: number,
  reporter: string,
  names: readonly string[],
];

/**
 * Encodes a row.
 * @param now - Monotonic milliseconds.
 */
export function encodeSuspect(row: SuspectRow, now: number): SuspectFrame {
  const { kind } = row;
  if (kind === SuspectRowKind.Crash)
    return [kind, row.replica, Math.round(now - row.at), row.reporter, row.fingerprints];
  if (kind === SuspectRowKind.Cleared) return [kind, row.fingerprint, Math.round(now - row.at), '', []];
  if (kind === SuspectRowKind.Quarantine)
    return [kind, row.fingerprint, Math.round(row.until - now), '', row.replicas];
  return [kind, row.replica, 0, '', []];
}

type Decoder = (frame: SuspectFrame, now: number) => SuspectRow;

const DECODERS: Readonly<Record<SuspectRowKind, Decoder>> = {
  [SuspectRowKind.Crash]: ([, replica, ageMs, reporter, fingerprints], now) => ({
    kind: SuspectRowKind.Crash,
    replica,
    reporter,
    at: now - ageMs,
    fingerprints,
  }),
  [SuspectRowKind.Cleared]: ([, fingerprint, ageMs], now) => ({
    kind: SuspectRowKind.Cleared,
    fingerprint,
    at: now - ageMs,
  }),
  [SuspectRowKind.Quarantine]: ([, fingerprint, remainingMs, , replicas], now) => ({
    kind: SuspectRowKind.Quarantine,
    fingerprint,
    replicas,
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
