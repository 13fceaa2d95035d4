/** Translates the headers of a replica's response into those of the response to the caller. */
import type { ServerResponse } from 'node:http';

import { isHopByHop } from '@celeryyoke/core';

import type { HeaderMap } from '../channels/index.js';
import { isFramed } from '../channels/index.js';
import { markWithoutLength } from './response-end.js';

/**
 * Returns all headers but the hop-by-hop ones.
 * @param headers - The replica's headers.
 * @returns Alternating names and values.
 */
export function endToEndHeaders(headers: HeaderMap): string[] {
  const forwarded: string[] = [];
  const connection = typeof headers.connection === 'string' ? headers.connection : undefined;
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || isHopByHop(name, connection)) continue;
    if (typeof value === 'string') forwarded.push(name, value);
    else for (const item of value) forwarded.push(name, item);
  }
  return forwarded;
}

/** Statuses whose responses have no body, and so need no length. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Writes the head of the response to the caller, framed as the replica's response was.
 *
 * A response without a length ends when its connection closes, so nobody can tell whether it is complete. It
 * is passed on in the same form: with a content length or chunked encoding added here, a truncated body would
 * look complete.
 * @param headers - The replica's headers.
 * @param bodyBytes - Size of a buffered body; not sent if the replica's response had a body of unknown length.
 */
export function writeResponseHead(
  res: ServerResponse,
  status: number,
  headers: HeaderMap,
  bodyBytes?: number,
): void {
  if (!isFramed(headers) && !BODYLESS_STATUSES.has(status)) {
    markWithoutLength(res);
    res.shouldKeepAlive = false;
    res.removeHeader('transfer-encoding');
    res.writeHead(status, endToEndHeaders(headers));
    return;
  }
  const length = bodyBytes === undefined ? {} : { 'content-length': String(bodyBytes) };
  res.writeHead(status, endToEndHeaders({ ...headers, ...length }));
}
