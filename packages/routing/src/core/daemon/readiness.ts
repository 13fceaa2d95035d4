/** Answers the balancer's question whether this daemon takes callers. */
import type { Server } from 'node:http';
import { createServer } from 'node:http';

import { startListening } from '@celeryyoke/core';

const OK = 200;
const NOT_READY = 503;
const NOT_FOUND = 404;

/** The listener for that question. */
export type ReadinessServer = Server;

/** Options of the listener. */
export interface ReadinessOptions {
  readonly host: string;
  readonly port: number;
  /** Whether a path is the question. */
  readonly isReadinessPath: (path: string) => boolean;
  readonly isReady: () => boolean;
}

/**
 * Starts to listen.
 * @param options - Where, and what to answer.
 * @returns The listener.
 */
export async function listenForReadiness(options: ReadinessOptions): Promise<ReadinessServer> {
  const server = createServer((req, res) => {
    if (!options.isReadinessPath(req.url ?? '')) res.statusCode = NOT_FOUND;
    else res.statusCode = options.isReady() ? OK : NOT_READY;
    res.end();
  });
  await startListening(server, { host: options.host, port: options.port });
  return server;
}
