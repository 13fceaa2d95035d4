/** Translates the headers of a replica's response into those of the response to the caller. */
import type { ServerResponse } from 'node:http';

import { isHopByHop } from '@celeryyoke/core';

import type { HeaderMap } from '../channels/index.js';
import { endsWithConnection } from '../channels/index.js';
import { markForReset } from './response-end.js';

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

/**
 * Writes the head of the response to the caller.
 *
 * Framing belongs to each connection on its own (RFC 9112, section 6). A stream without a length is passed on in chunks where the
 * caller can read them, so that a connection that the system closes does not end it. A body that is buffered whole is passed on
 * without a length if it came so, as nobody can tell then whether the replica has truncated it.
 * @param headers - The replica's headers.
 * @param bodyBytes - Size of a buffered body; undefined for a stream.
 */
export function writeResponseHead(
  res: ServerResponse,
  status: number,
  headers: HeaderMap,
  bodyBytes?: number,
): void {
  if (endsWithConnection(status, headers)) {
    markForReset(res);
    if (bodyBytes !== undefined) {
      res.shouldKeepAlive = false;
      res.removeHeader('transfer-encoding');
    }
    res.writeHead(status, endToEndHeaders(headers));
    return;
  }
  const length = bodyBytes === undefined ? {} : { 'content-length': String(bodyBytes) };
  res.writeHead(status, endToEndHeaders({ ...headers, ...length }));
}
