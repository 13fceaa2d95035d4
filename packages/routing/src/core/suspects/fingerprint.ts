/** Recognizes a request that a caller sends again: its id is another one each time, the rest is the same. */
import { createHash } from 'node:crypto';

/** Digits of a fingerprint, four bits each. */
const FINGERPRINT_DIGITS = 32;

/** What stays the same when a caller sends a request again. */
export interface RequestIdentity {
  /** Name of the client account, or address of the caller where the request has no account. */
  readonly caller: string;
  readonly method: string;
  /** Host without the port. */
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Buffer | undefined;
}

/**
 * Computes the fingerprint of a request. The hash is cryptographic, so that no caller can make a request that
 * has the fingerprint of another caller's.
 * @returns Hexadecimal digits.
 */
export function fingerprintOf({ caller, method, host, target, body }: RequestIdentity): string {
  const hash = createHash('sha256').update(JSON.stringify([caller, method, host, target]));
  if (body !== undefined) hash.update(body);
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS);
}
