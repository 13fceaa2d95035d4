/** Opens a request: names it, identifies its caller, starts its clock and watches its connection. */
import { randomBytes } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { ConfigSnapshot } from '@celeryyoke/configuration';
import type { TimerService } from '@celeryyoke/core';
import { CeleryyokeError } from '@celeryyoke/core';

import type { RequestRecord } from '../records/index.js';
import { headerNames } from '../results/index.js';
import { identifyCaller, readPriority, readTimeout } from './head.js';
import type { RequestContext } from './types.js';

const ID_BYTES = 9;

/** What a request is opened from. */
export interface RequestOpening {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly record: RequestRecord;
  readonly path: string;
  readonly search: string;
  readonly snapshot: ConfigSnapshot;
  readonly timers: TimerService;
  /** Time allowed when the caller states none, in milliseconds. */
  readonly defaultTimeoutMs: number;
}

/** A request in progress with its end. */
export interface OpenRequest {
  readonly context: RequestContext;
  /** Ends its clock and its watch over the connection. */
  close(): void;
}

/**
 * Makes the id of a request; it starts with the daemon's name, so that any daemon knows whom to ask about it.
 * @param daemon - Name of this daemon.
 * @returns An id that is unique in the fleet.
 */
export function makeRequestId(daemon: string): string {
  return `${daemon}.${randomBytes(ID_BYTES).toString('base64url')}`;
}

/** Says truthfully whether the request may have run when its time is over. */
function deadlineError(startedOn: string | undefined): CeleryyokeError {
  if (startedOn === undefined) return new CeleryyokeError('DeadlineBeforeRun');
  return new CeleryyokeError('DeadlineDuringRun', { upstream: startedOn });
}

/**
 * Opens a request.
 * @param opening - The request and what it is opened with.
 * @returns The request in progress.
 * @throws CeleryyokeError CallerUnknown or RequestInvalid.
 */
export function openRequest(opening: RequestOpening): OpenRequest {
  const { req, res, record, snapshot, timers } = opening;
  const caller = identifyCaller(req.headers, snapshot);
  const priority = readPriority(req.headers, caller);
  const timeoutMs = readTimeout(req.headers) ?? opening.defaultTimeoutMs;
  const controller = new AbortController();
  const arrivedAt = timers.now();
  const context: RequestContext = {
    id: record.id,
    req,
    res,
    path: opening.path,
    search: opening.search,
    snapshot,
    caller,
    priority,
    deadlineAt: arrivedAt + timeoutMs,
    record,
    signal: controller.signal,
    startedOn: undefined,
    elapsedMs: () => timers.now() - arrivedAt,
    abort: (reason) => controller.abort(reason),
  };
  Object.assign(record, { caller: caller.name, priority, timeoutMs, revision: snapshot.revision });
  const timer = timers.after(timeoutMs, () => controller.abort(deadlineError(context.startedOn)));
  const onClose = (): void => {
    if (!res.writableFinished) controller.abort(new CeleryyokeError('CallerGone'));
  };
  res.once('close', onClose);
  return {
    context,
    close() {
      timer.cancel();
      res.off('close', onClose);
    },
  };
}

/**
 * Names the trace headers of a request, which are carried along unchanged.
 * @param req - The request.
 * @returns Their names and values.
 */
export function traceHeaders(req: IncomingMessage): Record<string, string> {
  const found: Record<string, string> = {};
  for (const name of headerNames.TRACE_HEADERS) {
    const value = req.headers[name];
    if (typeof value === 'string') found[name] = value;
  }
  return found;
}
