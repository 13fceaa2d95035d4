/** The routes `/v1/models` and `/v1/models/NAME`: adapters in pages, in a fixed order. */
import type { AdapterConfig } from '@celeryyoke/configuration';
import { CeleryyokeError } from '@celeryyoke/core';

import type { RequestContext } from '../requests/index.js';
import { writeJson } from '../results/index.js';

const DEFAULT_LIMIT = 100;
const MAX_LIMIT = 1000;
const WHOLE_NUMBER = /^\d{1,4}$/;

/** One adapter as callers see it. */
interface ModelEntry {
  readonly id: string;
  readonly object: 'model';
  readonly created: 0;
  readonly owned_by: string;
  /** Base model. */
  readonly root: string;
  readonly versions: readonly string[];
  readonly current_version: string;
}

function readLimit(query: URLSearchParams): number {
  const text = query.get('limit');
  if (text === null) return DEFAULT_LIMIT;
  const limit = WHOLE_NUMBER.test(text) ? Number(text) : 0;
  if (limit >= 1 && limit <= MAX_LIMIT) return limit;
  throw new CeleryyokeError('RequestInvalid', { reason: `"limit" must be from 1 to ${MAX_LIMIT}` });
}

function toEntry(adapter: AdapterConfig, site: string): ModelEntry {
  return {
    id: adapter.name,
    object: 'model',
    created: 0,
    owned_by: site,
    root: adapter.model,
    versions: adapter.versions,
    current_version: adapter.current,
  };
}

/**
 * Answers with one page of adapters.
 * @param ctx - The request; `after` names the last adapter of the page before, `limit` the page's size.
 */
export async function handleModels(ctx: RequestContext): Promise<void> {
  const { snapshot } = ctx;
  const query = new URLSearchParams(ctx.search);
  const limit = readLimit(query);
  // One more than the page tells whether there is another.
  const found = snapshot.adapterPage(query.get('after') ?? undefined, limit + 1);
  const page = found.slice(0, limit);
  const data = page.map((adapter) => toEntry(adapter, snapshot.config.site));
  writeJson(ctx.res, 200, {
    object: 'list',
    data,
    first_id: data[0]?.id ?? null,
    last_id: data.at(-1)?.id ?? null,
    has_more: found.length > limit,
  });
}

/**
 * Answers with one adapter.
 * @param ctx - The request; its path ends with the adapter's name, percent-encoded.
 */
export async function handleModel(ctx: RequestContext): Promise<void> {
  const name = ctx.path.slice('/v1/models/'.length);
  let decoded: string;
  try {
    decoded = decodeURIComponent(name);
  } catch (err) {
    throw new CeleryyokeError('RequestInvalid', { reason: 'the path is not encoded well' }, { cause: err });
  }
  const { adapter } = ctx.snapshot.resolve(decoded);
  const found = ctx.snapshot.adapter(adapter);
  if (found === undefined) throw new CeleryyokeError('AdapterUnknown', { adapter });
  writeJson(ctx.res, 200, toEntry(found, ctx.snapshot.config.site));
}
