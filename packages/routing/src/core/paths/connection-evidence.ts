/**
 * What shows whether connections to replicas are alive.
 *
 * Silence proves nothing: a replica that is stopped sends nothing, and its system accepts connections for it. A
 * connection is dead if bytes of its replica arrive elsewhere: at a peer, or here on a connection that is newer.
 */
import type { TimerService } from '@celeryyoke/core';

import type { ReplicaEntry, ReplicaRegistry } from '../view/index.js';
import type { RunningExchange } from './types.js';
import { DeathProof } from './types.js';

/** Time without a byte after which an exchange, or all those with a service, count as silent, in milliseconds. */
export const SILENT_AFTER_MS = 700;
/** Time by which bytes at a peer must be later than the last ones here, in milliseconds. */
const PEER_MARGIN_MS = 400;
/** Time that older exchanges have to send something once a newer one has been responded to, in milliseconds. */
const OVERTAKEN_AFTER_MS = 250;
/** Age up to which it counts that a replica has sent something, in milliseconds. */
const RESPONDING_MS = 1000;

/** A response to an exchange that began after older ones had become silent. */
interface Answer {
  readonly rank: number;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** Evidence on the connections to the replicas of one service. */
interface ServiceEvidence {
  /** Monotonic time of the latest bytes from any replica on a connection of this daemon, in milliseconds. */
  heardAt: number;
  /**
   * Monotonic time since which the connections of before are in doubt, in milliseconds; undefined once one of them
   * has carried a byte.
   */
  doubtedSince: number | undefined;
  /** Responses to exchanges that began after that, by replica. */
  readonly answers: Map<string, Answer[]>;
}

/** Options of {@link ConnectionEvidence}. */
export interface ConnectionEvidenceOptions {
  readonly registry: Pick<ReplicaRegistry, 'onReplica'>;
  readonly timers: TimerService;
}

/** Evidence on the connections to all replicas. */
export class ConnectionEvidence {
  private readonly services = new Map<string, ServiceEvidence>();

  /** Monotonic times of the latest bytes from replicas on connections of this daemon, in milliseconds. */
  private readonly heardAt = new Map<string, number>();

  /** The same at peers, as far as they were asked. */
  private readonly heardByPeersAt = new Map<string, number>();

  constructor(private readonly options: ConnectionEvidenceOptions) {
    options.registry.onReplica((id, entry) => {
      if (entry !== undefined) return;
      this.heardAt.delete(id);
      this.heardByPeersAt.delete(id);
    });
  }

  /** Records that a replica has sent bytes on any connection of this daemon. */
  recordHeard({ id, service }: ReplicaEntry): void {
    const now = this.options.timers.now();
    this.heardAt.set(id, now);
    this.evidenceOf(service).heardAt = now;
  }

  /**
   * Records that a replica has sent bytes in an exchange.
   * @returns Whether that ends doubts about older connections.
   */
  recordBytes({ replica, rank, startedAt }: Omit<RunningExchange, 'lastDataAt'>): boolean {
    this.recordHeard(replica);
    const evidence = this.evidenceOf(replica.service);
    const { doubtedSince } = evidence;
    if (doubtedSince === undefined) return false;
    if (startedAt < doubtedSince) {
      evidence.doubtedSince = undefined;
      return true;
    }
    const answers = evidence.answers.get(replica.id) ?? [];
    evidence.answers.set(replica.id, answers);
    const isNew = answers.every((answer) => answer.rank < rank);
    if (isNew) answers.push({ rank, at: this.options.timers.now() });
    return false;
  }

  /** Records what peers have heard. */
  recordPeers(heardAt: ReadonlyMap<string, number>): void {
    for (const [replica, at] of heardAt)
      this.heardByPeersAt.set(replica, Math.max(at, this.heardByPeersAt.get(replica) ?? 0));
  }

  /**
   * Begins to doubt the connections to a service, as it is silent.
   * @returns Whether that is new.
   */
  beginDoubt(service: string): boolean {
    const evidence = this.evidenceOf(service);
    if (evidence.doubtedSince !== undefined && evidence.heardAt < evidence.doubtedSince) return false;
    evidence.doubtedSince = this.options.timers.now();
    evidence.answers.clear();
    return true;
  }

  /** Time since the latest bytes from any replica of a service, in milliseconds; infinite without any. */
  serviceHeardAgoMs(service: string): number {
    return this.options.timers.now() - this.evidenceOf(service).heardAt;
  }

  /** Time since the latest bytes from a replica, in milliseconds; infinite without any. */
  heardAgoMs(replica: string): number {
    return this.options.timers.now() - (this.heardAt.get(replica) ?? Number.NEGATIVE_INFINITY);
  }

  /**
   * Whether a peer has heard from a replica well after this daemon did.
   * @param since - Monotonic time of the last bytes here, in milliseconds.
   */
  isHeardByPeerSince(replica: string, since: number): boolean {
    const at = this.heardByPeersAt.get(replica);
    return at !== undefined && at > since + PEER_MARGIN_MS;
  }

  /**
   * Returns what proves that the connection of an exchange is dead; undefined if nothing does.
   * @param isCutOff - Whether this daemon is cut off from the replica's service.
   */
  proofOf(exchange: RunningExchange, isCutOff: boolean): DeathProof | undefined {
    const { replica, lastDataAt } = exchange;
    if (this.options.timers.now() - lastDataAt <= SILENT_AFTER_MS) return undefined;
    const isServiceSilent = this.serviceHeardAgoMs(replica.service) > SILENT_AFTER_MS;
    if (isCutOff && isServiceSilent && this.isHeardByPeerSince(replica.id, lastDataAt))
      return DeathProof.HeardByPeer;
    return this.isOvertaken(exchange) ? DeathProof.Overtaken : undefined;
  }

  /** Replicas of which bytes have arrived lately: at peers if this daemon is cut off from them, else here. */
  respondingReplicas(service: string, isCutOff: boolean): ReadonlySet<string> {
    const times = isCutOff
      ? this.heardByPeersAt
      : [...this.evidenceOf(service).answers].map(([id, answers]) => [id, answers[0]!.at] as const);
    const since = isCutOff ? this.options.timers.now() - RESPONDING_MS : Number.NEGATIVE_INFINITY;
    return new Set([...times].filter(([, at]) => at >= since).map(([id]) => id));
  }

  /** Whether a later request, of no more urgency, was responded to by the same replica, and none of before was. */
  private isOvertaken({ replica, rank, startedAt, lastDataAt }: RunningExchange): boolean {
    const { doubtedSince, answers } = this.evidenceOf(replica.service);
    if (doubtedSince === undefined || startedAt >= doubtedSince || lastDataAt >= doubtedSince) return false;
    const now = this.options.timers.now();
    return (answers.get(replica.id) ?? []).some(
      (answer) => answer.rank >= rank && now - answer.at >= OVERTAKEN_AFTER_MS,
    );
  }

  private evidenceOf(service: string): ServiceEvidence {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const created = { heardAt: Number.NEGATIVE_INFINITY, doubtedSince: undefined, answers: new Map() };
    this.services.set(service, created);
    return created;
  }
}
