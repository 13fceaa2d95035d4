/** Software versions that began streams, for a limited time and a limited number of streams. */
import type { TimerService } from '@celeryyoke/core';

import type { StreamKey } from './stream-key.js';
import type { OriginRecord, StreamOrigin } from './types.js';
import { OriginState, UNKNOWN_ORIGIN } from './types.js';

/** Largest number of records; each takes some 250 bytes. The oldest is dropped first, and its stream is refused. */
const CAPACITY = 32_768;

/** Largest number of streams of one request among which one is looked for that its caller does not name. */
const MAX_ALIKE = 64;

interface StoredOrigin {
  readonly request: string;
  readonly origin: StreamOrigin;
  /** Monotonic time until which it is kept, in milliseconds. */
  readonly until: number;
}

const AMBIGUOUS: StreamOrigin = { state: OriginState.Ambiguous };

/** Combines what is known of a stream, or of several that can't be told apart. */
export function combineOrigins(left: StreamOrigin, right: StreamOrigin): StreamOrigin {
  if (left.state === OriginState.Unknown) return right;
  if (right.state === OriginState.Unknown) return left;
  const isSame =
    left.state === OriginState.Known &&
    right.state === OriginState.Known &&
    left.softwareVersion === right.softwareVersion;
  return isSame ? left : AMBIGUOUS;
}

/** The records that one daemon holds. */
export class OriginTable {
  /** By attempt, the oldest first. */
  private readonly stored = new Map<string, StoredOrigin>();

  /** Attempts by the fingerprint of their requests. */
  private readonly attempts = new Map<string, Set<string>>();

  /** Number of records that were dropped before their time. */
  droppedCount = 0;

  constructor(private readonly timers: Pick<TimerService, 'now'>) {}

  get size(): number {
    return this.stored.size;
  }

  /** Records the version of a stream, or that it is not clear: a record is never replaced by another version. */
  put({ request, attempt, softwareVersion, retentionMs }: OriginRecord): void {
    const origin = combineOrigins(this.ofAttempt(attempt), { state: OriginState.Known, softwareVersion });
    this.remove(attempt);
    this.stored.set(attempt, { request, origin, until: this.timers.now() + retentionMs });
    const attempts = this.attempts.get(request) ?? new Set();
    this.attempts.set(request, attempts.add(attempt));
    if (this.stored.size <= CAPACITY) return;
    const [oldest] = this.stored.keys();
    this.remove(oldest!);
    this.droppedCount += 1;
  }

  /** Returns the version of a stream, or the only one of all streams that its caller can mean. */
  get({ request, attempt }: StreamKey): StreamOrigin {
    if (attempt !== undefined) return this.ofAttempt(attempt);
    const attempts = [...(this.attempts.get(request) ?? [])];
    if (attempts.length > MAX_ALIKE) return AMBIGUOUS;
    return attempts.map((known) => this.ofAttempt(known)).reduce(combineOrigins, UNKNOWN_ORIGIN);
  }

  /** Removes the records whose time is over. */
  expire(): void {
    const now = this.timers.now();
    for (const [attempt, { until }] of this.stored) if (until <= now) this.remove(attempt);
  }

  private ofAttempt(attempt: string): StreamOrigin {
    const stored = this.stored.get(attempt);
    return stored === undefined || stored.until <= this.timers.now() ? UNKNOWN_ORIGIN : stored.origin;
  }

  private remove(attempt: string): void {
    const stored = this.stored.get(attempt);
    if (stored === undefined) return;
    this.stored.delete(attempt);
    const attempts = this.attempts.get(stored.request);
    attempts?.delete(attempt);
    if (attempts?.size === 0) this.attempts.delete(stored.request);
  }
}
