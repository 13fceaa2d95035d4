/** Writes answers that are made here: JSON bodies and errors in OpenAI's shape. */
import type { ServerResponse } from 'node:http';

import type { CeleryyokeError } from '@celeryyoke/core';
import { RunState } from '@celeryyoke/core';

import { CODE, RUN } from './headers.js';

/** When to come back if an error that may pass gives no time of its own, in seconds. */
const DEFAULT_RETRY_AFTER_S = 1;

/** Statuses after which the same request may succeed later. */
const PASSING_STATUSES = new Set([429, 503]);

const CONFLICT = 409;

/** OpenAI's names of error types by status; other statuses below 500 are invalid requests. */
const TYPES: Readonly<Record<number, string>> = {
  401: 'authentication_error',
  429: 'rate_limit_error',
};

/** An error as callers see it. */
export interface ErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly param: null;
    /** Number of the result code, as text because clients of this API expect text here. */
    readonly code: string;
    /** Name of the result code. */
    readonly name: string;
    /** `not-run` when it is proved that the request did not run, `unknown` otherwise. */
    readonly run: RunState;
    readonly hint: string;
    readonly request_id?: string;
  };
}

function runOf(err: CeleryyokeError): RunState {
  return err.isNotRun ? RunState.NotRun : RunState.Unknown;
}

function typeOf(status: number): string {
  return TYPES[status] ?? (status < 500 ? 'invalid_request_error' : 'server_error');
}

/**
 * Makes the body of an error answer.
 * @param err - The error.
 * @param requestId - Id of the request, when there is one.
 * @returns The body.
 */
export function errorBody(err: CeleryyokeError, requestId?: string): ErrorBody {
  const { code, hint, status } = err.entry;
  return {
    error: {
      message: err.message,
      type: typeOf(status),
      param: null,
      code: String(code),
      name: err.kind,
      run: runOf(err),
      hint,
      ...(requestId === undefined ? {} : { request_id: requestId }),
    },
  };
}

/**
 * Makes the headers that tell of an error.
 * @param err - The error.
 * @returns Header names and values.
 */
export function errorHeaders(err: CeleryyokeError): Record<string, string> {
  const headers: Record<string, string> = { [CODE]: String(err.code), [RUN]: runOf(err) };
  // Published clients send a 409 again by themselves, which can't help where a key was used up.
  if (err.entry.status === CONFLICT) headers['x-should-retry'] = 'false';
  const isPassing = PASSING_STATUSES.has(err.entry.status);
  const retryAfter = err.retryAfter ?? (isPassing ? DEFAULT_RETRY_AFTER_S : undefined);
  if (retryAfter !== undefined) headers['retry-after'] = String(Math.max(1, Math.ceil(retryAfter)));
  return headers;
}

/**
 * Writes a whole JSON answer.
 * @param res - Where to.
 * @param status - HTTP status.
 * @param value - What is written as JSON.
 * @param headers - Further headers.
 */
export function writeJson(
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const body = Buffer.from(JSON.stringify(value));
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length, ...headers });
  res.end(body);
}

/**
 * Writes an error as the whole answer.
 * @param res - Where to; its head must not have gone out.
 * @param err - The error.
 * @param requestId - Id of the request, when there is one.
 */
export function writeError(res: ServerResponse, err: CeleryyokeError, requestId?: string): void {
  writeJson(res, err.entry.status, errorBody(err, requestId), errorHeaders(err));
}

/**
 * Ends a stream that can't be completed: an explicit error event, and no closing event.
 * @param res - The stream.
 * @param err - The error.
 * @param requestId - Id of the request.
 */
export function endStreamWithError(res: ServerResponse, err: CeleryyokeError, requestId: string): void {
  res.end(`event: error\ndata: ${JSON.stringify(errorBody(err, requestId))}\n\n`);
}
