/** Finds replicas that have ended with requests in flight, by whatever sign shows it. */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { ReplicaRegistry } from '../view/index.js';
import { ReplicaState } from '../view/index.js';
import type { AttemptLedger } from './attempt-ledger.js';

const EXPIRY_INTERVAL_MS = 1000;

/** What the finder uses. */
export interface ReplicaEndsOptions {
  readonly registry: Pick<ReplicaRegistry, 'onReplica'>;
  readonly attempts: AttemptLedger;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

/** Looks for ends of replicas until {@link ReplicaEnds.stop}. */
export class ReplicaEnds {
  private readonly expiryTimer;

  constructor(private readonly options: ReplicaEndsOptions) {
    const { registry, attempts, timers } = options;
    registry.onReplica((id, entry, before) => {
      if (entry === undefined && before?.state === ReplicaState.Ready) this.logRemoved(id);
    });
    this.expiryTimer = timers.repeat(EXPIRY_INTERVAL_MS, () => attempts.expire());
  }

  /** Cancels the timer. */
  stop(): void {
    this.expiryTimer.cancel();
  }

  private logRemoved(replica: string): void {
    const { attempts, timers, log } = this.options;
    const records = attempts.unanswered(replica);
    if (records.length === 0) return;
    const now = timers.now();
    const silentMs = Math.min(...records.map(({ heardAt, sentAt }) => now - (heardAt ?? sentAt)));
    log.decide('replica.ended', `Replica ${replica} was removed with requests that it has not answered.`, {
      replica,
      unanswered: records.length,
      givenUp: records.filter(({ endedAt }) => endedAt !== undefined).length,
      silentMs: Math.round(silentMs),
      longestAnswerMs: Math.round(Math.max(...records.map(({ livedMs }) => livedMs))),
    });
  }
}
