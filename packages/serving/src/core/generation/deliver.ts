/** Delivers an engine's answer to the caller, whole or as a stream. */
import { CeleryyokeError } from '@celeryyoke/core';
import type { GenerateAnswer } from '@celeryyoke/platform';

import { headerNames } from '../results/index.js';
import { RelayEnd, relayEvents } from '../streams/index.js';
import type { ExchangeOptions } from './exchange.js';
import { bodyEnded, readWholeAnswer } from './whole.js';

const SUCCESS = 200;
const EVENT_STREAM = /^text\/event-stream\b/i;
const DATA_LINE = /^data: ?(.*)$/m;

/** An answer on its way to the caller. */
export interface Delivery extends ExchangeOptions {
  readonly answer: GenerateAnswer;
  /** Called when the first event of a stream goes to the caller. */
  readonly onFirst: () => void;
}

function answerHeaders({ ctx, generation, hold }: Delivery): Record<string, string> {
  const { adapter, version } = generation.adapter;
  const waitedMs = ctx.record.attempts.reduce((sum, { loadWaitMs }) => sum + loadWaitMs, 0);
  return {
    [headerNames.ADAPTER]: encodeURIComponent(adapter),
    [headerNames.VERSION]: encodeURIComponent(version),
    [headerNames.ENGINE]: encodeURIComponent(hold.grant.engine.name),
    [headerNames.LOAD_WAIT]: String(Math.round(waitedMs)),
  };
}

function unknownOutcome({ hold }: Delivery, reason: string): CeleryyokeError {
  return new CeleryyokeError(
    'OutcomeUnknown',
    { upstream: hold.grant.engine.name },
    { cause: new Error(reason) },
  );
}

/** An answer that names another adapter is not the one that was asked for. */
function namesOther(answer: unknown, key: string): boolean {
  if (typeof answer !== 'object' || answer === null) return false;
  const { model } = answer as { readonly model?: unknown };
  return typeof model === 'string' && model !== key;
}

/**
 * Delivers an answer that is not streamed, once all of it is here.
 * @param delivery - The answer and its request.
 * @returns True: the answer has ended.
 * @throws CeleryyokeError OutcomeUnknown when it was cut off or belongs to another adapter.
 */
export async function deliverWhole(delivery: Delivery): Promise<boolean> {
  const { ctx, generation, hold, services, position, answer } = delivery;
  const { bytes, value } = await readWholeAnswer(answer.body, {
    upstream: hold.grant.engine.name,
    maxBytes: services.limits.maxAnswerBytes,
    signal: ctx.signal,
  });
  const isGood = answer.status === SUCCESS;
  if (position.events > 0) throw unknownOutcome(delivery, 'the engine refused to go on with the stream');
  if (isGood && namesOther(value, generation.adapter.key)) {
    throw new CeleryyokeError('AnswerWrong', { upstream: hold.grant.engine.name });
  }
  const headers = { ...answerHeaders(delivery), 'content-type': 'application/json' };
  if (!isGood) {
    // The engine says that it did not take the request.
    ctx.startedOn = undefined;
    const { code } = new CeleryyokeError('UpstreamRejected');
    Object.assign(headers, { [headerNames.CODE]: String(code) });
    ctx.record.code = code;
  }
  ctx.record.firstByteMs = ctx.elapsedMs();
  ctx.res.writeHead(answer.status, { ...headers, 'content-length': bytes.length });
  ctx.res.end(bytes);
  return true;
}

/** Checks the first event of a stream, and only that: the adapter can't change after it. */
function isFromOther(event: Buffer, key: string): boolean {
  try {
    return namesOther(JSON.parse(DATA_LINE.exec(event.toString('utf8'))?.[1] ?? ''), key);
  } catch {
    return false;
  }
}

function beginStream(delivery: Delivery): void {
  const { res, record } = delivery.ctx;
  delivery.onFirst();
  if (res.headersSent) return;
  record.firstByteMs = delivery.ctx.elapsedMs();
  res.writeHead(SUCCESS, {
    ...answerHeaders(delivery),
    'content-type': 'text/event-stream; charset=utf-8',
    'cache-control': 'no-cache',
  });
}

/**
 * Delivers a streamed answer as it comes.
 * @param delivery - The answer and its request.
 * @returns Whether the engine's answer has ended by itself.
 * @throws CeleryyokeError StreamBroken or OutcomeUnknown when the caller has not got all of it.
 */
export async function deliverStream(delivery: Delivery): Promise<boolean> {
  const { ctx, generation, hold, services, position, answer } = delivery;
  const { limits, timers } = services;
  if (!EVENT_STREAM.test(answer.headers['content-type'] ?? '')) {
    throw unknownOutcome(delivery, 'the answer is no event stream');
  }
  position.restart();
  const result = await relayEvents({
    body: answer.body,
    out: ctx.res,
    position,
    signal: ctx.signal,
    timers,
    idleMs: limits.streamIdleMs,
    stallMs: limits.callerStallMs,
    accepts: (event) => !isFromOther(event, generation.adapter.key),
    onFirst: () => beginStream(delivery),
  });
  ctx.record.events = position.events;
  if (result.end === RelayEnd.Complete) {
    ctx.res.end();
    return bodyEnded(answer.body, timers);
  }
  if (result.end === RelayEnd.Wrong)
    throw new CeleryyokeError('AnswerWrong', { upstream: hold.grant.engine.name });
  if (result.end === RelayEnd.Stalled) ctx.abort(new CeleryyokeError('CallerGone'));
  const cause = new Error(result.reason ?? result.end);
  throw new CeleryyokeError('StreamBroken', { upstream: hold.grant.engine.name }, { cause });
}
