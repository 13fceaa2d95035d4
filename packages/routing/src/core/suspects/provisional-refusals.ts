/** Features that are refused for a moment, as ends of replicas are presumed that would show them to be causes. */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { QuarantineRow } from './types.js';

/** Time for which a feature is refused, in milliseconds; renewed while ends are presumed. */
export const PROVISIONAL_MS = 2000;

/** Refusals in force, by feature. */
export class ProvisionalRefusals {
  /** Monotonic times of their ends, in milliseconds. */
  private readonly until = new Map<string, number>();

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
    if (known === undefined)
      this.log.decide('request.held', 'Requests that may end replicas are refused for the moment.', {
        fingerprint,
        replicas: replicas.join(' '),
        forMs: Math.round(until - this.timers.now()),
      });
    return true;
  }

  /**
   * Drops refusals that have ended.
   * @param isQuarantined - Whether a feature is refused in any case.
   */
  expire(isQuarantined: (feature: string) => boolean): void {
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
