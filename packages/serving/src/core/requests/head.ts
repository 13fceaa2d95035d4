/** Reads what the head of a request says: who calls, how urgent it is, how long it may take. */
import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';

import type { CallerConfig, ConfigSnapshot } from '@celeryyoke/configuration';
import { CeleryyokeError } from '@celeryyoke/core';

import { headerNames } from '../results/index.js';

const BEARER = /^Bearer +(\S+)$/i;
const WHOLE_NUMBER = /^-?\d{1,9}$/;
/** A day; longer times are mistakes. */
const LONGEST_TIMEOUT_MS = 86_400_000;
const HIGHEST_PRIORITY = 1000;

/**
 * Finds the caller by the SHA-256 of its key.
 * @param headers - The request's headers.
 * @param snapshot - Declares the callers.
 * @returns The caller.
 * @throws CeleryyokeError CallerUnknown.
 */
export function identifyCaller(headers: IncomingHttpHeaders, snapshot: ConfigSnapshot): CallerConfig {
  const key = BEARER.exec(headers.authorization ?? '')?.[1];
  if (key === undefined) throw new CeleryyokeError('CallerUnknown');
  const caller = snapshot.callerByKey(createHash('sha256').update(key).digest('hex'));
  if (caller === undefined) throw new CeleryyokeError('CallerUnknown');
  return caller;
}

function readWhole(headers: IncomingHttpHeaders, name: string, min: number, max: number): number | undefined {
  const text = headers[name];
  if (text === undefined) return undefined;
  const value = typeof text === 'string' && WHOLE_NUMBER.test(text) ? Number(text) : NaN;
  if (value >= min && value <= max) return value;
  throw new CeleryyokeError('RequestInvalid', {
    reason: `header ${name} must be a whole number from ${min} to ${max}`,
  });
}

/**
 * Reads the time that the caller allows.
 * @param headers - The request's headers.
 * @returns Milliseconds, or undefined when it states none.
 * @throws CeleryyokeError RequestInvalid.
 */
export function readTimeout(headers: IncomingHttpHeaders): number | undefined {
  return readWhole(headers, headerNames.REQUEST_TIMEOUT, 1, LONGEST_TIMEOUT_MS);
}

/**
 * Reads the request's priority.
 * @param headers - The request's headers.
 * @param caller - Gives the priority of requests that state none.
 * @returns The priority; higher goes first.
 * @throws CeleryyokeError RequestInvalid.
 */
export function readPriority(headers: IncomingHttpHeaders, caller: CallerConfig): number {
  const stated = readWhole(headers, headerNames.REQUEST_PRIORITY, -HIGHEST_PRIORITY, HIGHEST_PRIORITY);
  return stated ?? caller.priority;
}
