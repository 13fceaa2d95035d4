/** Reads the target of a plain service's call, so that no spelling of a path slips past its declaration. */
import type { NonIdempotentRoute, PlainServiceConfig } from '@celeryyoke/configuration';
import { CeleryyokeError } from '@celeryyoke/core';

const ANY_METHOD = '*';
const REPEATED_SLASHES = /\/{2,}/g;
/** Encoded slashes, backslashes and null characters, which upstreams read in different ways. */
const AMBIGUOUS = /%2f|%5c|%00|\\/i;
const DOT_SEGMENTS = new Set(['.', '..']);

function decode(path: string): string {
  try {
    return decodeURIComponent(path);
  } catch (err) {
    throw new CeleryyokeError('RequestInvalid', { reason: 'the path is not encoded well' }, { cause: err });
  }
}

/** Gives the path that an upstream would understand, or refuses one that two upstreams could understand differently. */
function canonical(path: string): string {
  const decoded = decode(path);
  const isPlain = !AMBIGUOUS.test(path) && !decoded.split('/').some((part) => DOT_SEGMENTS.has(part));
  if (isPlain) return decoded.replace(REPEATED_SLASHES, '/');
  throw new CeleryyokeError('RequestInvalid', {
    reason: 'the path must not hold dot segments or encoded slashes',
  });
}

function isUnder(path: string, prefix: string): boolean {
  const trimmed = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix;
  return path === trimmed || path.startsWith(`${trimmed}/`);
}

/**
 * Gives the path below a service's prefix.
 * @param service - The service.
 * @param path - Path of the request without its query.
 * @returns The path, which begins with a slash.
 */
export function pathBelow(service: PlainServiceConfig, path: string): string {
  const rest = path.slice(service.prefix.length);
  return rest.startsWith('/') ? rest : `/${rest}`;
}

/**
 * Says whether a route is declared as non-idempotent.
 * @param routes - The declared routes.
 * @param method - HTTP method.
 * @param path - Path below the service's prefix.
 * @returns Whether one of them holds.
 * @throws CeleryyokeError RequestInvalid when the path could be read in two ways.
 */
export function isDeclaredOnce(routes: readonly NonIdempotentRoute[], method: string, path: string): boolean {
  const plain = canonical(path);
  return routes.some((route) => {
    const isMethod = route.method === ANY_METHOD || route.method.toUpperCase() === method;
    return isMethod && isUnder(plain, route.path);
  });
}
