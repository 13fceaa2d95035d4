/** The peer bus: a task for each link, a listener, and the tables of procedures and sections. */
import { CeleryyokeError, decode } from '@celeryyoke/core';

import type { AcceptedLink } from './accepted-connection.js';
import type { BusContext, BusCounters } from './context.js';
import { PeerLink } from './link.js';
import type { Beat } from './messages.js';
import { PeerListener } from './listener.js';
import { ProcedureTable } from './procedures.js';
import { RefusalRecord } from './refusals.js';
import { SectionTable } from './sections.js';
import { DEFAULT_PEER_SETTINGS, OLDEST_PROTOCOL_VERSION } from './settings.js';
import type { FrameGate } from './socket.js';
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

/** For how long a later start keeps out an earlier one; bounded, in case a host's clock was set back. */
const SUPERSEDED_MS = 60_000;

/** The start of a peer that was heard last. */
interface HeardStart {
  readonly incarnation: number;
  heardAt: number;
  /** Number of the newest sections that were taken in. */
  seq: number;
}

function makeGate(options: PeerBusOptions, settings: PeerSettings): FrameGate {
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

function makeCounters({ metrics }: PeerBusOptions): BusCounters {
  return {
    receivedBytes: metrics.counter('celeryyoke_peer_received_bytes_total', 'Bytes received from peers.'),
    calls: metrics.counter('celeryyoke_peer_calls_total', 'Calls made to peers.'),
    beats: metrics.counter('celeryyoke_peer_heartbeats_total', 'Heartbeats sent to peers.'),
  };
}

/** The bus of one daemon. */
class TrpcPeerBus implements ManagedPeerBus, BusContext {
  readonly self: PeerIdentity;

  readonly settings: PeerSettings;

  readonly oldestProtocol: number;

  readonly log;

  readonly gate: FrameGate;

  readonly counters: BusCounters;

  readonly procedures: ProcedureTable;

  readonly sections: SectionTable;

  readonly refusals: RefusalRecord;

  private readonly listener: PeerListener;

  private readonly listed = new Map<string, PeerAddress>();

  private linked: ReadonlySet<string> = new Set();

  private readonly links = new Map<string, PeerLink>();

  private readonly heard = new Map<string, HeardStart>();

  private readonly listeners = new Set<(event: PeerEvent) => void>();

  private isStopped = false;

  private seq = 0;

  constructor(readonly options: PeerBusOptions) {
    this.self = options.self;
    this.settings = { ...DEFAULT_PEER_SETTINGS, ...options.settings };
    this.oldestProtocol = options.oldestProtocol ?? OLDEST_PROTOCOL_VERSION;
    this.log = options.log.part('peers');
    this.gate = makeGate(options, this.settings);
    this.counters = makeCounters(options);
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
    for (const link of this.links.values()) this.review(link);
    for (const name of directory.linked) {
      const peer = this.listed.get(name);
      if (peer !== undefined && !this.links.has(name)) this.addLink(peer);
    }
    this.listener.prune((link) => link.identity === undefined || this.isListed(link.identity.name));
  }

  subscribe(listener: (event: PeerEvent) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  handle<Input, Output>(procedure: PeerProcedure<Input, Output>, handler: PeerHandler<Input, Output>): void {
    this.procedures.add(procedure, handler);
  }

  contribute(section: HeartbeatSection): void {
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
    const packed = this.procedures.pack(input);
    return decode(await this.callInTime(link, procedure.name, packed, options)) as Output;
  }

  isListed(name: string): boolean {
    return this.listed.has(name);
  }

  beats(name: string): boolean {
    return this.linked.has(name) && this.links.get(name)?.peer !== undefined;
  }

  makeBeat(peer: string, withSections: boolean): Beat {
    this.seq += 1;
    const sections = withSections ? this.sections.collect(peer) : undefined;
    return sections === undefined ? { seq: this.seq } : { seq: this.seq, sections };
  }

  takeIn(peer: PeerIdentity, { seq, sections }: Beat): void {
    const start = this.heard.get(peer.name);
    // Heartbeats and acknowledgements travel on two connections, so they may overtake each other.
    if (sections === undefined || start?.incarnation !== peer.incarnation || seq <= start.seq) return;
    start.seq = seq;
    this.sections.absorb(peer, sections);
  }

  admit(peer: PeerIdentity): void {
    const now = this.options.timers.now();
    const known = this.heard.get(peer.name);
    const isEarlier = known !== undefined && known.incarnation > peer.incarnation;
    if (isEarlier && now - known.heardAt < SUPERSEDED_MS) {
      throw new CeleryyokeError('PeerSuperseded', { peer: peer.name });
    }
    const seq = known?.incarnation === peer.incarnation ? known.seq : 0;
    this.heard.set(peer.name, { incarnation: peer.incarnation, heardAt: now, seq });
    const isSuperseded = (link: AcceptedLink): boolean =>
      link.identity?.name === peer.name && link.identity.incarnation !== peer.incarnation;
    this.listener.prune((link) => !isSuperseded(link));
  }

  tell(kind: PeerEventKind, name: string, peer: PeerIdentity | undefined): void {
    const start = this.heard.get(name);
    if (kind === PeerEventKind.Heard && start !== undefined && start.incarnation === peer?.incarnation) {
      start.heardAt = this.options.timers.now();
    }
    for (const listener of this.listeners) listener({ kind, name, peer });
  }

  refuse(peer: string, err: CeleryyokeError): void {
    this.refusals.note(peer, err);
  }

  private async callInTime(
    link: PeerLink,
    procedure: string,
    input: Uint8Array<ArrayBuffer>,
    options: PeerCallOptions,
  ): Promise<Uint8Array> {
    const limit = new AbortController();
    const giveUp = (): void => limit.abort();
    const timer = this.options.timers.after(options.timeoutMs, giveUp);
    options.signal?.addEventListener('abort', giveUp, { once: true });
    if (options.signal?.aborted) giveUp();
    try {
      return await link.call(procedure, input, limit.signal);
    } finally {
      timer.cancel();
      options.signal?.removeEventListener('abort', giveUp);
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

  /** Ends a link whose peer is gone or has moved; else notes whether it is kept all the time. */
  private review(link: PeerLink): void {
    const { name, address } = link.target;
    if (this.listed.get(name)?.address === address) {
      link.setKept(this.linked.has(name));
      return;
    }
    this.links.delete(name);
    if (!this.listed.has(name)) this.heard.delete(name);
    void link.stop();
  }
}

/**
 * Makes a peer bus; it listens and dials after its start.
 * @param options - Identity, keys, bounds and services.
 * @returns The bus.
 */
export function createPeerBus(options: PeerBusOptions): ManagedPeerBus {
  return new TrpcPeerBus(options);
}
