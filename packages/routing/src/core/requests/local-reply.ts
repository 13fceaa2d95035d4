/** Replies that the daemon itself sends to callers. Each one states whether the request may have run. */
import type { ServerResponse } from 'node:http';

import { ERROR_CATALOGUE } from '@celeryyoke/core';

import type { NotRunProof } from './run-record.js';

/** Why the daemon replies in place of a replica. */
export enum LocalReply {
  BadRequest = 'badRequest',
  NoRoute = 'noRoute',
  BodyTooLarge = 'bodyTooLarge',
  /** The key is missing, malformed or belongs to no account. */
  Unauthorized = 'unauthorized',
  /** The client account has used up its quota; the request did not run. */
  OverQuota = 'overQuota',
  /** The request did not run; the caller may retry. */
  NotRun = 'notRun',
  /** The request crashes replicas; it did not run, and is refused for a time. */
  Quarantined = 'quarantined',
  /** The stream can't go on at the software version that began it; the request did not run. */
  StreamNotResumable = 'streamNotResumable',
  /** The request may have run. */
  OutcomeUnknown = 'outcomeUnknown',
  /** The deadline has passed, and the request may have run. */
  TimedOut = 'timedOut',
}

/** Replies that promise that the request has not run and never will. */
export type RefusalKind =
  LocalReply.OverQuota | LocalReply.NotRun | LocalReply.Quarantined | LocalReply.StreamNotResumable;

/** Statuses that promise that a request has not run and never will, whoever sends them. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether callers take a status for the promise that their request has not run. */
export function isPromise(status: number): boolean {
  return PROMISES.has(status);
}

/** HTTP status of a reply and its result code from the error catalogue. */
interface ReplyStatus {
  readonly status: number;
  readonly code: number;
}

const REPLIES: Readonly<Record<LocalReply, ReplyStatus>> = {
  [LocalReply.BadRequest]: { status: 400, code: ERROR_CATALOGUE.RequestInvalid.code },
  [LocalReply.NoRoute]: { status: 404, code: ERROR_CATALOGUE.RouteUnknown.code },
  [LocalReply.BodyTooLarge]: { status: 413, code: ERROR_CATALOGUE.BodyTooLarge.code },
  [LocalReply.Unauthorized]: { status: 401, code: ERROR_CATALOGUE.CallerUnknown.code },
  [LocalReply.OverQuota]: { status: 429, code: ERROR_CATALOGUE.LimitExceeded.code },
  [LocalReply.NotRun]: { status: 503, code: ERROR_CATALOGUE.NoUpstream.code },
  // Of the statuses of callers on this interface, 503 promises that a request did not run.
  [LocalReply.Quarantined]: { status: 503, code: ERROR_CATALOGUE.Quarantined.code },
  [LocalReply.StreamNotResumable]: { status: 503, code: ERROR_CATALOGUE.StreamNotResumable.code },
  [LocalReply.OutcomeUnknown]: { status: 502, code: ERROR_CATALOGUE.OutcomeUnknown.code },
  [LocalReply.TimedOut]: { status: 504, code: ERROR_CATALOGUE.DeadlineDuringRun.code },
};

/** Optional headers that tell the caller what to do. */
export interface ReplyHints {
  /** Time after which to retry, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Authentication scheme to use. */
  readonly keyScheme?: string;
}

const MS_PER_SECOND = 1000;

/**
 * Refuses a request. Does nothing when the response has begun or its connection has closed.
 * @param _proof - Proves what the reply promises.
 * @param reason - A short sentence for people.
 */
export function sendRefusal(
  res: ServerResponse,
  kind: RefusalKind,
  _proof: NotRunProof,
  reason: string,
  hints?: ReplyHints,
): void {
  writeReply(res, kind, reason, hints);
}

/**
 * Sends a local reply that promises nothing. Does nothing when the response has begun or its connection has closed.
 * @param reason - A short sentence for people.
 */
export function sendLocalReply(
  res: ServerResponse,
  kind: Exclude<LocalReply, RefusalKind>,
  reason: string,
  hints?: ReplyHints,
): void {
  writeReply(res, kind, reason, hints);
}

function writeReply(
  res: ServerResponse,
  kind: LocalReply,
  reason: string,
  { retryAfterMs, keyScheme }: ReplyHints = {},
): void {
  if (res.headersSent || res.destroyed) return;
  const { status, code } = REPLIES[kind];
  const body = Buffer.from(`${JSON.stringify({ code, reason })}\n`);
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': body.length,
  };
  if (retryAfterMs !== undefined) headers['retry-after'] = String(retryAfterMs / MS_PER_SECOND);
  if (kind === LocalReply.BodyTooLarge) headers.connection = 'close';
  if (keyScheme !== undefined) headers['www-authenticate'] = keyScheme;
  res.writeHead(status, headers);
  res.end(body);
}
