/** Encodes limits and permits as arrays without field names for messages between daemons. */
import type { ReplicaLimitRow, AttemptPermit } from './types.js';

export type LimitFrame = readonly [replica: string, ratePerSecond: number | null, version: number];

export type PermitFrame = readonly [isGranted: boolean, waitMs: number];

/** Encodes the limit of a replica, with null for an undefined rate. */
export function encodeLimit({ replica, ratePerSecond, version }: ReplicaLimitRow): LimitFrame {
  return [replica, ratePerSecond ?? null, version];
}

/** Decodes the limit of a replica. */
export function decodeLimit([replica, ratePerSecond, version]: LimitFrame): ReplicaLimitRow {
  return { replica, ratePerSecond: ratePerSecond ?? undefined, version };
}

/** Encodes a permit, with its wait rounded up to whole milliseconds. */
export function encodePermit({ isGranted, waitMs }: AttemptPermit): PermitFrame {
  return [isGranted, Math.ceil(waitMs)];
}

/** Decodes a permit. */
export function decodePermit([isGranted, waitMs]: PermitFrame): AttemptPermit {
  return { isGranted, waitMs };
}
