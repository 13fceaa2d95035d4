/** The table of routes. */
import type { ConfigSnapshot } from '@celeryyoke/configuration';
import { CeleryyokeError } from '@celeryyoke/core';

import { handleCompletion } from './completions.js';
import { handleModel, handleModels } from './models.js';
import { serviceHandler } from './services.js';
import type { Route } from './types.js';

const FIXED: Readonly<Record<string, Route>> = {
  'POST /v1/completions': { name: 'completions', handle: handleCompletion },
  'POST /v1/chat/completions': { name: 'chat', handle: handleCompletion },
  'GET /v1/models': { name: 'models', handle: handleModels },
};

const MODEL: Route = { name: 'model', handle: handleModel };

/**
 * Finds the route of a request.
 * @param method - HTTP method.
 * @param path - Path without the query.
 * @param snapshot - Declares the plain services.
 * @returns The route.
 * @throws CeleryyokeError RouteUnknown.
 */
export function findRoute(method: string, path: string, snapshot: ConfigSnapshot): Route {
  const fixed = FIXED[`${method} ${path}`];
  if (fixed !== undefined) return fixed;
  if (method === 'GET' && path.startsWith('/v1/models/')) return MODEL;
  const service = snapshot.serviceFor(path);
  if (service !== undefined) return { name: `service ${service.name}`, handle: serviceHandler(service) };
  throw new CeleryyokeError('RouteUnknown', { method, path });
}
