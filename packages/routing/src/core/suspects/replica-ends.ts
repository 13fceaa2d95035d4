/**
 * Finds replicas that end with requests in flight and close no connection.
 *
 * A replica that sends nothing on connections on which answers had begun, or nothing at all for longer, is presumed to have
 * ended if other replicas still send. That its entry is removed confirms it; that it is replaced by another start shows it by
 * itself. A part of an answer to an attempt of before refutes it.
 */
import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';

import type { PathMonitor, PeerWitness } from '../paths/index.js';
import type { ReplicaEntry, ReplicaRegistry } from '../view/index.js';
import { ReplicaState } from '../view/index.js';
import type { AttemptLedger, AttemptRecord } from './attempt-ledger.js';
import { EndSign, REFUTE_AFTER_MS, UNHEARD_AFTER_MS } from './end-signs.js';
import type { SuspectRegistry } from './suspect-registry.js';

const EXPIRY_INTERVAL_MS = 1000;
const REVIEW_INTERVAL_MS = 100;
/** Time without a byte after which a replica with answers in progress is presumed to have ended, in milliseconds. */
const SILENT_AFTER_MS = 500;
/** Factor by which that time grows for a replica each time that it turns out to go on, and its limit. */
const REFUTED_FACTOR = 2;
const MAX_SILENT_AFTER_MS = 8000;
/** Time without a byte after which a replica whose entry is removed has ended, in milliseconds. */
const REMOVED_AFTER_MS = 400;
/** Time between the last bytes of two attempts that a replica served at the same time, in milliseconds. */
const SAME_TIME_MS = 250;
/** Time by which bytes at a peer must be later than the last ones here, in milliseconds. */
const PEER_MARGIN_MS = 200;

/** What the finder uses. */
export interface ReplicaEndsOptions {
  readonly registry: Pick<ReplicaRegistry, 'onReplica' | 'replica' | 'all'>;
  readonly attempts: Pick<AttemptLedger, 'replicas' | 'unanswered' | 'lastHeardAt' | 'onBody' | 'expire'>;
  readonly suspects: Pick<
    SuspectRegistry,
    'reportEnd' | 'unexplainedEnd' | 'isPresumed' | 'refute' | 'onRefuted'
  >;
  readonly witness: Pick<PeerWitness, 'ask'>;
  readonly paths: Pick<PathMonitor, 'causeOf'>;
  /** Whether this process was paused so recently that it may not have read what has arrived since. */
  readonly isRecovering: () => boolean;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

/** Looks for ends of replicas until {@link ReplicaEnds.stop}. */
export class ReplicaEnds {
  private readonly timerHandles: readonly TimerHandle[];

  /** Times without a byte after which replicas that have been silent before are presumed to have ended, in milliseconds. */
  private readonly silentAfterMs = new Map<string, number>();

  private isStopped = false;

  constructor(private readonly options: ReplicaEndsOptions) {
    const { registry, attempts, suspects, timers, log } = options;
    registry.onReplica((id, entry, before) => {
      if (entry !== undefined) return;
      this.silentAfterMs.delete(id);
      // The entry of another start is listed after this one is removed.
      if (before?.state === ReplicaState.Ready)
        queueMicrotask(() => {
          this.handleRemoved(before).catch((err: unknown) =>
            log.warn(`Failed to find out how ${id} has ended: ${String(err)}.`),
          );
        });
    });
    suspects.onRefuted((replica) => this.handleRefuted(replica));
    attempts.onBody((record) => this.handleBody(record));
    this.timerHandles = [
      timers.repeat(REVIEW_INTERVAL_MS, () => this.review()),
      timers.repeat(EXPIRY_INTERVAL_MS, () => attempts.expire()),
    ];
  }

  /** Cancels the timers; questions in progress change nothing any more. */
  stop(): void {
    this.isStopped = true;
    for (const handle of this.timerHandles) handle.cancel();
  }

  private review(): void {
    const { attempts, registry, suspects } = this.options;
    for (const id of attempts.replicas()) {
      const entry = registry.replica(id);
      if (entry !== undefined && this.mayHaveEnded(entry)) suspects.reportEnd(id, EndSign.Silent);
    }
  }

  /** Whether a replica is silent towards open attempts, while other replicas of its service send. */
  private mayHaveEnded({ id, service }: ReplicaEntry): boolean {
    if (this.silenceMs(id) <= (this.silentAfterMs.get(id) ?? SILENT_AFTER_MS)) return false;
    if (this.options.suspects.unexplainedEnd(id) !== undefined) return false;
    const isOpen = this.silentAttempts(id).some(({ endedAt }) => endedAt === undefined);
    return isOpen && this.canTell(service) && this.isHeardBeside(id, service);
  }

