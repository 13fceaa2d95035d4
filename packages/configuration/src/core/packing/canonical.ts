/** Canonical text and its digest, the same on every daemon. */
import { createHash } from 'node:crypto';

/** Hexadecimal digits of a digest: 128 bits of SHA-256. */
export const DIGEST_LENGTH = 32;

function sortKeys(_key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value;
  return Object.fromEntries(Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1)));
}

/**
 * Writes a value as JSON with sorted keys and without spaces; undefined fields are left out.
 * @param value - The value.
 * @returns The text.
 */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, sortKeys);
}

/**
 * Works out the digest of a text.
 * @param text - The text.
 * @returns Thirty-two hexadecimal digits.
 */
export function digestOf(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, DIGEST_LENGTH);
}
