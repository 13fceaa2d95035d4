/** Compact forms of limits and permits between daemons. */
import type { ReplicaLimitRow, SendPermit } from './types.js';

export type LimitFrame = readonly [replica: string, ratePerSecond: number | null, version: number];

export type PermitFrame = readonly [isGranted: boolean, waitMs: number];

/**
 * Encodes a row.
 * @param row - The row.
 * @returns Its compact form.
 */
export function encodeLimit({ replica, ratePerSecond, version }: ReplicaLimitRow): LimitFrame {
  return [replica, ratePerSecond ?? null, version];
}

/**
 * Decodes a row.
 * @param frame - Its compact form.
 * @returns The row.
 */
export function decodeLimit([replica, ratePerSecond, version]: LimitFrame): ReplicaLimitRow {
  return { replica, ratePerSecond: ratePerSecond ?? undefined, version };
}

/**
 * Encodes a permit.
 * @param permit - The permit.
 * @returns Its compact form.
 */
export function encodePermit({ isGranted, waitMs }: SendPermit): PermitFrame {
  return [isGranted, Math.ceil(waitMs)];
}

/**
 * Decodes a permit.
 * @param frame - Its compact form.
 * @returns The permit.
 */
export function decodePermit([isGranted, waitMs]: PermitFrame): SendPermit {
  return { isGranted, waitMs };
}
