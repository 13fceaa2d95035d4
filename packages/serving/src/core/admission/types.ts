/** Types of admission: which requests wait, which run, and which are turned away. */
import type { CallerConfig } from '@celeryyoke/configuration';
import type { CeleryyokeError } from '@celeryyoke/core';

/** A request that waits, as far as admission needs to know it. */
export interface WaitingRequest {
  readonly caller: CallerConfig;
  /** Higher goes first, and is turned away last. */
  readonly priority: number;
  /** Monotonic milliseconds; Infinity for none. */
  readonly deadlineAt: number;
  /** Aborts when the request is given up. */
  readonly signal: AbortSignal;
  /** Gives the request up. */
  abort(reason: CeleryyokeError): void;
}

/** A place that a request holds. */
export interface Place {
  /** Time that it waited for the place, in milliseconds. */
  readonly waitMs: number;
  /** Gives the place back; calling it twice does nothing. */
  leave(): void;
}
