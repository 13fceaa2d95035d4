/** Paces the input of an HTTP server that has no other use for it. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { DecisionLog, TimerService } from '@celeryyoke/core';

import { InputTurns } from './input-turns.js';
import { PacedInput } from './paced-input.js';

/** Most connections of such a server: those of a load balancer or of a collector of metrics. */
const MAX_CONNECTIONS = 256;

/** What pacing needs. */
export interface PacingOptions {
  readonly timers: Pick<TimerService, 'now'>;
  readonly log: Pick<DecisionLog, 'debug'>;
}

/** Parses what clients send in turn, one request of a connection after the other, and bounds their number. */
export function paceServer(server: Server, { timers, log }: PacingOptions): void {
  const turns = new InputTurns(timers, log);
  const inputs = new WeakMap<Socket, PacedInput>();
  Object.assign(server, { maxConnections: MAX_CONNECTIONS });
  server.on('connection', (socket: Socket) => {
    inputs.set(socket, new PacedInput(socket, turns, timers.now));
  });
  server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
    inputs.get(req.socket)?.follow(req, res);
  });
}