  /** Takes longer to presume the end of a replica that was silent and goes on. */
  private handleRefuted(replica: string): void {
    const ms = (this.silentAfterMs.get(replica) ?? SILENT_AFTER_MS) * REFUTED_FACTOR;
    this.silentAfterMs.set(replica, Math.min(MAX_SILENT_AFTER_MS, ms));
  }

  /** Whether silence of a replica is its own: this daemon reads what arrives, and is not cut off from the service. */
  private canTell(service: string): boolean {
    const { paths, isRecovering } = this.options;
    return !this.isStopped && !isRecovering() && paths.causeOf(service) === undefined;
  }

  /**
   * Attempts whose answers had begun, and which were silent for a while at the end of what the replica has sent; and those
   * since whose begin it has sent nothing for long.
   */
  private silentAttempts(replica: string): AttemptRecord[] {
    const { attempts, timers } = this.options;
    const lastAt = attempts.lastHeardAt(replica) ?? Number.NEGATIVE_INFINITY;
    return attempts.unanswered(replica).filter(({ subject, sentAt, heardAt, endedAt = timers.now() }) => {
      if (subject.isRelayed) return false;
      if (heardAt === undefined) return sentAt >= lastAt && endedAt - sentAt > UNHEARD_AFTER_MS;
      return heardAt >= lastAt - SAME_TIME_MS && endedAt - heardAt > REMOVED_AFTER_MS;
    });
  }

  /** Whether another replica of a service sends something. */
  private isHeardBeside(replica: string, service: string): boolean {
    const { attempts, registry } = this.options;
    return [...attempts.replicas()].some(
      (id) =>
        id !== replica && registry.replica(id)?.service === service && this.silenceMs(id) < SILENT_AFTER_MS,
    );
  }

  /** Time since the last bytes from a replica, in milliseconds; infinite without any. */
  private silenceMs(replica: string): number {
    const { attempts, timers } = this.options;
    return timers.now() - (attempts.lastHeardAt(replica) ?? Number.NEGATIVE_INFINITY);
  }

  /** Asks peers whether they have heard from a replica since this daemon has. */
  private async isSilentEverywhere({ id, service }: ReplicaEntry): Promise<boolean> {
    const { witness, attempts } = this.options;
    const heardAt = attempts.lastHeardAt(id) ?? 0;
    const evidence = await witness.ask(service, [id], false);
    const isHeardSince = (evidence.heardAt.get(id) ?? 0) > heardAt + PEER_MARGIN_MS;
    return this.canTell(service) && !isHeardSince && this.silenceMs(id) > REMOVED_AFTER_MS;
  }

  private async handleRemoved(entry: ReplicaEntry): Promise<void> {
    const { attempts, suspects, registry } = this.options;
    const { id, name } = entry;
    const records = attempts.unanswered(id);
    this.logRemoved(id, records);
    const isReplaced = [...registry.all()].some((other) => other.name === name && other.id !== id);
    if (isReplaced && records.length > 0) suspects.reportEnd(id, EndSign.Replaced);
    // A replica that leaves without a word is removed while it still answers.
    const mayHaveEnded = suspects.isPresumed(id) || this.silentAttempts(id).length > 0;
    if (isReplaced || !mayHaveEnded) return;
    if (suspects.isPresumed(id) || (await this.isSilentEverywhere(entry)))
      suspects.reportEnd(id, EndSign.Removed);
  }

  /** Refutes an end: by an attempt of before, or by any one where another start has another name. */
  private handleBody({ subject: { replica }, sentAt }: AttemptRecord): void {
    const { suspects, registry, isRecovering, timers } = this.options;
    const endedAt = suspects.unexplainedEnd(replica);
    if (endedAt === undefined || isRecovering() || timers.now() - endedAt <= REFUTE_AFTER_MS) return;
    const entry = registry.replica(replica);
    const isSameStart = entry !== undefined && entry.bornAt === undefined;
    if (sentAt <= endedAt || isSameStart) suspects.refute(replica);
  }

  private logRemoved(replica: string, records: readonly AttemptRecord[]): void {
    const { timers, log } = this.options;
    if (records.length === 0) return;
    const now = timers.now();
    const silentMs = Math.min(...records.map(({ heardAt, sentAt }) => now - (heardAt ?? sentAt)));
    log.decide('replica.ended', `Replica ${replica} was removed with requests that it has not answered.`, {
      replica,
      unanswered: records.length,
      givenUp: records.filter(({ endedAt }) => endedAt !== undefined).length,
      silentMs: Math.round(silentMs),
      longestAnswerMs: Math.round(Math.max(...records.map(({ answer }) => answer.livedMs))),
    });
  }
}
