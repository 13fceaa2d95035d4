/**
 * Finds replicas that end with requests in flight and close no connection.
 *
 * A replica that sends nothing on connections on which answers had begun is presumed to have ended if other replicas
 * still send, and no peer has heard from it. That its entry is removed, or replaced by another start, confirms it. Any
 * byte on a connection of before refutes it.
 */
import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';

import type { PathMonitor, PeerWitness } from '../paths/index.js';
import type { ReplicaEntry, ReplicaRegistry } from '../view/index.js';
import { ReplicaState } from '../view/index.js';
import type { AttemptLedger, AttemptRecord } from './attempt-ledger.js';
import { EndSign } from './end-signs.js';
import type { SuspectRegistry } from './suspect-registry.js';

const EXPIRY_INTERVAL_MS = 1000;
const REVIEW_INTERVAL_MS = 100;
/** Time without a byte after which a replica with answers in progress may have ended, in milliseconds. */
const SILENT_AFTER_MS = 500;
/** Time without a byte after which a replica whose entry is removed has ended, in milliseconds. */
const REMOVED_AFTER_MS = 400;
/** Time between two questions to peers about one replica, in milliseconds. */
const ASK_INTERVAL_MS = 1000;
/** Time by which bytes at a peer must be later than the last ones here, in milliseconds. */
const PEER_MARGIN_MS = 200;

/** What the finder uses. */
export interface ReplicaEndsOptions {
  readonly registry: Pick<ReplicaRegistry, 'onReplica' | 'replica'>;
  readonly attempts: Pick<AttemptLedger, 'replicas' | 'unanswered' | 'lastHeardAt' | 'onBytes' | 'expire'>;
  readonly suspects: Pick<SuspectRegistry, 'reportEnd' | 'presumedEnd' | 'refute'>;
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

  /** Monotonic times at which peers were asked about replicas, in milliseconds. */
  private readonly askedAt = new Map<string, number>();

  private isStopped = false;

  constructor(private readonly options: ReplicaEndsOptions) {
    const { registry, attempts, timers } = options;
    registry.onReplica((id, entry, before) => {
      if (entry !== undefined) return;
      this.askedAt.delete(id);
      if (before?.state === ReplicaState.Ready) this.handleRemoved(id);
    });
    attempts.onBytes((record) => this.handleBytes(record));
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
    if (this.options.isRecovering()) return;
    for (const id of this.options.attempts.replicas()) {
      const entry = this.options.registry.replica(id);
      if (entry !== undefined && this.mayHaveEnded(entry)) void this.askPeers(entry);
    }
  }

  /** Whether answers of a replica that had begun are silent, while other replicas of its service send. */
  private mayHaveEnded({ id, service }: ReplicaEntry): boolean {
    const { attempts, suspects, paths, timers } = this.options;
    const now = timers.now();
    if (this.silenceMs(id) <= SILENT_AFTER_MS) return false;
    if (now - (this.askedAt.get(id) ?? Number.NEGATIVE_INFINITY) < ASK_INTERVAL_MS) return false;
    if (suspects.presumedEnd(id) !== undefined || paths.causeOf(service) !== undefined) return false;
    const isWaiting = attempts
      .unanswered(id)
      .some(
        ({ answer, endedAt, isRelayed }) =>
          answer.beganAt !== undefined && endedAt === undefined && !isRelayed,
      );
    return isWaiting && this.isHeardBeside(id, service);
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

  private async askPeers({ id, service }: ReplicaEntry): Promise<void> {
    const { witness, suspects, attempts, timers } = this.options;
    this.askedAt.set(id, timers.now());
    const heardAt = attempts.lastHeardAt(id) ?? 0;
    const evidence = await witness.ask(service, [id], false);
    const isHeardSince = (evidence.heardAt.get(id) ?? 0) > heardAt + PEER_MARGIN_MS;
    const hasSentSince = this.silenceMs(id) <= SILENT_AFTER_MS;
    if (!this.isStopped && !isHeardSince && !hasSentSince) suspects.reportEnd(id, EndSign.Silent);
  }

  private handleRemoved(replica: string): void {
    const { attempts, suspects } = this.options;
    const records = attempts.unanswered(replica);
    const isSilent = this.silenceMs(replica) > REMOVED_AFTER_MS;
    this.logRemoved(replica, records);
    if (isSilent && (records.length > 0 || suspects.presumedEnd(replica) !== undefined))
      suspects.reportEnd(replica, EndSign.Removed);
  }

  /** Refutes a presumed end: by an attempt of before, or by any one where another start has another name. */
  private handleBytes({ replica, sentAt, answer }: AttemptRecord): void {
    const { suspects, registry, isRecovering } = this.options;
    const endedAt = suspects.presumedEnd(replica);
    if (endedAt === undefined || isRecovering()) return;
    const isSameStart = answer.beganAt !== undefined && registry.replica(replica)?.bornAt === undefined;
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
