/** Features that are refused for a moment, as ends of replicas are presumed that would show them to be causes. */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { QuarantineRow } from './types.js';

/** Time for which a feature is refused, in milliseconds; renewed while ends are presumed. */
export const PROVISIONAL_MS = 2000;

/** Time after its end for which a refusal is known, in milliseconds. */
const HISTORY_MS = 30_000;

/** Monotonic times between which a feature is refused without a break, in milliseconds. */
interface RefusedTime {
  readonly from: number;
  until: number;
}

/** Refusals in force, and recent ones, by feature. */
export class ProvisionalRefusals {
  /** Monotonic times of the ends of refusals in force, in milliseconds. */
  private readonly until = new Map<string, number>();

  private readonly history = new Map<string, RefusedTime[]>();

  constructor(
    private readonly timers: TimerService,
    private readonly log: DecisionLog,
  ) {}

  get isEmpty(): boolean {
    return this.until.size === 0;
  }

  /** Monotonic time up to which a feature is refused, in milliseconds; undefined if it is not. */
  untilOf(feature: string): number | undefined {
    return this.until.get(feature);
  }

  /**
   * Adds a refusal, or renews one that is about to end.
   * @returns Whether that changed anything.
   */
  add({ fingerprint, replicas, until }: QuarantineRow): boolean {
    const known = this.until.get(fingerprint);
    if (known !== undefined && until - known < PROVISIONAL_MS / 2) return false;
    this.until.set(fingerprint, until);
    this.record(fingerprint, until);
    if (known === undefined)
      this.log.decide('request.held', 'Requests that may end replicas are refused for the moment.', {
        fingerprint,
        replicas: replicas.join(' '),
        forMs: Math.round(until - this.timers.now()),
      });
    return true;
  }

  /**
   * Whether a feature was refused at a time.
   * @param at - Monotonic time, in milliseconds.
   */
  wasRefusedAt(feature: string, at: number): boolean {
    return this.history.get(feature)?.some(({ from, until }) => at >= from && at <= until) ?? false;
  }

  private record(feature: string, until: number): void {
    const now = this.timers.now();
    const times = this.history.get(feature) ?? [];
    this.history.set(feature, times);
    const latest = times.at(-1);
    if (latest !== undefined && latest.until >= now) latest.until = Math.max(latest.until, until);
    else times.push({ from: now, until });
  }

  private expireHistory(): void {
    const oldest = this.timers.now() - HISTORY_MS;
    for (const [feature, times] of this.history) {
      const kept = times.filter(({ until }) => until >= oldest);
      if (kept.length > 0) this.history.set(feature, kept);
      else this.history.delete(feature);
    }
  }

  /**
   * Drops refusals that have ended.
   * @param isQuarantined - Whether a feature is refused in any case.
   */
  expire(isQuarantined: (feature: string) => boolean): void {
    this.expireHistory();
    for (const [feature, until] of this.until) {
      if (until > this.timers.now()) continue;
      this.until.delete(feature);
      if (!isQuarantined(feature))
        this.log.decide('request.released', 'What requests share is no longer refused for the moment.', {
          fingerprint: feature,
        });
    }
  }
}
