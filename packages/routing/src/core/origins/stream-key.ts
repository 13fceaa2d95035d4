/** Identifies a stream across the requests with which a caller resumes it. */
import { createHash } from 'node:crypto';

const KEY_BYTES = 16;

/**
 * Makes the key of a stream. Callers choose request ids, so the key also covers what they ask for and who they are:
 * no caller can replace the record of another one's stream by sending its id.
 * @param fingerprint - Fingerprint of the request, which is the same when the stream is resumed.
 * @param firstAttempt - Id of the caller's attempt that brought the first event.
 * @returns Text of fixed size, whatever the length of the id.
 */
export function streamKey(fingerprint: string, firstAttempt: string): string {
  const digest = createHash('sha256').update(`${fingerprint} ${firstAttempt}`).digest();
  return digest.subarray(0, KEY_BYTES).toString('base64url');
}
