/** The routes `/v1/completions` and `/v1/chat/completions`. */
import { parseGeneration, runGeneration } from '../generation/index.js';
import type { RequestContext } from '../requests/index.js';
import { readJsonBody } from '../requests/index.js';
import { isNonIdempotent, runKeyed } from './keyed.js';
import type { RouteServices } from './types.js';

/**
 * Answers a generation request, streamed or not.
 * @param ctx - The request.
 * @param services - What it needs.
 */
export async function handleCompletion(ctx: RequestContext, services: RouteServices): Promise<void> {
  const { bounds, generations, keys, limits } = services;
  const pass = await limits.enter(ctx.caller, ctx.signal);
  try {
    const body = await readJsonBody(ctx.req, {
      timers: generations.timers,
      maxBytes: bounds.maxBodyBytes,
      timeoutMs: bounds.bodyTimeoutMs,
      signal: ctx.signal,
    });
    const isOnce = isNonIdempotent(ctx, false);
    const generation = parseGeneration(ctx.path, body, ctx.snapshot, isOnce);
    ctx.record.target = generation.adapter.key;
    const run = (): Promise<void> => runGeneration(ctx, generation, generations);
    await (isOnce ? runKeyed(ctx, keys, generation.fingerprint, run) : run());
  } finally {
    pass.leave();
  }
}
