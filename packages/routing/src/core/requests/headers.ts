/** The caller's side of a replica's headers. */
import type { ServerResponse } from 'node:http';

import { isHopByHop } from '@celeryyoke/core';

import type { HeaderMap } from '../channels/index.js';

/**
 * Makes the headers of an answer to the caller from the replica's.
 * @param headers - The replica's headers.
 * @returns Names and values by turns, without those of one connection.
 */
export function passedHeaders(headers: HeaderMap): string[] {
  const passed: string[] = [];
  const connection = typeof headers.connection === 'string' ? headers.connection : undefined;
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || isHopByHop(name, connection)) continue;
    if (typeof value === 'string') passed.push(name, value);
    else for (const one of value) passed.push(name, one);
  }
  return passed;
}

/** Statuses whose answers have no body, so that a length is not missed. */
const BODILESS: ReadonlySet<number> = new Set([204, 304]);

/**
 * Begins the caller's answer in the framing of the replica's.
 *
 * A replica's answer without a length ends with its connection, and nobody can tell whether it is whole. The caller
 * gets it in the same form: a length or chunks of our own would vouch for a body that may be short.
 * @param res - The caller's answer.
 * @param status - The replica's status.
 * @param headers - The replica's headers.
 * @param heldBytes - Size of the body when it is held whole; stated only where the replica's answer had a framing.
 */
export function beginAnswer(
  res: ServerResponse,
  status: number,
  headers: HeaderMap,
  heldBytes?: number,
): void {
  const isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  if (!isFramed && !BODILESS.has(status)) {
    res.shouldKeepAlive = false;
    res.removeHeader('transfer-encoding');
    res.writeHead(status, passedHeaders(headers));
    return;
  }
  const length = heldBytes === undefined ? {} : { 'content-length': String(heldBytes) };
  res.writeHead(status, passedHeaders({ ...headers, ...length }));
}
