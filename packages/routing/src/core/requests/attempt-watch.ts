/**
 * Watches one attempt, and leaves it for another one when its connection is proved to be dead.
 *
 * The other attempt is prepared first. While none can be made, the attempt goes on until the deadline of its request:
 * whatever runs may still respond.
 */
import type { DecisionLog, TimerService } from '@celeryyoke/core';

import type { DeathProof, PathMonitor } from '../paths/index.js';
import type { ReplicaEntry } from '../view/index.js';
import type { AdmittedAttempt } from './admitted-attempt.js';
import type { Attempt } from './attempt.js';

/** Time after a search for another attempt until the next one, in milliseconds. */
const SEARCH_INTERVAL_MS = 500;

/** Why an attempt is kept although its connection is dead. */
export enum KeepReason {
  NoAttemptLeft = 'noAttemptLeft',
  /** The retry budget has none to spare. */
  NoPermit = 'noPermit',
  /** No replica that responds can take the request. */
  NoReplica = 'noReplica',
}

/** What a watch uses. */
export interface AttemptWatchOptions {
  readonly attempt: Attempt;
  readonly replica: ReplicaEntry;
  /** Id of the request. */
  readonly request: string;
  /** Urgency of the request; 0 is the most urgent. */
  readonly rank: number;
  readonly paths: Pick<PathMonitor, 'onReview' | 'proofOf' | 'respondingReplicas'>;
  /** Prepares another attempt at one of some replicas, while the watched one goes on. */
  readonly prepareNext: (among: ReadonlySet<string>) => Promise<AdmittedAttempt | KeepReason>;
  /** Takes the attempt that is to be made next. */
  readonly onLeave: (next: AdmittedAttempt) => void;
  readonly discard: (next: AdmittedAttempt) => void;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

/** Watches an attempt until {@link AttemptWatch.end}. */
export class AttemptWatch {
  private readonly stopReviews: () => void;

  private isSearching = false;

  private hasEnded = false;

  private searchedAt = Number.NEGATIVE_INFINITY;

  private keptFor: KeepReason | undefined;

  constructor(private readonly options: AttemptWatchOptions) {
    this.stopReviews = options.paths.onReview(() => this.review());
  }

  /** Ends the watch, as the attempt has ended. */
  end(): void {
    this.hasEnded = true;
    this.stopReviews();
  }

  private review(): void {
    const isTooSoon = this.options.timers.now() - this.searchedAt < SEARCH_INTERVAL_MS;
    if (this.isSearching || isTooSoon || this.proof() === undefined) return;
    this.isSearching = true;
    void this.search();
  }

  private async search(): Promise<void> {
    const { paths, replica, prepareNext, discard, timers, log } = this.options;
    try {
      const next = await prepareNext(paths.respondingReplicas(replica.service));
      const proof = this.proof();
      if (typeof next === 'string') this.logKept(next);
      else if (this.hasEnded || proof === undefined) discard(next);
      else this.leave(next, proof);
    } catch (err) {
      log.warn(`Failed to prepare another attempt for ${this.options.request}: ${String(err)}.`);
    } finally {
      this.isSearching = false;
      this.searchedAt = timers.now();
    }
  }

  private proof(): DeathProof | undefined {
    const { attempt, replica, rank, paths } = this.options;
    const { hasBegun, startedAt, lastDataAt } = attempt;
    if (!attempt.mayHaveArrived || attempt.isHeldBack) return undefined;
    return paths.proofOf({ replica, rank, hasBegun, startedAt, lastDataAt });
  }

  private leave(next: AdmittedAttempt, proof: DeathProof): void {
    const { attempt, replica, request, timers, log, onLeave } = this.options;
    log.decide('request.left', `The attempt at ${replica.id} is left: its connection is dead.`, {
      request,
      replica: replica.id,
      proof,
      silentMs: Math.round(timers.now() - attempt.lastDataAt),
      next: next.choice.replica.id,
    });
    onLeave(next);
    attempt.leave('The connection is dead.');
  }

  private logKept(reason: KeepReason): void {
    if (this.hasEnded || this.keptFor === reason) return;
    this.keptFor = reason;
    const { attempt, replica, request, timers, log } = this.options;
    log.decide('request.kept', `The attempt at ${replica.id} goes on, as no other can be made.`, {
      request,
      replica: replica.id,
      reason,
      silentMs: Math.round(timers.now() - attempt.lastDataAt),
    });
  }
}
