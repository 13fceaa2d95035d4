/** Serves the readiness probe of the load balancer. */
import type { Server } from 'node:http';
import { createServer } from 'node:http';

import { startListening } from '@celeryyoke/core';

import type { PacingOptions } from '../input/index.js';
import { paceServer } from '../input/index.js';

const OK = 200;
const NOT_READY = 503;
const NOT_FOUND = 404;

export type ReadinessServer = Server;

export interface ReadinessOptions extends PacingOptions {
  readonly host: string;
  readonly port: number;
  /** Whether a path is the readiness probe; other paths get 404. */
  readonly isReadinessPath: (path: string) => boolean;
  readonly isReady: () => boolean;
}

/** Starts an HTTP server that answers the readiness probe with 200 or 503. */
export async function startReadinessServer(options: ReadinessOptions): Promise<ReadinessServer> {
  const server = createServer((req, res) => {
    if (!options.isReadinessPath(req.url ?? '')) res.statusCode = NOT_FOUND;
    else res.statusCode = options.isReady() ? OK : NOT_READY;
    res.end();
  });
  paceServer(server, options);
  await startListening(server, { host: options.host, port: options.port });
  return server;
}
