/** The routes of plain services: everything under their prefixes. */
import type { IncomingMessage } from 'node:http';

import type { PlainServiceConfig } from '@celeryyoke/configuration';
import { hashText } from '@celeryyoke/core';

import type { RequestContext } from '../requests/index.js';
import { readBody } from '../requests/index.js';
import { headerNames } from '../results/index.js';
import type { PlainCall } from '../services/index.js';
import { isDeclaredOnce, pathBelow, runServiceCall } from '../services/index.js';
import { isNonIdempotent, runKeyed } from './keyed.js';
import type { RouteHandler, RouteServices } from './types.js';

/** A body up to this size is kept, so that it can be sent to another upstream; a larger one is streamed. */
const SMALL_BODY_BYTES = 64 * 1024;
/** Headers that are between the caller and us. */
const OWN_HEADERS = new Set(['authorization', headerNames.REQUEST_TIMEOUT, headerNames.REQUEST_PRIORITY]);
const OWN_PREFIX = 'x-celeryyoke-';

function forwardedHeaders(ctx: RequestContext): Record<string, string | readonly string[]> {
  const headers: Record<string, string | readonly string[]> = {};
  for (const [name, value] of Object.entries(ctx.req.headers)) {
    if (value !== undefined && !OWN_HEADERS.has(name) && !name.startsWith(OWN_PREFIX)) headers[name] = value;
  }
  headers[headerNames.REQUEST_ID] = ctx.id;
  headers[headerNames.CALLER] = encodeURIComponent(ctx.caller.name);
  return headers;
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

async function makeCall(
  ctx: RequestContext,
  service: PlainServiceConfig,
  { bounds, plain }: RouteServices,
): Promise<PlainCall> {
  const { req } = ctx;
  const method = req.method ?? 'GET';
  const path = pathBelow(service, ctx.path);
  const isOnce = isNonIdempotent(ctx, isDeclaredOnce(service.nonIdempotent, method, path));
  const declared = Number(req.headers['content-length'] ?? Infinity);
  const isStreamed = hasBody(req) && declared > SMALL_BODY_BYTES;
  const isSmall = hasBody(req) && !isStreamed;
  const limits = {
    timers: plain.timers,
    maxBytes: SMALL_BODY_BYTES,
    timeoutMs: bounds.bodyTimeoutMs,
    signal: ctx.signal,
  };
  const body = isSmall ? await readBody(req, limits) : undefined;
  const content = body?.toString('latin1') ?? String(req.headers['content-length']);
  const target = `${path}${ctx.search}`;
  return {
    service,
    method,
    target,
    headers: forwardedHeaders(ctx),
    body,
    isStreamed,
    fingerprint: hashText(`${service.name} ${method} ${target} ${content}`),
    isNonIdempotent: isOnce,
  };
}

/**
 * Makes the handler of a plain service's route.
 * @param service - The service.
 * @returns The handler.
 */
export function serviceHandler(service: PlainServiceConfig): RouteHandler {
  return async (ctx, services) => {
    const pass = await services.limits.enter(ctx.caller, ctx.signal);
    try {
      ctx.record.target = `service ${service.name}`;
      const call = await makeCall(ctx, service, services);
      const run = (): Promise<void> => runServiceCall(ctx, call, services.plain);
      await (call.isNonIdempotent ? runKeyed(ctx, services.keys, call.fingerprint, run) : run());
    } finally {
      pass.leave();
    }
  };
}
