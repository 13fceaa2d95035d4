/** Answers one request from its arrival to its end, written straight down. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { ConfigHolder } from '@celeryyoke/configuration';
import type { CeleryyokeError, Log, TimerService } from '@celeryyoke/core';
import { CeleryyokeError as ResultError, toCeleryyokeError } from '@celeryyoke/core';

import type { RequestLog, RequestRecord } from '../records/index.js';
import type { OpenRequest } from '../requests/index.js';
import { makeRequestId, openRequest } from '../requests/index.js';
import { endStreamWithError, headerNames, writeError } from '../results/index.js';
import type { RouteServices } from '../routes/index.js';
import { findRoute } from '../routes/index.js';
import type { Drainer } from './drain.js';
import type { ServerMetrics } from './metrics.js';

/** Longest time that the rest of a refused body is read and thrown away, so that its sender sees the answer. */
const LINGER_MS = 2000;

/** What the handler needs. */
export interface HandlerServices {
  readonly daemon: string;
  readonly config: ConfigHolder;
  readonly timers: TimerService;
  readonly log: Log;
  readonly requests: RequestLog;
  readonly routes: RouteServices;
  readonly metrics: ServerMetrics;
  readonly defaultTimeoutMs: number;
  /** Longest time that a caller may take nothing of its answer, in milliseconds. */
  readonly callerStallMs: number;
  readonly drainer: Drainer;
  /** Called when a request is open. */
  readonly onOpen: (request: OpenRequest) => void;
}

function openRecord(req: IncomingMessage, path: string, services: HandlerServices): RequestRecord {
  const record: RequestRecord = {
    id: makeRequestId(services.daemon),
    method: req.method ?? '',
    path,
    receivedAt: new Date(services.timers.wall()).toISOString(),
    attempts: [],
    events: 0,
  };
  services.requests.open(record);
  return record;
}

/** Splits the request's target as it came; it is not normalised, so that no two readers see two paths in it. */
function splitTarget(target: string): { readonly path: string; readonly search: string } {
  const mark = target.indexOf('?');
  if (mark < 0) return { path: target, search: '' };
  return { path: target.slice(0, mark), search: target.slice(mark) };
}

/** Ends the answer with an error in the way that its state allows. */
function answerError(res: ServerResponse, err: CeleryyokeError, id: string): void {
  if (res.destroyed || res.writableEnded) return;
  if (err.kind === 'CallerGone') {
    res.destroy();
    return;
  }
  if (!res.headersSent) {
    writeError(res, err, id);
    return;
  }
  const type = String(res.getHeader('content-type') ?? '');
  if (type.startsWith('text/event-stream')) endStreamWithError(res, err, id);
  // A body of known length, or of another type, can only be cut so that the caller sees that it is cut.
  else res.destroy();
}

/** Reads away what is left of a refused body, within bounds, and cuts a sender that goes on and on. */
function linger(req: IncomingMessage, timers: TimerService): void {
  if (req.complete || req.destroyed) return;
  req.resume();
  const timer = timers.after(LINGER_MS, () => req.socket.destroy());
  req.once('close', () => timer.cancel());
  req.once('end', () => timer.cancel());
}

/** Cuts a caller that does not take an answer which is written: it would hold its memory for ever. */
function boundTaking(res: ServerResponse, timers: TimerService, stallMs: number): void {
  if (res.writableFinished || res.destroyed) return;
  let taken = res.socket?.bytesWritten;
  const handle = timers.repeat(stallMs, () => {
    if (res.socket?.bytesWritten === taken) res.destroy();
    taken = res.socket?.bytesWritten;
  });
  res.once('close', () => handle.cancel());
}

/** "Not run" is said only if it is proved for every try of the request. */
function honestError(err: CeleryyokeError, startedOn: string | undefined): CeleryyokeError {
  if (startedOn === undefined || !err.isNotRun) return err;
  return new ResultError('OutcomeUnknown', { upstream: startedOn }, { cause: err });
}

/**
 * Answers one request.
 * @param req - The request.
 * @param res - Its answer.
 * @param services - What it takes.
 * @returns When the answer is written; it never rejects.
 */
export async function handleRequest(
  req: IncomingMessage,
  res: ServerResponse,
  services: HandlerServices,
): Promise<void> {
  const { timers, metrics } = services;
  const startedAt = timers.now();
  const { path, search } = splitTarget(req.url ?? '/');
  const record = openRecord(req, path, services);
  let routeName = 'none';
  let open: OpenRequest | undefined;
  res.setHeader(headerNames.REQUEST_ID, record.id);
  try {
    services.drainer.admit(res);
    const snapshot = services.config.require();
    const { defaultTimeoutMs } = services;
    open = openRequest({ req, res, record, path, search, snapshot, timers, defaultTimeoutMs });
    services.onOpen(open);
    const route = findRoute(req.method ?? '', path, snapshot);
    routeName = route.name;
    await route.handle(open.context, services.routes);
    record.code ??= 0;
    record.outcome ??= 'complete';
  } catch (err) {
    const failure = honestError(toCeleryyokeError(err), open?.context.startedOn);
    if (failure.kind === 'Internal') services.log.error(`Request ${record.id}: ${failure.stack ?? ''}`);
    record.code = failure.code;
    record.outcome = failure.message;
    answerError(res, failure, record.id);
  } finally {
    open?.close();
    linger(req, timers);
    boundTaking(res, timers, services.callerStallMs);
    record.status = res.statusCode;
    record.durationMs = timers.now() - startedAt;
    metrics.ended(routeName, record);
  }
}
