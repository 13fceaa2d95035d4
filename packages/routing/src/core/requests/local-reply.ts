/** The system's own answers to callers: each says truly whether the request may have run. */
import type { ServerResponse } from 'node:http';

/** Why the system answers in a replica's place. */
export enum LocalReply {
  BadRequest = 'badRequest',
  NoRoute = 'noRoute',
  BodyTooLarge = 'bodyTooLarge',
  /** Nothing ran; the caller may come back. */
  NotRun = 'notRun',
  /** It may have run. */
  OutcomeUnknown = 'outcomeUnknown',
  /** Its time is over, and it may have run. */
  TimedOut = 'timedOut',
}

const STATUS: Readonly<Record<LocalReply, number>> = {
  [LocalReply.BadRequest]: 400,
  [LocalReply.NoRoute]: 404,
  [LocalReply.BodyTooLarge]: 413,
  [LocalReply.NotRun]: 503,
  [LocalReply.OutcomeUnknown]: 502,
  [LocalReply.TimedOut]: 504,
};

const MS_PER_SECOND = 1000;

/**
 * Sends one of the system's own answers; does nothing when an answer has begun.
 * @param res - The caller's answer.
 * @param kind - Why.
 * @param reason - A short sentence for people.
 * @param retryAfterMs - When to come back, in milliseconds.
 */
export function sendLocalReply(
  res: ServerResponse,
  kind: LocalReply,
  reason: string,
  retryAfterMs?: number,
): void {
  if (res.headersSent || res.destroyed) return;
  const body = Buffer.from(`${JSON.stringify({ reason })}\n`);
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': body.length,
  };
  if (retryAfterMs !== undefined) headers['retry-after'] = String(retryAfterMs / MS_PER_SECOND);
  if (kind === LocalReply.BodyTooLarge) headers.connection = 'close';
  res.writeHead(STATUS[kind], headers);
  res.end(body);
}
