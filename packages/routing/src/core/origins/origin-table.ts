/** Software versions that began streams, for a limited time and a limited number of streams. */
import type { TimerService } from '@celeryyoke/core';

import type { OriginRecord, StreamOrigin } from './types.js';
import { OriginState } from './types.js';

/** Largest number of records; each takes some 150 bytes. The oldest is dropped first, and its stream is refused. */
const CAPACITY = 32_768;

interface StoredOrigin {
  readonly origin: StreamOrigin;
  /** Monotonic time until which it is kept, in milliseconds. */
  readonly until: number;
}

const UNKNOWN: StreamOrigin = { state: OriginState.Unknown };
const AMBIGUOUS: StreamOrigin = { state: OriginState.Ambiguous };

/** The records that one daemon holds. */
export class OriginTable {
  /** In the order in which they expire. */
  private readonly stored = new Map<string, StoredOrigin>();

  /** Number of records that were dropped before their time. */
  droppedCount = 0;

  /**
   * @param retentionMs - Returns the time for which a record is kept, in milliseconds.
   */
  constructor(
    private readonly timers: TimerService,
    private readonly retentionMs: () => number,
  ) {}

  get size(): number {
    return this.stored.size;
  }

  /** Records the version of a stream, or that it is not clear: a record is never replaced by another version. */
  put({ key, softwareVersion }: OriginRecord): void {
    const known = this.get(key);
    const isSame = known.state !== OriginState.Known || known.softwareVersion === softwareVersion;
    const isClear = isSame && known.state !== OriginState.Ambiguous;
    this.stored.delete(key);
    this.stored.set(key, {
      origin: isClear ? { state: OriginState.Known, softwareVersion } : AMBIGUOUS,
      until: this.timers.now() + this.retentionMs(),
    });
    if (this.stored.size <= CAPACITY) return;
    this.removeOldest();
    this.droppedCount += 1;
  }

  get(key: string): StreamOrigin {
    const stored = this.stored.get(key);
    return stored === undefined || stored.until <= this.timers.now() ? UNKNOWN : stored.origin;
  }

  /** Removes the records whose time is over. */
  expire(): void {
    const now = this.timers.now();
    for (const [key, { until }] of this.stored) {
      if (until > now) return;
      this.stored.delete(key);
    }
  }

  private removeOldest(): void {
    const [oldest] = this.stored.keys();
    this.stored.delete(oldest!);
  }
}
