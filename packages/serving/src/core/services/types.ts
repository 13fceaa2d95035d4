/** Types of calls of plain services. */
import type { PlainServiceConfig } from '@celeryyoke/configuration';
import type { TimerService } from '@celeryyoke/core';
import type { RetryBudget, SuspectRegistry } from '@celeryyoke/fleet';

import type { ServicePool } from './pool.js';

/** A call of a plain service as the caller made it. */
export interface PlainCall {
  readonly service: PlainServiceConfig;
  readonly method: string;
  /** Path below the service's prefix, with its query. */
  readonly target: string;
  readonly headers: Readonly<Record<string, string | readonly string[]>>;
  /** A small body, which can be sent again; undefined when there is none or it is streamed. */
  readonly body: Buffer | undefined;
  /** Whether the body is streamed as it comes. */
  readonly isStreamed: boolean;
  /** Hash of the call, by which calls that crash upstreams are known again. */
  readonly fingerprint: string;
  /** Whether it must not run twice. */
  readonly isNonIdempotent: boolean;
}

/** What calls of plain services need. */
export interface PlainServices {
  readonly pool: ServicePool;
  readonly suspects: SuspectRegistry;
  readonly retries: RetryBudget;
  readonly timers: TimerService;
  /** Most tries of one call. */
  readonly maxAttempts: number;
  /** Longest time to ask a broken upstream whether it still listens, in milliseconds. */
  readonly crashCheckMs: number;
}
