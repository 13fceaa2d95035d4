/** The operators' HTTP listener: metrics, health, status, audit, drain. */
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { CeleryyokeError, toCeleryyokeError } from '@celeryyoke/core';

import { ADMIN_ROUTES, sendJson } from './routes.js';
import type { AdminServer, AdminServerOptions } from './types.js';

function sendError(res: ServerResponse, thrown: unknown): void {
  const err = toCeleryyokeError(thrown);
  if (res.headersSent) {
    res.destroy();
    return;
  }
  sendJson(res, err.entry.status, {
    code: err.code,
    error: err.kind,
    message: err.message,
    hint: err.entry.hint,
  });
}

async function answer(req: IncomingMessage, res: ServerResponse, options: AdminServerOptions): Promise<void> {
  const url = new URL(req.url ?? '/', 'http://admin');
  const method = req.method ?? 'GET';
  const handler = ADMIN_ROUTES[`${method} ${url.pathname}`];
  if (handler === undefined) throw new CeleryyokeError('RouteUnknown', { method, path: url.pathname });
  await handler({ url, res, options });
}

/**
 * Makes the operators' listener.
 * @param options - What it shows.
 * @returns The listener, not yet listening.
 */
export function createAdminServer(options: AdminServerOptions): AdminServer {
  const server = createServer((req, res) => {
    answer(req, res, options).catch((err: unknown) => sendError(res, err));
  });
  return {
    async listen(address, port) {
      server.listen(port, address);
      await once(server, 'listening');
      return (server.address() as AddressInfo).port;
    },
    async close() {
      if (!server.listening) return;
      const closed = once(server, 'close');
      server.close();
      server.closeAllConnections();
      await closed;
    },
  };
}
