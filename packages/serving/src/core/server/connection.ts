/** Answers what the HTTP parser refuses, so that bad bytes get a numbered error and disturb nobody else. */
import type { Socket } from 'node:net';

import type { ErrorName } from '@celeryyoke/core';
import { CeleryyokeError } from '@celeryyoke/core';

import { errorBody, errorHeaders } from '../results/index.js';

const REASON_PHRASES: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  408: 'Request Timeout',
  431: 'Request Header Fields Too Large',
};

const KINDS: Readonly<Record<string, ErrorName>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 'RequestTimeout',
  HPE_HEADER_OVERFLOW: 'HeadersTooLarge',
};

function toError(err: NodeJS.ErrnoException): CeleryyokeError {
  const kind = KINDS[err.code ?? ''];
  if (kind !== undefined) return new CeleryyokeError(kind);
  return new CeleryyokeError('RequestInvalid', { reason: 'it is not HTTP' }, { cause: err });
}

/**
 * Answers a connection whose bytes are no request, and closes it.
 * @param err - What the parser says.
 * @param socket - The connection.
 */
export function refuseConnection(err: NodeJS.ErrnoException, socket: Socket): void {
  if (err.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const refusal = toError(err);
  const { status } = refusal.entry;
  const body = JSON.stringify(errorBody(refusal));
  const headers = {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
    connection: 'close',
    ...errorHeaders(refusal),
  };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.end(`HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? ''}\r\n${lines.join('')}\r\n${body}`);
}
