/** Paces the input of an HTTP server that has no other use for it. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { DecisionLog, TimerService } from '@celeryyoke/core';

import { InputTurns } from './input-turns.js';
import { PacedInput } from './paced-input.js';

/** What pacing needs. */
export interface PacingOptions {
  readonly timers: Pick<TimerService, 'now'>;
  readonly log: Pick<DecisionLog, 'debug'>;
}

/** Parses what clients send in turn, one request of a connection after the other. */
export function paceServer(server: Server, { timers, log }: PacingOptions): void {
  const turns = new InputTurns(timers, log);
  const inputs = new WeakMap<Socket, PacedInput>();
  server.on('connection', (socket: Socket) => {
    inputs.set(socket, new PacedInput(socket, turns, timers.now));
  });
  server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
    inputs.get(req.socket)?.follow(req, res);
  });
}
