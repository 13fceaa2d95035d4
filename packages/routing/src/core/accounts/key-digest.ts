/** Digests of keys, so that no part of a daemon, its logs or its peers holds a key. */
import { createHash } from 'node:crypto';

/**
 * Digests a key.
 * @param key - The key as the client sends it.
 * @returns SHA-256 in base64.
 */
export function digestKey(key: string): string {
  return createHash('sha256').update(key).digest('base64');
}
