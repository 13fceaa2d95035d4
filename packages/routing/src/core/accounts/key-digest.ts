/** Digests of client keys: daemons store, log and exchange only these, never the keys. */
import { createHash } from 'node:crypto';

/**
 * Digests a key as the client sends it.
 * @returns SHA-256 in base64.
 */
export function digestKey(key: string): string {
  return createHash('sha256').update(key).digest('base64');
}
