/** Turns a caller's JSON body into a generation. */
import type { ConfigSnapshot } from '@celeryyoke/configuration';
import { CeleryyokeError, hashText } from '@celeryyoke/core';

import type { JsonObject } from '../requests/index.js';
import type { Generation } from './types.js';

/** What an engine is told by us alone; a caller can't set it in the body. */
const RESERVED_FIELDS = ['priority', 'resume_from'] as const;

function check(isRight: boolean, reason: string): void {
  if (!isRight) throw new CeleryyokeError('RequestInvalid', { reason });
}

/** The field that must hold the input, for each path. */
const INPUT_CHECKS: Readonly<Record<string, (body: JsonObject) => void>> = {
  '/v1/completions': ({ prompt }) =>
    check(typeof prompt === 'string' || Array.isArray(prompt), '"prompt" must be a string or a list'),
  '/v1/chat/completions': ({ messages }) =>
    check(Array.isArray(messages) && messages.length > 0, '"messages" must be a list that is not empty'),
};

/**
 * Checks a caller's body and resolves the adapter, once for the whole life of the request.
 * @param path - Path of the request.
 * @param body - Its JSON body.
 * @param snapshot - Declares the adapters.
 * @param isNonIdempotent - Whether it must not run twice.
 * @returns The generation.
 * @throws CeleryyokeError RequestInvalid, AdapterUnknown or VersionUnknown.
 */
export function parseGeneration(
  path: string,
  body: JsonObject,
  snapshot: ConfigSnapshot,
  isNonIdempotent: boolean,
): Generation {
  const { model, stream = false } = body;
  if (typeof model !== 'string' || model === '') {
    throw new CeleryyokeError('RequestInvalid', { reason: '"model" must name an adapter' });
  }
  check(typeof stream === 'boolean' || stream === null, '"stream" must be true or false');
  INPUT_CHECKS[path]?.(body);
  const adapter = snapshot.resolve(model);
  const forEngine: Record<string, unknown> = { ...body, model: adapter.key };
  for (const field of RESERVED_FIELDS) delete forEngine[field];
  const text = JSON.stringify(forEngine);
  return {
    adapter,
    path,
    body: text,
    isStreamed: stream === true,
    fingerprint: hashText(`${path} ${text}`),
    isNonIdempotent,
  };
}
