/**
 * What shows whether connections to replicas are alive.
 *
 * Silence proves nothing: a replica that is stopped sends nothing, and its system accepts connections for it. A
 * connection is dead if bytes of its replica arrive elsewhere: at a peer, or here on a connection that is newer.
 */
import type { TimerService } from '@celeryyoke/core';

import type { ReplicaEntry, ReplicaRegistry } from '../view/index.js';
import { ExchangeTimes } from './exchange-times.js';
import type { ExchangeStart, RunningExchange } from './types.js';
import { DeathProof } from './types.js';

/** Time without a byte after which an exchange, or all those with a service, count as silent, in milliseconds. */
export const SILENT_AFTER_MS = 700;
/** Time by which bytes at a peer must be later than the last ones here, in milliseconds. */
const PEER_MARGIN_MS = 400;
/** Time that older exchanges have to send something once a newer one has been responded to, in milliseconds. */
const OVERTAKEN_AFTER_MS = 250;
/** Age up to which it counts that a replica has sent something here, or to a peer, in milliseconds. */
const RESPONDING_HERE_MS = 500;
const RESPONDING_TO_PEER_MS = 2000;

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
  /** The same for bytes in exchanges, other than probes. */
  exchangedAt: number;
  /**
   * Monotonic time since which the connections of before are in doubt, in milliseconds; undefined once one of them
   * has carried a byte.
   */
  doubtedSince: number | undefined;
  /** Responses to requests that began after that, by replica. */
  readonly answers: Map<string, Answer[]>;
  /** Monotonic times of responses to probes since the replicas' last bytes in exchanges, by replica, in milliseconds. */
  readonly probedAt: Map<string, number>;
  readonly times: ExchangeTimes;
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
  recordBytes(exchange: ExchangeStart): boolean {
    const { replica, rank, startedAt } = exchange;
    this.recordHeard(replica);
    const evidence = this.evidenceOf(replica.service);
    evidence.exchangedAt = evidence.heardAt;
    evidence.times.recordBytes(exchange);
    evidence.probedAt.delete(replica.id);
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

  /** Records that an exchange has ended. */
  recordEnded(exchange: ExchangeStart): void {
    this.evidenceOf(exchange.replica.service).times.recordEnded(exchange);
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
    if (evidence.doubtedSince !== undefined && evidence.exchangedAt < evidence.doubtedSince) return false;
    evidence.doubtedSince = this.options.timers.now();
    evidence.answers.clear();
    evidence.probedAt.clear();
    return true;
  }

  /** Records that a replica has responded to a probe on a connection that was opened for it. */
  recordProbe({ id, service }: ReplicaEntry): void {
    const { probedAt } = this.evidenceOf(service);
    if (!probedAt.has(id)) probedAt.set(id, this.options.timers.now());
  }

  /** Whether a replica has responded to a probe since its last bytes in an exchange. */
  hasProbed({ id, service }: ReplicaEntry): boolean {
    return this.evidenceOf(service).probedAt.has(id);
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
    const now = this.options.timers.now();
    const since = now - (isCutOff ? RESPONDING_TO_PEER_MS : RESPONDING_HERE_MS);
    const heard = isCutOff ? this.heardByPeersAt : this.heardAt;
    const probed = isCutOff ? [] : this.evidenceOf(service).probedAt.keys();
    return new Set([...probed, ...[...heard].filter(([, at]) => at >= since).map(([id]) => id)]);
  }

  /**
   * Whether the same replica has responded to a request that began later, and none of before has got a byte. One that
   * waits for its turn may be overtaken by more urgent ones. Probes show nothing: an engine may report, and hold up its
   * streams.
   */
  private isOvertaken(exchange: RunningExchange): boolean {
    const { replica, rank, hasBegun, startedAt, lastDataAt } = exchange;
    const { doubtedSince, answers, times } = this.evidenceOf(replica.service);
    if (hasBegun && times.isOvertaken(exchange, lastDataAt)) return true;
    if (doubtedSince === undefined || startedAt >= doubtedSince || lastDataAt >= doubtedSince) return false;
    const respondedBy = this.options.timers.now() - OVERTAKEN_AFTER_MS;
    return (answers.get(replica.id) ?? []).some(
      (answer) => (hasBegun || answer.rank >= rank) && answer.at <= respondedBy,
    );
  }

  private evidenceOf(service: string): ServiceEvidence {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const created: ServiceEvidence = {
      heardAt: Number.NEGATIVE_INFINITY,
      exchangedAt: Number.NEGATIVE_INFINITY,
      doubtedSince: undefined,
      answers: new Map(),
      probedAt: new Map(),
      times: new ExchangeTimes(this.options.timers, {
        silentAfterMs: SILENT_AFTER_MS,
        overtakenAfterMs: OVERTAKEN_AFTER_MS,
      }),
    };
    this.services.set(service, created);
    return created;
  }
}
