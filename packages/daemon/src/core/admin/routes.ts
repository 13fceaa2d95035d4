/** The operators' routes, one handler each. */
import type { ServerResponse } from 'node:http';

import { CeleryyokeError } from '@celeryyoke/core';

import type { AdminServerOptions } from './types.js';

const PROMETHEUS_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** What a handler gets. */
export interface AdminCall {
  readonly url: URL;
  readonly res: ServerResponse;
  readonly options: AdminServerOptions;
}

/** Answers one route. */
export type AdminHandler = (call: AdminCall) => Promise<void> | void;

function sendText(res: ServerResponse, status: number, type: string, text: string): void {
  res.writeHead(status, { 'content-type': type });
  res.end(text);
}

/**
 * Sends JSON.
 * @param res - The response.
 * @param status - HTTP status.
 * @param data - What to send.
 */
export function sendJson(res: ServerResponse, status: number, data: unknown): void {
  sendText(res, status, 'application/json', `${JSON.stringify(data)}\n`);
}

function requireParam(url: URL, name: string): string {
  const value = url.searchParams.get(name);
  if (value === null || value === '') {
    throw new CeleryyokeError('CommandInvalid', { reason: `Parameter "${name}" is missing.` });
  }
  return value;
}

function readAfter(url: URL): number {
  const after = Number(url.searchParams.get('after') ?? 0);
  return Number.isSafeInteger(after) ? after : 0;
}

function followAudit({ url, res, options }: AdminCall): void {
  res.writeHead(200, { 'content-type': 'application/x-ndjson' });
  for (const record of options.audit.read(readAfter(url))) res.write(`${JSON.stringify(record)}\n`);
  const unsubscribe = options.audit.subscribe((record) => {
    res.write(`${JSON.stringify(record)}\n`);
  });
  res.on('close', unsubscribe);
}

function readAudit(call: AdminCall): void {
  if (call.url.searchParams.get('follow') === 'true') {
    followAudit(call);
    return;
  }
  sendJson(call.res, 200, call.options.audit.read(readAfter(call.url)));
}

async function explain({ url, res, options }: AdminCall): Promise<void> {
  const record = await options.questions.explain(requireParam(url, 'id'));
  if (record === undefined) throw new CeleryyokeError('RequestNotFound', { id: requireParam(url, 'id') });
  sendJson(res, 200, record);
}

function readyz({ res, options }: AdminCall): void {
  const reason = options.unready();
  sendText(res, reason === undefined ? 200 : 503, 'text/plain', `${reason ?? 'ready'}\n`);
}

function showMetrics({ res, options }: AdminCall): void {
  const { metrics } = options;
  if (metrics === undefined) throw new CeleryyokeError('RouteUnknown', { method: 'GET', path: '/metrics' });
  sendText(res, 200, PROMETHEUS_TYPE, metrics.render());
}

/** Handlers by method and path. */
export const ADMIN_ROUTES: Readonly<Record<string, AdminHandler>> = {
  'GET /healthz': ({ res }) => sendText(res, 200, 'text/plain', 'alive\n'),
  'GET /readyz': readyz,
  'GET /metrics': showMetrics,
  'GET /admin/audit': readAudit,
  'GET /admin/explain': explain,
  'GET /admin/status': async ({ res, options }) => sendJson(res, 200, await options.questions.status()),
  'POST /admin/drain': async ({ url, res, options }) =>
    sendJson(res, 202, await options.questions.drain(requireParam(url, 'host'))),
};
