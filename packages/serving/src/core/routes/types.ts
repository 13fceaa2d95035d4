/** Types of routes. */
import type { CallerLimits, KeyLedger } from '@celeryyoke/fleet';

import type { GenerationServices } from '../generation/index.js';
import type { RequestContext } from '../requests/index.js';
import type { PlainServices } from '../services/index.js';

/** Bounds of what routes read. */
export interface RouteLimits {
  /** Largest JSON body in bytes. */
  readonly maxBodyBytes: number;
  /** Longest time for a JSON body in milliseconds. */
  readonly bodyTimeoutMs: number;
}

/** What routes need. */
export interface RouteServices {
  readonly limits: CallerLimits;
  readonly keys: KeyLedger;
  readonly generations: GenerationServices;
  readonly plain: PlainServices;
  readonly bounds: RouteLimits;
}

/** Answers a request; an error that it throws becomes the answer. */
export type RouteHandler = (ctx: RequestContext, services: RouteServices) => Promise<void>;

/** A route that was found. */
export interface Route {
  /** Name in metrics; there are few of them. */
  readonly name: string;
  readonly handle: RouteHandler;
}
