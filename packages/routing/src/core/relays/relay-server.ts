/** Carries out exchanges with replicas for daemons that can't reach them. */
import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';

import { BufferBudget } from '../buffers/index.js';
import type { ExchangeHandle, ResponseSink } from '../channels/index.js';
import { ChannelFailure, ExchangePurpose } from '../channels/index.js';
import type { Cluster, Member, PeerChannel } from '../cluster/index.js';
import { encodePush, MessageType } from '../cluster/index.js';
import type { CrashDetector } from '../suspects/index.js';
import type { ReplicaEntry, ReplicaRegistry } from '../view/index.js';
import type { DirectSender } from './proved-exchange.js';
import { sendDirect } from './proved-exchange.js';
import type { RelayRequestFrame } from './relay-codec.js';
import { decodeRelayRequest, encodeRelayEvent } from './relay-codec.js';
import type { RelayEvent, RelayRequest } from './types.js';
import { RelayEventKind } from './types.js';

/** Time in which a connection to the replica must be had, in milliseconds: the stated deadline ages meanwhile. */
const SEND_TIMEOUT_MS = 200;
/** What is relayed: requests of callers. Orders carry the right of the daemon that sends them. */
const RELAYED_PURPOSES: ReadonlySet<ExchangePurpose> = new Set([
  ExchangePurpose.Request,
  ExchangePurpose.Continuation,
]);

/** Parts of the daemon that the server uses. */
export interface RelayServerOptions extends DirectSender {
  readonly cluster: Pick<Cluster, 'handle' | 'onChannelClose'>;
  readonly registry: Pick<ReplicaRegistry, 'replica'>;
  readonly detector: Pick<CrashDetector, 'hasCrashed'>;
  /** Whether this daemon is shutting down. */
  readonly isLeaving: () => boolean;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

/** Serves peers that ask for an exchange; each does so on a connection of its own. */
export class RelayServer {
  private readonly exchanges = new Map<PeerChannel, RelayedCall>();

  /** Limits the memory of the bodies of all requests that are relayed. */
  private readonly bodies = new BufferBudget();

  constructor(private readonly options: RelayServerOptions) {
    const { cluster } = options;
    cluster.handle(MessageType.Relay, (from, frame: RelayRequestFrame, channel) => {
      this.start(from, decodeRelayRequest(frame), channel);
    });
    cluster.onChannelClose((channel) => this.exchanges.get(channel)?.abandon());
  }

  /** Number of exchanges in progress. */
  get running(): number {
    return this.exchanges.size;
  }

  private start({ address }: Member, request: RelayRequest, channel: PeerChannel): void {
    const { registry, isLeaving, timers } = this.options;
    // A few bytes that expand to megabytes would not be held back.
    const report = (event: RelayEvent): boolean => channel.push(encodePush(encodeRelayEvent(event), false));
    const replica = registry.replica(request.replica);
    const isRelayed = RELAYED_PURPOSES.has(request.call.purpose) && !this.exchanges.has(channel);
    const { softwareVersion } = request;
    const isOtherVersion = softwareVersion !== undefined && softwareVersion !== replica?.softwareVersion;
    const unreadMs = timers.readAgeMs();
    // The peer may have closed the connection long since; another one carries it out sooner.
    const isLate = unreadMs >= SEND_TIMEOUT_MS;
    const bodyBytes = request.call.body?.length ?? 0;
    if (
      replica === undefined ||
      isOtherVersion ||
      !isRelayed ||
      isLeaving() ||
      isLate ||
      !this.bodies.take(bodyBytes, bodyBytes)
    ) {
      const reason = `${request.replica} can't be reached over this daemon.`;
      report({ kind: RelayEventKind.Failed, failure: ChannelFailure.NotSent, reason, hasCrashed: false });
      return;
    }
    report({ kind: RelayEventKind.Accepted });
    // The time that the peer has stated counts from before this daemon read it.
    const timeoutMs = Math.max(1, request.timeoutMs - unreadMs);
    const call = new RelayedCall({
      ...this.options,
      from: address,
      request: { ...request, timeoutMs },
      replica,
      report,
      onDrain: (callback) => channel.onDrain(callback),
    });
    this.exchanges.set(channel, call);
    void call.ended.then(() => {
      this.exchanges.delete(channel);
      this.bodies.giveBack(bodyBytes);
    });
  }
}

/** What one relayed call needs. */
interface RelayedCallOptions extends DirectSender, Pick<RelayServerOptions, 'detector' | 'timers' | 'log'> {
  /** Address of the daemon that asked for it. */
  readonly from: string;
  readonly request: RelayRequest;
  readonly replica: ReplicaEntry;
  /** Reports to that daemon; returns whether it keeps up. */
  readonly report: (event: RelayEvent) => boolean;
  /** Calls back once, when that daemon has taken what was reported. */
  readonly onDrain: (callback: () => void) => void;
}

/** One exchange for a peer; starts on construction. */
class RelayedCall implements ResponseSink {
  /** Settles when it has ended; never rejects. */
  readonly ended: Promise<void>;

