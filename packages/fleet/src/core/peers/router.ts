/** The tRPC router that each daemon serves to its peers. */
import { initTRPC } from '@trpc/server';

import type { AcceptedConnection } from './accepted-connection.js';
import { heartbeatSchema, callSchema, helloSchema, proofSchema } from './messages.js';
import { toRouterError, toWireError } from './wire-errors.js';

/** Context of each call. */
export interface RouterContext {
  readonly connection: AcceptedConnection;
}

const t = initTRPC.context<RouterContext>().create({
  // The default shape can include stack traces, which must not be sent to peers.
  errorFormatter: ({ shape, error }) => ({ ...shape, data: toWireError(error) }),
});

const procedure = t.procedure.use(async ({ next }) => {
  const result = await next();
  if (!result.ok && result.error.code === 'INTERNAL_SERVER_ERROR') throw toRouterError(result.error.cause);
  return result;
});

/**
 * Handshake, heartbeats and calls. Registered procedures go through `invoke`, so that they can be added at
 * run time.
 */
export const peerRouter = t.router({
  hello: procedure.input(helloSchema).mutation(({ ctx, input }) => ctx.connection.handleHello(input)),
  prove: procedure.input(proofSchema).mutation(({ ctx, input }) => ctx.connection.handleProof(input)),
  beat: procedure.input(heartbeatSchema).mutation(({ ctx, input }) => ctx.connection.handleHeartbeat(input)),
  invoke: procedure.input(callSchema).mutation(({ ctx, input }) => ctx.connection.handleCall(input)),
});

/** Type of the router, for the tRPC client of the dialling side. */
export type PeerRouter = typeof peerRouter;
