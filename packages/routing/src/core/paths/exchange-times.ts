/**
 * When replicas of a service have sent bytes in the exchanges of this daemon.
 *
 * If all exchanges of before a moment are silent since then, while later ones go on, the connections of before are dead:
 * an engine that runs out of memory holds up the latest streams, and no engine holds up all of them.
 */
import type { TimerService } from '@celeryyoke/core';

import type { ExchangeStart } from './types.js';

/** Time for which exchanges that have ended are kept, in milliseconds: others of their time may still be in progress. */
const RETENTION_MS = 5000;
/** Interval at which they are removed, in milliseconds. */
const EXPIRY_INTERVAL_MS = 1000;
/** Streams that must be silent, or have been to their end, so that it is not the state of a single one. */
const MIN_SILENT_STREAMS = 2;

interface BegunExchange {
  /** Monotonic milliseconds. */
  readonly firstByteAt: number;
  lastByteAt: number;
  /** Monotonic milliseconds; undefined while it is in progress. */
  endedAt: number | undefined;
}

/** What {@link ExchangeTimes.isOvertaken} takes for silence, and for going on. */
export interface OvertakenLimits {
  readonly silentAfterMs: number;
  readonly overtakenAfterMs: number;
}

/** Times of the bytes of exchanges with the replicas of one service. */
export class ExchangeTimes {
  private readonly begun = new Map<ExchangeStart, BegunExchange>();

  private expiredAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly timers: TimerService,
    private readonly limits: OvertakenLimits,
  ) {}

  /** Records that bytes have arrived in an exchange; the same object names it each time. */
  recordBytes(exchange: ExchangeStart): void {
    const now = this.timers.now();
    const known = this.begun.get(exchange);
    if (known !== undefined) known.lastByteAt = now;
    else this.begun.set(exchange, { firstByteAt: now, lastByteAt: now, endedAt: undefined });
  }

  recordEnded(exchange: ExchangeStart): void {
    const known = this.begun.get(exchange);
    if (known !== undefined) known.endedAt ??= this.timers.now();
    this.expire();
  }

  /**
   * Whether the exchanges of before the last bytes of a silent one are silent as well, while its replica goes on.
   * @param lastDataAt - Monotonic time of its last bytes, in milliseconds.
   */
  isOvertaken({ replica }: Pick<ExchangeStart, 'replica'>, lastDataAt: number): boolean {
    const { silentAfterMs, overtakenAfterMs } = this.limits;
    const now = this.timers.now();
    const earlier = [...this.begun].filter(([{ startedAt }]) => startedAt <= lastDataAt);
    const heardAt = Math.max(lastDataAt, ...earlier.map(([, { lastByteAt }]) => lastByteAt));
    const silent = earlier.filter(
      ([, { lastByteAt, endedAt = now }]) => endedAt - lastByteAt > silentAfterMs,
    );
    if (now - heardAt <= silentAfterMs || silent.length < MIN_SILENT_STREAMS) return false;
    const respondedBy = now - overtakenAfterMs;
    return [...this.begun].some(
      ([later, { firstByteAt }]) =>
        later.replica.id === replica.id && later.startedAt > heardAt && firstByteAt <= respondedBy,
    );
  }

  private expire(): void {
    const now = this.timers.now();
    if (now - this.expiredAt < EXPIRY_INTERVAL_MS) return;
    this.expiredAt = now;
    for (const [exchange, { endedAt = now }] of this.begun)
      if (now - endedAt > RETENTION_MS) this.begun.delete(exchange);
  }
}
