/** Sends requests to replicas: directly, or over a peer while this daemon is cut off from them. */
import type { TimerService } from '@celeryyoke/core';

import type { ReplicaAvailability, ReplicaDeclaration } from '../availability/index.js';
import type { ExchangeHandle, HeaderMap, ResponseSink } from '../channels/index.js';
import { ChannelFailure, failLater } from '../channels/index.js';
import type { Cluster } from '../cluster/index.js';
import type { PathMonitor, PeerSource } from '../paths/index.js';
import { CutCause, reachingPeers } from '../paths/index.js';
import type { ReplicaEntry } from '../view/index.js';
import type { DirectRequest, DirectSender } from './proved-exchange.js';
import { sendDirect } from './proved-exchange.js';
import { RelayedExchange } from './relayed-exchange.js';

/** How an exchange reaches its replica. */
export enum PathKind {
  Direct = 'direct',
  /** Direct, to find out whether replicas that were silent respond again. */
  Trial = 'trial',
  /** A peer carries it out. */
  Relayed = 'relayed',
  /** It can't be sent: this daemon is cut off, and so are all its peers. */
  Blocked = 'blocked',
}

/** The path of one exchange. */
export interface UpstreamPath {
  readonly kind: PathKind;
  /** Address of the peer that carries it out, on a relayed path. */
  readonly peer: string | undefined;
}

/** What is sent. */
export interface UpstreamRequest extends DirectRequest {
  /** Id of the caller's request. */
  readonly id: string;
  /** Time left until the deadline, in milliseconds. */
  readonly timeoutMs: number;
}

/** Parts of the daemon that a sender uses. */
export interface UpstreamSenderOptions extends DirectSender, PeerSource {
  /** Failure domain of this daemon. */
  readonly zone: string;
  readonly cluster: Pick<Cluster, 'aliveAddresses' | 'member' | 'openLink' | 'state'>;
  readonly monitor: Pick<PathMonitor, 'causeOf' | 'takeTrial'>;
  readonly availability: Pick<ReplicaAvailability, 'refusal' | 'recordDeclaration'>;
  /** Returns what the head of a response declares about its replica. */
  readonly readDeclaration: (status: number, headers: HeaderMap, requestId: string) => ReplicaDeclaration;
  readonly timers: TimerService;
  /** Returns a new random number from 0 to 1 on each call. */
  readonly random: () => number;
}

/** Time for which a peer that has not accepted a request is chosen last, in milliseconds: it may have just started. */
const AVOID_MS = 1000;

const DIRECT: UpstreamPath = { kind: PathKind.Direct, peer: undefined };
const TRIAL: UpstreamPath = { kind: PathKind.Trial, peer: undefined };
const BLOCKED: UpstreamPath = { kind: PathKind.Blocked, peer: undefined };

/** Chooses the path of each exchange. */
export class UpstreamSender {
  /** Exchanges in progress over each peer. */
  private readonly relayed = new Map<string, number>();

  /** Monotonic times until which peers are chosen last, as they have not accepted a request, in milliseconds. */
  private readonly avoidedUntil = new Map<string, number>();

  constructor(private readonly options: UpstreamSenderOptions) {}

  /**
   * Chooses how to reach a replica now.
   * @param isRepeatable - Whether the request may be sent again after it may have run.
   * @param mayTry - Whether it may be used to find out whether replicas that were silent respond again.
   */
  choosePath({ service }: ReplicaEntry, isRepeatable: boolean, mayTry: boolean): UpstreamPath {
    const { monitor } = this.options;
    const cause = monitor.causeOf(service);
    if (cause === undefined) return DIRECT;
    if (cause === CutCause.Unreachable) return BLOCKED;
    if (mayTry && monitor.takeTrial(service, isRepeatable)) return TRIAL;
    const peer = this.choosePeer(service);
    if (peer !== undefined) return { kind: PathKind.Relayed, peer };
    // Connections that are silent may be slow; there is nothing better.
    return cause === CutCause.NoConnection ? BLOCKED : DIRECT;
  }

  /**
   * Sends a request.
   * @param sink - Called at each step of the exchange.
   */
  send(
    { kind, peer }: UpstreamPath,
    replica: ReplicaEntry,
    request: UpstreamRequest,
    sink: ResponseSink,
  ): ExchangeHandle {
    if (peer !== undefined) return this.sendOver(peer, replica, request, sink);
    if (kind === PathKind.Blocked)
      return failLater(sink, ChannelFailure.NotSent, `No host reaches the replicas of ${replica.service}.`);
    return sendDirect(this.options, replica, request, sink);
  }

  private sendOver(
    peer: string,
    replica: ReplicaEntry,
    { id, call, timeoutMs, softwareVersion }: UpstreamRequest,
    sink: ResponseSink,
  ): ExchangeHandle {
    const { cluster, timers, availability } = this.options;
    const refusal = availability.refusal(replica.id, call.purpose);
    if (refusal !== undefined) return failLater(sink, ChannelFailure.Withheld, refusal);
    this.count(peer, 1);
    return new RelayedExchange({
      cluster,
      timers,
      peer,
      request: { request: id, replica: replica.id, call, timeoutMs, softwareVersion },
      sink: this.recordingDeclarations(replica, id, sink),
      onRefused: () => this.avoidedUntil.set(peer, timers.now() + AVOID_MS),
      onEnded: () => this.count(peer, -1),
    });
  }

  /** What a replica declares holds for the daemon whose request it is, too: it may send another over another peer. */
  private recordingDeclarations({ id }: ReplicaEntry, requestId: string, sink: ResponseSink): ResponseSink {
    const { availability, readDeclaration } = this.options;
    return {
      onSent: () => sink.onSent(),
      onHead: (status, headers) => {
        availability.recordDeclaration(id, readDeclaration(status, headers, requestId));
        sink.onHead(status, headers);
      },
      onData: (chunk) => sink.onData(chunk),
      onEnd: () => sink.onEnd(),
      onFail: (failure, err) => sink.onFail(failure, err),
    };
  }

  private count(peer: string, change: number): void {
    const count = (this.relayed.get(peer) ?? 0) + change;
    if (count === 0) this.relayed.delete(peer);
    else this.relayed.set(peer, count);
  }

  /**
   * Chooses the peer with the fewest exchanges of this daemon in progress, in the same failure domain if it can; one
   * that has just refused only where there is no other.
   */
  private choosePeer(service: string): string | undefined {
    const { zone, cluster, timers, random } = this.options;
    const now = timers.now();
    const peers = reachingPeers(this.options, service).map((address) => ({
      address,
      isAvoided: (this.avoidedUntil.get(address) ?? 0) > now,
      running: this.relayed.get(address) ?? 0,
      isNear: cluster.member(address)?.zone === zone,
      order: random(),
    }));
    peers.sort(
      (left, right) =>
        Number(left.isAvoided) - Number(right.isAvoided) ||
        left.running - right.running ||
        Number(right.isNear) - Number(left.isNear) ||
        left.order - right.order,
    );
    return peers[0]?.address;
  }
}
