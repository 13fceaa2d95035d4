/** The system's own answers to callers: each says truly whether the request may have run. */
import type { ServerResponse } from 'node:http';

import { ERROR_CATALOGUE } from '@celeryyoke/core';

/** Why the system answers in a replica's place. */
export enum LocalReply {
  BadRequest = 'badRequest',
  NoRoute = 'noRoute',
  BodyTooLarge = 'bodyTooLarge',
  /** The key is missing, malformed or belongs to no account. */
  Unauthorized = 'unauthorized',
  /** The client account has used up its quota; nothing ran. */
  OverQuota = 'overQuota',
  /** Nothing ran; the caller may come back. */
  NotRun = 'notRun',
  /** It may have run. */
  OutcomeUnknown = 'outcomeUnknown',
  /** Its time is over, and it may have run. */
  TimedOut = 'timedOut',
}

/** Status and numbered result code of each answer; the codes are those of the error catalogue. */
interface ReplyForm {
  readonly status: number;
  readonly code: number;
}

const FORMS: Readonly<Record<LocalReply, ReplyForm>> = {
  [LocalReply.BadRequest]: { status: 400, code: ERROR_CATALOGUE.RequestInvalid.code },
  [LocalReply.NoRoute]: { status: 404, code: ERROR_CATALOGUE.RouteUnknown.code },
  [LocalReply.BodyTooLarge]: { status: 413, code: ERROR_CATALOGUE.BodyTooLarge.code },
  [LocalReply.Unauthorized]: { status: 401, code: ERROR_CATALOGUE.CallerUnknown.code },
  [LocalReply.OverQuota]: { status: 429, code: ERROR_CATALOGUE.LimitExceeded.code },
  [LocalReply.NotRun]: { status: 503, code: ERROR_CATALOGUE.NoUpstream.code },
  [LocalReply.OutcomeUnknown]: { status: 502, code: ERROR_CATALOGUE.OutcomeUnknown.code },
  [LocalReply.TimedOut]: { status: 504, code: ERROR_CATALOGUE.DeadlineDuringRun.code },
};

/** What an answer tells the caller to do. */
export interface ReplyHints {
  /** When to come back, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Authentication scheme to use. */
  readonly keyScheme?: string;
}

const MS_PER_SECOND = 1000;

/**
 * Sends one of the system's own answers; does nothing when an answer has begun.
 * @param res - The caller's answer.
 * @param kind - Why.
 * @param reason - A short sentence for people.
 * @param hints - What the caller may do.
 */
export function sendLocalReply(
  res: ServerResponse,
  kind: LocalReply,
  reason: string,
  { retryAfterMs, keyScheme }: ReplyHints = {},
): void {
  if (res.headersSent || res.destroyed) return;
  const { status, code } = FORMS[kind];
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
