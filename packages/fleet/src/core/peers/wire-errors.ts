/** Serialises errors between daemons, so that they keep their result code. */
import type { ErrorName } from '@celeryyoke/core';
import { CeleryyokeError, ERROR_CATALOGUE, toCeleryyokeError } from '@celeryyoke/core';
import { TRPCClientError } from '@trpc/client';
import { TRPCError } from '@trpc/server';
import { z } from 'zod';

const param = z.union([z.string(), z.number()]).optional();

const wireErrorSchema = z.object({
  kind: z.string(),
  message: z.string(),
  params: z.record(z.string(), param),
  retryAfter: z.number().optional(),
});

/** An error as it is sent to a peer, without its stack trace. */
export type WireError = z.infer<typeof wireErrorSchema>;

/** Wraps an error that a handler threw in the error type that tRPC serialises. */
export function toRouterError(thrown: unknown): TRPCError {
  return new TRPCError({ code: 'INTERNAL_SERVER_ERROR', cause: toCeleryyokeError(thrown) });
}

/** Converts an error of the router into its form on the wire. */
export function toWireError(error: TRPCError): WireError {
  const { kind, message, params, retryAfter } = toCeleryyokeError(error.cause ?? error);
  return { kind, message, params: { ...params }, ...(retryAfter === undefined ? {} : { retryAfter }) };
}

function isKnown(kind: string): kind is ErrorName {
  return Object.hasOwn(ERROR_CATALOGUE, kind);
}

/**
 * Restores the error that a peer threw.
 * @param thrown - What tRPC's client threw.
 * @returns The error, or undefined when the connection failed and not the peer's handler.
 */
export function fromWireError(thrown: unknown): CeleryyokeError | undefined {
  if (!(thrown instanceof TRPCClientError)) return undefined;
  const parsed = wireErrorSchema.safeParse(thrown.data);
  if (!parsed.success) return undefined;
  const { kind, message, params, retryAfter } = parsed.data;
  // A peer of a newer version may throw an error kind that this build does not know.
  if (!isKnown(kind)) return new CeleryyokeError('Internal', { reason: `${kind}: ${message}` });
  return new CeleryyokeError(kind, params, retryAfter === undefined ? {} : { retryAfter });
}