  private readonly exchange: ExchangeHandle;

  private readonly deadlineTimer: TimerHandle;

  private readonly sendTimer: TimerHandle;

  private readonly startedAt: number;

  private wasSent = false;

  /** Whether the replica is held back, as the daemon that asked does not keep up. */
  private isPaused = false;

  private status: number | undefined;

  private resolve!: () => void;

  constructor(private readonly options: RelayedCallOptions) {
    const { timers, replica, request } = options;
    this.ended = new Promise((resolve) => {
      this.resolve = resolve;
    });
    this.startedAt = timers.now();
    this.deadlineTimer = timers.after(request.timeoutMs, () =>
      this.exchange.cancel('The deadline has passed.'),
    );
    this.sendTimer = timers.after(SEND_TIMEOUT_MS, () => {
      if (!this.wasSent) this.exchange.cancel(`No connection within ${SEND_TIMEOUT_MS} ms.`);
    });
    this.exchange = sendDirect(options, replica, request, this);
  }

  /** Cancels the exchange, as the daemon that asked for it has closed its connection. */
  abandon(): void {
    this.exchange.cancel('The daemon that asked for it has closed its connection.');
  }

  onSent(): void {
    this.wasSent = true;
    this.options.report({ kind: RelayEventKind.Sent });
  }

  onHead(status: number, headers: Parameters<ResponseSink['onHead']>[1]): void {
    this.status = status;
    this.options.report({ kind: RelayEventKind.Head, status, headers });
  }

  onData(chunk: Buffer): void {
    const { report, onDrain } = this.options;
    const keepsUp = report({ kind: RelayEventKind.Data, chunk });
    if (keepsUp || this.isPaused) return;
    this.isPaused = true;
    this.exchange.pause();
    onDrain(() => {
      this.isPaused = false;
      this.exchange.resume();
    });
  }

  onEnd(): void {
    this.options.report({ kind: RelayEventKind.End });
    this.finish('complete', undefined);
  }

  onFail(failure: ChannelFailure, err: Error): void {
    void this.reportFailure(failure, err.message);
  }

  private async reportFailure(failure: ChannelFailure, reason: string): Promise<void> {
    const { detector, replica, report } = this.options;
    const isBroken = failure === ChannelFailure.Broken;
    const hasCrashed = isBroken && (await detector.hasCrashed(replica));
    // What the replica has declared to this host says nothing about the host that asked.
    const isUnsent = failure === ChannelFailure.Withheld || failure === ChannelFailure.NotSent;
    const reported = isUnsent ? ChannelFailure.NotSent : ChannelFailure.Broken;
    report({ kind: RelayEventKind.Failed, failure: reported, reason, hasCrashed });
    this.finish(failure, reason);
  }

  private finish(outcome: string, reason: string | undefined): void {
    const { timers, log, from, request, replica } = this.options;
    this.deadlineTimer.cancel();
    this.sendTimer.cancel();
    const write = reason === undefined ? log.detail : log.decide;
    write('request.relayed', `The exchange with ${replica.id} for ${from} ended: ${outcome}.`, {
      request: request.request,
      replica: replica.id,
      from,
      outcome,
      status: this.status,
      reason,
      wasSent: this.wasSent,
      lastedMs: Math.round(timers.now() - this.startedAt),
      limitMs: request.timeoutMs,
    });
    this.resolve();
  }
}
