/** How the body of a response is delimited. */
import type { HeaderMap } from './types.js';

/** Statuses whose responses have no body, and so need no length. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Whether a response has a length or comes in chunks; it ends with its connection otherwise. */
export function isFramed(headers: HeaderMap): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Whether a response has a body that only its connection delimits, unless it is one to a HEAD request. */
export function endsWithConnection(status: number, headers: HeaderMap): boolean {
  return !isFramed(headers) && !BODYLESS_STATUSES.has(status);
}
