/**
 * Connects this daemon to the other daemons of the fleet. The bus runs one task for each link that it dials,
 * listens for connections of its peers, and dispatches calls and heartbeats to the registered procedures and
 * sections.
 */
import { CeleryyokeError, decode } from '@celeryyoke/core';

import type { AcceptedConnection } from './accepted-connection.js';
import type { BusContext, BusCounters } from './context.js';
import { PeerLink } from './link.js';
import type { Heartbeat } from './messages.js';
import { PeerListener } from './listener.js';
import { ProcedureTable } from './procedures.js';
import { RefusalRecord } from './refusals.js';
import { SectionTable } from './sections.js';
import { DEFAULT_PEER_SETTINGS, OLDEST_PROTOCOL_VERSION } from './settings.js';
import type { SocketContext } from './socket.js';
import type {
  HeartbeatSection,
  ManagedPeerBus,
  PeerAddress,
  PeerBusOptions,
  PeerCallOptions,
  PeerDirectory,
  PeerEvent,
  PeerHandler,
  PeerIdentity,
  PeerProcedure,
  PeerSettings,
} from './types.js';
import { PeerEventKind } from './types.js';

/**
 * For this long after a later incarnation of a peer was last seen, earlier ones are refused. Bounded, because
 * after a host's clock was set back a restarted daemon has a smaller incarnation.
 */
const EARLIER_INCARNATION_REFUSAL_MS = 60_000;

/** The incarnation of a peer that was authenticated last. */
interface KnownIncarnation {
  readonly incarnation: number;
  lastSeenAt: number;
  /** Sequence number of the newest heartbeat whose sections were merged. */
  seq: number;
}

function createSocketContext(options: PeerBusOptions, settings: PeerSettings): SocketContext {
  const { metrics, timers, linkPolicy } = options;
  return {
    self: options.self.name,
    timers,
    linkPolicy,
    maxBufferedBytes: settings.maxBufferedBytes,
    sentBytes: metrics.counter('celeryyoke_peer_sent_bytes_total', 'Bytes sent to peers.'),
    sentFrames: metrics.counter('celeryyoke_peer_sent_frames_total', 'Frames sent to peers.'),
  };
}

function createCounters({ metrics }: PeerBusOptions): BusCounters {
  return {
    receivedBytes: metrics.counter('celeryyoke_peer_received_bytes_total', 'Bytes received from peers.'),
    calls: metrics.counter('celeryyoke_peer_calls_total', 'Calls made to peers.'),
    heartbeats: metrics.counter('celeryyoke_peer_heartbeats_total', 'Heartbeats sent to peers.'),
  };
}

/** Peer bus over tRPC on WebSockets. */
class TrpcPeerBus implements ManagedPeerBus, BusContext {
  readonly self: PeerIdentity;

  readonly settings: PeerSettings;

  readonly oldestProtocol: number;

  readonly log;

  readonly socketContext: SocketContext;

  readonly counters: BusCounters;

  readonly procedures: ProcedureTable;

  readonly sections: SectionTable;

  readonly refusals: RefusalRecord;

  private readonly listener: PeerListener;

  private readonly listed = new Map<string, PeerAddress>();

  private linked: ReadonlySet<string> = new Set();

  private readonly links = new Map<string, PeerLink>();

  private readonly knownIncarnations = new Map<string, KnownIncarnation>();

  private readonly listeners = new Set<(event: PeerEvent) => void>();

  private isStopped = false;

  private lastSeq = 0;

  constructor(readonly options: PeerBusOptions) {
    this.self = options.self;
    this.settings = { ...DEFAULT_PEER_SETTINGS, ...options.settings };
    this.oldestProtocol = options.oldestProtocol ?? OLDEST_PROTOCOL_VERSION;
    this.log = options.log.part('peers');
    this.socketContext = createSocketContext(options, this.settings);
    this.counters = createCounters(options);
    this.procedures = new ProcedureTable(this.settings.maxMessageBytes);
    this.sections = new SectionTable(this.settings.maxSectionBytes, this.log);
    this.refusals = new RefusalRecord({ timers: options.timers, log: this.log, audit: options.audit });
    this.listener = new PeerListener(this);
  }

  start(): Promise<number> {
    return this.listener.start();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    const links = [...this.links.values()];
    this.links.clear();
    await Promise.all(links.map((link) => link.stop()));
    await this.listener.stop();
  }

  updatePeers(directory: PeerDirectory): void {
    if (this.isStopped) return;
    this.listed.clear();
    for (const peer of directory.listed) if (peer.name !== this.self.name) this.listed.set(peer.name, peer);
    this.linked = directory.linked;
    for (const link of this.links.values()) this.updateLink(link);
    for (const name of directory.linked) {
      const peer = this.listed.get(name);
      if (peer !== undefined && !this.links.has(name)) this.addLink(peer);
    }
    this.listener.closeDisallowed(
      (link) => link.authenticatedPeer === undefined || this.isListed(link.authenticatedPeer.name),
    );
  }

