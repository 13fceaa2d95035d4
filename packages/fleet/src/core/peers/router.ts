/** The tRPC router between daemons. */
import { initTRPC } from '@trpc/server';

import type { AcceptedLink } from './accepted-connection.js';
import { beatSchema, callSchema, helloSchema, proofSchema } from './messages.js';
import { toRouterError, toWireError } from './wire-errors.js';

/** Context of each call: the connection that it came on. */
export interface RouterContext {
  readonly link: AcceptedLink;
}

const t = initTRPC.context<RouterContext>().create({
  // The default shape would carry stack traces to the peer.
  errorFormatter: ({ shape, error }) => ({ ...shape, data: toWireError(error) }),
});

const procedure = t.procedure.use(async ({ next }) => {
  const result = await next();
  if (!result.ok && result.error.code === 'INTERNAL_SERVER_ERROR') throw toRouterError(result.error.cause);
  return result;
});

/** The router. Parts' procedures go through `invoke`, so that they can be added while the bus runs. */
export const peerRouter = t.router({
  hello: procedure.input(helloSchema).mutation(({ ctx, input }) => ctx.link.greet(input)),
  prove: procedure.input(proofSchema).mutation(({ ctx, input }) => ctx.link.prove(input)),
  beat: procedure.input(beatSchema).mutation(({ ctx, input }) => ctx.link.beat(input)),
  invoke: procedure.input(callSchema).mutation(({ ctx, input }) => ctx.link.serve(input)),
});

/** Type of the router, for clients. */
export type PeerRouter = typeof peerRouter;
