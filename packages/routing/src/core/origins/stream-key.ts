/** Identifies a stream across the requests with which a caller resumes it. */
import { createHash } from 'node:crypto';

const KEY_BYTES = 16;

/** Key of a stream, or of all streams that were asked for in the same words. */
export interface StreamKey {
  /** Fingerprint of the request, which is the same when the stream is resumed. */
  readonly request: string;
  /** Key of the caller's attempt that brought the first event; undefined if the caller does not name it. */
  readonly attempt: string | undefined;
}

/** Key of one stream. */
export interface NamedStreamKey extends StreamKey {
  readonly attempt: string;
}

/**
 * Makes the key of a stream. Callers choose request ids, so the key also covers what they ask for and who they are:
 * no caller can replace the record of another one's stream by sending its id.
 * @param fingerprint - Fingerprint of the request.
 * @param firstAttempt - Id of the caller's attempt that brought the first event.
 * @returns Texts of fixed size, whatever the length of the id.
 */
export function streamKey(fingerprint: string, firstAttempt: string): NamedStreamKey {
  const digest = createHash('sha256').update(`${fingerprint} ${firstAttempt}`).digest();
  return { request: fingerprint, attempt: digest.subarray(0, KEY_BYTES).toString('base64url') };
}
