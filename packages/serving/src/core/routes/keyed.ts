/** Runs a request at most once under its idempotency key. */
import { CeleryyokeError, hashText, toCeleryyokeError } from '@celeryyoke/core';
import type { KeyLedger } from '@celeryyoke/fleet';
import { KeyOutcome } from '@celeryyoke/fleet';

import type { RequestContext } from '../requests/index.js';
import { headerNames } from '../results/index.js';

const TRUE_VALUES = new Set(['1', 'true', 'yes']);

/**
 * Says whether a request must not run twice.
 * @param ctx - The request.
 * @param isDeclared - Whether the configuration declares its route so.
 * @returns Whether it needs a key; a request that carries one is held to it.
 */
export function isNonIdempotent(ctx: RequestContext, isDeclared: boolean): boolean {
  const { headers } = ctx.req;
  const marked = headers[headerNames.NON_IDEMPOTENT];
  const isMarked = typeof marked === 'string' && TRUE_VALUES.has(marked.toLowerCase());
  return isDeclared || isMarked || headers[headerNames.IDEMPOTENCY_KEY] !== undefined;
}

function outcomeOf(ctx: RequestContext, failure: CeleryyokeError): KeyOutcome {
  return failure.isNotRun && ctx.startedOn === undefined ? KeyOutcome.NotRun : KeyOutcome.Unknown;
}

/**
 * Runs a request under its key; the key is settled before the answer says how it ended.
 * @param ctx - The request.
 * @param keys - The fleet's ledger.
 * @param fingerprint - Hash of the request.
 * @param run - Runs it.
 * @throws CeleryyokeError what the ledger or the run throws.
 */
export async function runKeyed(
  ctx: RequestContext,
  keys: KeyLedger,
  fingerprint: string,
  run: () => Promise<void>,
): Promise<void> {
  const key = ctx.req.headers[headerNames.IDEMPOTENCY_KEY];
  if (typeof key !== 'string' || key === '') throw new CeleryyokeError('KeyRequired');
  const admission = await keys.admit(`${ctx.caller.name}/${key}`, hashText(fingerprint), ctx.signal);
  try {
    await run();
  } catch (err) {
    await admission.settle(outcomeOf(ctx, toCeleryyokeError(err)));
    throw err;
  }
  // An engine that refused the request as invalid has not run it, although its answer is the final one.
  await admission.settle(ctx.startedOn === undefined ? KeyOutcome.NotRun : KeyOutcome.Done);
}