  subscribe(listener: (event: PeerEvent) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  handle<Input, Output>(procedure: PeerProcedure<Input, Output>, handler: PeerHandler<Input, Output>): void {
    this.procedures.add(procedure, handler);
  }

  addHeartbeatSection(section: HeartbeatSection): void {
    this.sections.add(section);
  }

  async call<Input, Output>(
    peer: string,
    procedure: PeerProcedure<Input, Output>,
    input: Input,
    options: PeerCallOptions,
  ): Promise<Output> {
    if (peer === this.self.name)
      return (await this.procedures.run(procedure.name, input, this.self)) as Output;
    const link = this.links.get(peer) ?? this.linkForCall(peer);
    this.counters.calls.add();
    const encoded = this.procedures.encodeMessage(input);
    return decode(await this.callWithTimeout(link, procedure.name, encoded, options)) as Output;
  }

  isListed(name: string): boolean {
    return this.listed.has(name);
  }

  sendsHeartbeatsTo(name: string): boolean {
    return this.linked.has(name) && this.links.get(name)?.peer !== undefined;
  }

  createHeartbeat(peer: string, withSections: boolean): Heartbeat {
    this.lastSeq += 1;
    const sections = withSections ? this.sections.collect(peer) : undefined;
    return sections === undefined ? { seq: this.lastSeq } : { seq: this.lastSeq, sections };
  }

  mergeSections(peer: PeerIdentity, { seq, sections }: Heartbeat): void {
    const known = this.knownIncarnations.get(peer.name);
    // Heartbeats and acknowledgements can use two connections, so they may arrive out of order.
    if (sections === undefined || known?.incarnation !== peer.incarnation || seq <= known.seq) return;
    known.seq = seq;
    this.sections.merge(peer, sections);
  }

  admit(peer: PeerIdentity): void {
    const now = this.options.timers.now();
    const known = this.knownIncarnations.get(peer.name);
    const isEarlier = known !== undefined && known.incarnation > peer.incarnation;
    if (isEarlier && now - known.lastSeenAt < EARLIER_INCARNATION_REFUSAL_MS) {
      throw new CeleryyokeError('PeerSuperseded', { peer: peer.name });
    }
    const seq = known?.incarnation === peer.incarnation ? known.seq : 0;
    this.knownIncarnations.set(peer.name, { incarnation: peer.incarnation, lastSeenAt: now, seq });
    const isSuperseded = (link: AcceptedConnection): boolean =>
      link.authenticatedPeer?.name === peer.name && link.authenticatedPeer.incarnation !== peer.incarnation;
    this.listener.closeDisallowed((link) => !isSuperseded(link));
  }

  emit(kind: PeerEventKind, name: string, peer: PeerIdentity | undefined): void {
    const known = this.knownIncarnations.get(name);
    if (
      kind === PeerEventKind.HeartbeatExchanged &&
      known !== undefined &&
      known.incarnation === peer?.incarnation
    ) {
      known.lastSeenAt = this.options.timers.now();
    }
    for (const listener of this.listeners) listener({ kind, name, peer });
  }

  recordRefusal(peer: string, err: CeleryyokeError): void {
    this.refusals.record(peer, err);
  }

  private async callWithTimeout(
    link: PeerLink,
    procedure: string,
    input: Uint8Array<ArrayBuffer>,
    options: PeerCallOptions,
  ): Promise<Uint8Array> {
    const controller = new AbortController();
    const onAbort = (): void => controller.abort();
    const timer = this.options.timers.after(options.timeoutMs, onAbort);
    options.signal?.addEventListener('abort', onAbort, { once: true });
    if (options.signal?.aborted) onAbort();
    try {
      return await link.call(procedure, input, controller.signal);
    } finally {
      timer.cancel();
      options.signal?.removeEventListener('abort', onAbort);
    }
  }

  private linkForCall(name: string): PeerLink {
    const peer = this.listed.get(name);
    if (peer === undefined || this.isStopped) {
      throw new CeleryyokeError('PeerUnreachable', { peer: name, sent: 'no' });
    }
    return this.addLink(peer);
  }

  private addLink(peer: PeerAddress): PeerLink {
    const link = new PeerLink(this, peer, this.linked.has(peer.name));
    this.links.set(peer.name, link);
    void link.start().then(() => {
      if (this.links.get(peer.name) === link) this.links.delete(peer.name);
    });
    return link;
  }

  /**
   * Stops a link whose peer was removed or has a new address; otherwise updates whether the link is
   * persistent.
   */
  private updateLink(link: PeerLink): void {
    const { name, address } = link.target;
    if (this.listed.get(name)?.address === address) {
      link.setPersistent(this.linked.has(name));
      return;
    }
    this.links.delete(name);
    if (!this.listed.has(name)) this.knownIncarnations.delete(name);
    void link.stop();
  }
}

/**
 * Creates a peer bus. It listens from {@link ManagedPeerBus.start} on, and dials the peers that
 * {@link ManagedPeerBus.updatePeers} names.
 */
export function createPeerBus(options: PeerBusOptions): ManagedPeerBus {
  return new TrpcPeerBus(options);
}
