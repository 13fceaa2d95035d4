/** Types of a request in progress. */
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { CallerConfig, ConfigSnapshot } from '@celeryyoke/configuration';
import type { CeleryyokeError } from '@celeryyoke/core';

import type { RequestRecord } from '../records/index.js';

/** A request in progress. */
export interface RequestContext {
  readonly id: string;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Path without the query. */
  readonly path: string;
  /** The query as it came, with its question mark; empty for none. */
  readonly search: string;
  /** Configuration that was in force when the request came in; it stays the request's own to the end. */
  readonly snapshot: ConfigSnapshot;
  readonly caller: CallerConfig;
  readonly priority: number;
  /** Monotonic milliseconds; Infinity for none. */
  readonly deadlineAt: number;
  readonly record: RequestRecord;
  /** Aborts when the caller goes, the deadline passes or the daemon is stopped; the reason is a CeleryyokeError. */
  readonly signal: AbortSignal;
  /** Upstream that may have run the request, or undefined as long as it is proved that none did. */
  startedOn: string | undefined;
  /** Milliseconds since its arrival. */
  elapsedMs(): number;
  /** Gives the request up for a reason that the server itself has. */
  abort(reason: CeleryyokeError): void;
}
