/**
 * Membership of the fleet, and messages between daemons.
 *
 * Each daemon finds the others through a few seeds and probes only its successors on a ring of all members.
 * Changes of membership that it detects are published to the fleet. Links, the connections that a daemon
 * opens to its peers, are opened on demand and closed when idle. The cost of an idle daemon therefore does
 * not grow with the fleet.
 */
import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';

import type { MemberFrame } from './member-codec.js';
import { decodeMember, encodeMember } from './member-codec.js';
import type { MemberListener } from './members.js';
import { MemberTable } from './members.js';
import type {
  LinkEvents,
  Member,
  MemberRecord,
  MessageHandler,
  PeerChannel,
  PeerLink,
  PeerTransport,
} from './types.js';
import { LinkEnd, MemberState, MessageType } from './types.js';

/** Interval of heartbeats to probed members, in milliseconds. */
const HEARTBEAT_MS = 400;
/** Number of members that each daemon probes. */
const MIN_PROBE_COUNT = 3;
/**
 * Most members that a daemon probes at once. The number grows while at least half of the probed members are
 * silent, so that a daemon in the minority of a partition detects this within a few seconds.
 */
const MAX_PROBE_COUNT = 96;
/** Factor by which the number of probed members grows with each heartbeat interval. */
const PROBE_COUNT_GROWTH = 4;
/** Delay before an address is dialled again after a connection could not be established, in milliseconds. */
const REDIAL_DELAY_MS = 500;
/** Delay before an established link that the peer closed or reset is opened again, in milliseconds. */
const RECONNECT_DELAY_MS = 5;
/** Time without messages after which a link to a member that is not probed is closed, in milliseconds. */
const IDLE_LINK_MS = 10_000;
/** Time for which the record of an ended member is retained, in milliseconds. */
const ENDED_RETENTION_MS = 60_000;
/**
 * Time for which the members of a probed daemon may differ before the tables are exchanged, in milliseconds.
 */
const DIGEST_MISMATCH_DELAY_MS = 2000;
/** Timeout of an exchange of member tables, in milliseconds. */
const JOIN_TIMEOUT_MS = 1000;
/** Shortest delay between two attempts to join a seed that is not alive, in milliseconds. */
const MIN_JOIN_BACKOFF_MS = 100;
/** Longest delay between two such attempts, in milliseconds. */
const MAX_JOIN_BACKOFF_MS = 5000;
/**
 * Time after the start in which the delay between such attempts doesn't grow, in milliseconds: all may be
 * starting.
 */
const STARTUP_JOIN_MS = 2000;

/** Options of {@link Cluster}. */
export interface ClusterOptions {
  readonly self: Member;
  /** Addresses of the daemons to join first; may change while the daemon runs. */
  readonly seeds: () => readonly string[];
  readonly timers: TimerService;
  readonly transport: PeerTransport;
  readonly log: DecisionLog;
  /** Called with each change of a member's record, to publish it to the fleet. */
  readonly onChange: MemberListener;
}

/** The link to one address, if there is one, and when to open one. */
interface OutgoingLink {
  link: PeerLink | undefined;
  /** Monotonic time before which probes, and messages to a silent member, do not dial it, in milliseconds. */
  dialAt: number;
}

/** A difference between the members that this daemon and a peer know. */
interface DigestMismatch {
  /** Digests of the peer and of this daemon. */
  readonly digests: string;
  /** Monotonic time since which both digests are unchanged, in milliseconds. */
  readonly since: number;
}

/** Backoff of the attempts to join a seed. */
interface JoinBackoff {
  delayMs: number;
  /** Monotonic time of the next attempt, in milliseconds. */
  nextAt: number;
}

/**
 * Tracks the members of the fleet and exchanges messages with them: probes members, opens and closes links,
 * and dispatches messages of peers to registered handlers.
 */
export class Cluster {
  private readonly members: MemberTable;

  private readonly outgoingLinks = new Map<string, OutgoingLink>();

  private readonly handlers = new Map<MessageType, MessageHandler>();

  private readonly joinBackoffs = new Map<string, JoinBackoff>();

  /** Probed daemons whose digest differs from this daemon's, by address. */
  private readonly digestMismatches = new Map<string, DigestMismatch>();

  private readonly memberListeners: MemberListener[] = [];

  private readonly linkEndListeners: ((address: string) => void)[] = [];

  private readonly channelCloseListeners: ((channel: PeerChannel) => void)[] = [];

  private pushHandler: ((from: string, body: unknown) => void) | undefined;

  private probeCount = MIN_PROBE_COUNT;

  private stopListening: (() => void) | undefined;

  private tickTimer: TimerHandle | undefined;

  private joinTimer: TimerHandle | undefined;

  private isClosing = false;

  /**
   * Creates a cluster; {@link Cluster.start} begins to listen and to probe.
   * @param options - This daemon, its seeds and how to connect to others.
   */
  constructor(private readonly options: ClusterOptions) {
    const { self, timers, onChange } = options;
    this.members = new MemberTable(
      { ...self, version: 0, state: MemberState.Alive },
      timers,
      (record, before) => {
        onChange(record, before);
        for (const listener of this.memberListeners) listener(record, before);
      },
    );
    this.handle(MessageType.Join, (_from, frames: MemberFrame[]) => this.handleJoin(frames));
  }

  /** Registers the handler for a type of message; it replaces an earlier one. */
  handle(type: MessageType, handler: MessageHandler): void {
    this.handlers.set(type, handler);
  }

  /**
   * Registers the handler for messages that peers push over links that this daemon has opened.
   * @param handler - Called with the address of the peer and the body.
   */
  handlePush(handler: (from: string, body: unknown) => void): void {
    this.pushHandler = handler;
  }

  /**
   * Subscribes to changes of members.
   * @param listener - Called with the new record of a member and the one before it.
   */
  onMemberChange(listener: MemberListener): void {
    this.memberListeners.push(listener);
  }

  /**
   * Subscribes to links of this daemon that end or can't be established.
   * @param listener - Called with the address of the peer.
   */
  onLinkEnd(listener: (address: string) => void): void {
    this.linkEndListeners.push(listener);
  }

  /**
   * Subscribes to connections of peers that are closed.
   * @param listener - Called with the channel of the connection.
   */
  onChannelClose(listener: (channel: PeerChannel) => void): void {
    this.channelCloseListeners.push(listener);
  }

  /** Starts listening, joining seeds and probing. */
  async start(): Promise<void> {
    const { transport, timers, log } = this.options;
    this.stopListening = await transport.listen({
      digest: () => this.members.digest(),
      onHello: (body, host) => this.handleHello(decodeMember(body as MemberFrame), host),
      onMessage: (peer, type, body, channel) => this.dispatch(peer, type, body, channel),
      onClose: (peer, channel, isOrderly) => this.handleChannelClose(peer, channel, isOrderly),
      onProblem: (peer, err) =>
        log.debug(`Connection from ${peer ?? 'an unknown peer'} failed: ${err.message}.`),
    });
    const startedAt = timers.now();
    this.tick();
    this.tickTimer = timers.repeat(HEARTBEAT_MS, () => this.tick());
    this.joinTimer = timers.repeat(MIN_JOIN_BACKOFF_MS, (now) => {
      this.joinSeeds(now, true);
      if (now - startedAt > STARTUP_JOIN_MS) this.joinTimer?.cancel();
    });
  }

  /**
   * Publishes that this daemon is shutting down; its links stay open for the requests that it still serves.
   */
  leave(): void {
    this.members.leave();
  }

  /** Stops probing and listening, and closes all connections. */
  close(): void {
    if (this.isClosing) return;
    this.isClosing = true;
    this.tickTimer?.cancel();
    this.joinTimer?.cancel();
    for (const { link } of this.outgoingLinks.values()) link?.close();
    this.stopListening?.();
  }

  /** Sorted addresses of the living members, this daemon included. */
  aliveAddresses(): readonly string[] {
    return this.members.alive();
  }

  /** Number of members that may be running, this daemon included: those that are alive or silent. */
  aliveOrSilentCount(): number {
    return this.members.aliveOrSilentCount();
  }

  /** Digest of the records of all members that have not ended; equal on daemons with the same records. */
  digest(): number {
    return this.members.digest();
  }

  /** Records of all known members, ended ones included. */
  memberRecords(): MemberRecord[] {
    return this.members.records();
  }

  /** Record of a member, if it is known. */
  member(address: string): MemberRecord | undefined {
    return this.members.get(address);
  }

  /**
   * Returns the state of a member.
   * @returns The state; an unknown member counts as ended.
   */
  state(address: string): MemberState {
    return this.members.get(address)?.state ?? MemberState.Ended;
  }

  /**
   * Returns the time since a member was last alive.
   * @returns Milliseconds; 0 when it is alive, Infinity when it is not known.
   */
  downForMs(address: string): number {
    return this.members.downForMs(address);
  }

  /** Number of established links of this daemon. */
  get openLinkCount(): number {
    let count = 0;
    for (const { link } of this.outgoingLinks.values()) if (link?.isUp) count += 1;
    return count;
  }

  /**
   * Time since bytes were received over any established link, in milliseconds; Infinity when there is none.
   */
  sinceLastReceivedMs(): number {
    let lastReceivedAt = Number.NEGATIVE_INFINITY;
    for (const { link } of this.outgoingLinks.values())
      if (link?.isUp) lastReceivedAt = Math.max(lastReceivedAt, link.lastReceivedAt);
    return this.options.timers.now() - lastReceivedAt;
  }

  /**
   * Merges a record that another daemon published.
   * @returns Whether it changed the member table.
   */
  merge(record: MemberRecord): boolean {
    return this.members.merge(record);
  }

  /**
   * Sends a message without a response to a member. It is dropped when the member can't be reached.
   * @param body - Plain data.
   */
  send(address: string, type: MessageType, body: unknown): void {
    this.linkTo(address)?.send(type, body);
  }

  /**
   * Sends a request to a member and waits for its response.
   * @param body - Plain data.
   * @returns Body of the response.
   * @throws Error when the member can't be reached, its handler fails or no response arrives in time.
   */
  request(address: string, type: MessageType, body: unknown, timeoutMs: number): Promise<unknown> {
    const link = this.linkTo(address);
    return link?.request(type, body, timeoutMs) ?? Promise.reject(new Error(`${address} can't be reached.`));
  }

  /**
   * Opens a link to a member for one exchange; it is closed by whoever opened it.
   * @param events - Called with what the peer pushes, and when the link ends.
   */
  openLink(address: string, events: Pick<LinkEvents, 'onPush' | 'onEnd'>): PeerLink {
    const hello = (): MemberFrame => encodeMember(this.members.self);
    return this.options.transport.connect(address, { ...events, hello, onDigest: () => undefined });
  }

  private tick(): void {
    const now = this.options.timers.now();
    this.joinSeeds(now, this.aliveAddresses().length === 1);
    const targets = this.members.successors(this.probeCount);
    for (const target of targets) this.probe(target, now);
    this.adjustProbeCount(targets);
    this.closeIdle(targets, now);
    this.members.removeEnded(ENDED_RETENTION_MS);
  }

  private adjustProbeCount(targets: readonly MemberRecord[]): void {
    const silentCount = targets.filter(({ state }) => state === MemberState.Silent).length;
    const isMostlySilent = silentCount > 0 && silentCount * 2 >= targets.length;
    this.probeCount = isMostlySilent
      ? Math.min(MAX_PROBE_COUNT, this.probeCount * PROBE_COUNT_GROWTH)
      : MIN_PROBE_COUNT;
  }

  private probe(target: MemberRecord, now: number): void {
    const { link, dialAt } = this.outgoingLinkTo(target.address);
    if (link === undefined) {
      if (now >= dialAt) this.dial(target.address);
      return;
    }
    // A member that is known as silent but reachable must receive that record, so that it can refute it.
    if (target.state === MemberState.Silent && link.isUp) void this.syncMembers(target.address);
    link.heartbeat();
  }

  private closeIdle(targets: readonly MemberRecord[], now: number): void {
    const probed = new Set(targets.map(({ address }) => address));
    for (const [address, { link, dialAt }] of this.outgoingLinks) {
      if (probed.has(address) || now - Math.max(dialAt, link?.lastUsedAt ?? 0) < IDLE_LINK_MS) continue;
      link?.close();
      this.outgoingLinks.delete(address);
    }
  }

  private joinSeeds(now: number, isUrgent: boolean): void {
    for (const seed of this.options.seeds()) this.joinSeed(seed, now, isUrgent);
  }

  private joinSeed(seed: string, now: number, isUrgent: boolean): void {
    if (seed === this.options.self.address || this.state(seed) === MemberState.Alive) {
      this.joinBackoffs.delete(seed);
      return;
    }
    const backoff = this.joinBackoffs.get(seed) ?? { delayMs: MIN_JOIN_BACKOFF_MS, nextAt: now };
    this.joinBackoffs.set(seed, backoff);
    if (now < backoff.nextAt) return;
    backoff.delayMs = isUrgent ? MIN_JOIN_BACKOFF_MS : Math.min(MAX_JOIN_BACKOFF_MS, backoff.delayMs * 2);
    backoff.nextAt = now + backoff.delayMs;
    void this.syncMembers(seed);
  }

  /** Exchanges the member tables with a daemon. */
  private async syncMembers(address: string): Promise<void> {
    try {
      const link = this.linkTo(address, true);
      const known = this.members.records().map(encodeMember);
      const response = await link?.request(MessageType.Join, known, JOIN_TIMEOUT_MS);
      this.mergeFrames((response ?? []) as MemberFrame[]);
    } catch (err) {
      this.options.log.debug(`Could not exchange members with ${address}: ${String(err)}.`);
    }
  }

  private handleJoin(frames: readonly MemberFrame[]): MemberFrame[] {
    this.mergeFrames(frames);
    return this.members.records().map(encodeMember);
  }

  /** Merges records of members; a malformed one does not affect the others. */
  private mergeFrames(frames: readonly MemberFrame[]): void {
    for (const frame of frames)
      try {
        this.members.merge(decodeMember(frame));
      } catch (err) {
        this.options.log.debug(`Ignored the record of a member: ${String(err)}.`);
      }
  }

  /**
   * Exchanges the member tables with a probed daemon whose members have differed for a while. Changes
   * normally spread through the shared state; this repairs what was missed there, also when a daemon is cut
   * off from the root.
   */
  private compareDigest(address: string, digest: number): void {
    const ownDigest = this.members.digest();
    if (digest === ownDigest) {
      this.digestMismatches.delete(address);
      return;
    }
    const now = this.options.timers.now();
    const digests = `${digest} ${ownDigest}`;
    const mismatch = this.digestMismatches.get(address);
    if (mismatch?.digests !== digests) this.digestMismatches.set(address, { digests, since: now });
    else if (now - mismatch.since >= DIGEST_MISMATCH_DELAY_MS) {
      this.digestMismatches.delete(address);
      void this.syncMembers(address);
    }
  }

  private outgoingLinkTo(address: string): OutgoingLink {
    const known = this.outgoingLinks.get(address);
    if (known !== undefined) return known;
    const created: OutgoingLink = { link: undefined, dialAt: 0 };
    this.outgoingLinks.set(address, created);
    return created;
  }

  /**
   * Returns the link to a peer, and opens one if there is none.
   * @param isForced - Whether to dial even a member that has ended, or a silent one before its delay is over.
   * @returns Undefined when the peer is not dialled.
   */
  private linkTo(address: string, isForced = false): PeerLink | undefined {
    const outgoing = this.outgoingLinkTo(address);
    if (outgoing.link === undefined && (isForced || this.isDialable(address, outgoing))) this.dial(address);
    return outgoing.link;
  }

  private isDialable(address: string, { dialAt }: OutgoingLink): boolean {
    const state = this.state(address);
    if (state === MemberState.Ended) return false;
    return state !== MemberState.Silent || this.options.timers.now() >= dialAt;
  }

  private dial(address: string): void {
    if (this.isClosing || address === this.options.self.address) return;
    const { transport } = this.options;
    const events: LinkEvents = {
      hello: () => encodeMember(this.members.self),
      onPush: (body) => this.pushHandler?.(address, body),
      onDigest: (digest) => this.compareDigest(address, digest),
      onEnd: (end, wasUp) => this.handleLinkEnd(address, end, wasUp),
    };
    this.outgoingLinkTo(address).link = transport.connect(address, events);
  }

  /**
   * Updates the state of the peer according to how a link ended. The end of an established link shows
   * little, as connections between living daemons are reset too: dialling again shows whether the process
   * still runs.
   */
  private handleLinkEnd(address: string, end: LinkEnd, wasUp: boolean): void {
    const { timers } = this.options;
    const outgoing = this.outgoingLinkTo(address);
    outgoing.link = undefined;
    outgoing.dialAt = timers.now() + (wasUp ? 0 : REDIAL_DELAY_MS);
    if (end === LinkEnd.Refused) this.members.setState(address, MemberState.Ended);
    else if (end === LinkEnd.Silent) this.members.setState(address, MemberState.Silent);
    if (wasUp && end === LinkEnd.Closed) timers.after(RECONNECT_DELAY_MS, () => this.linkTo(address));
    for (const listener of this.linkEndListeners) listener(address);
  }

  /** Dials a peer whose connection closed without a goodbye, to find out whether its process has ended. */
  private handleChannelClose(address: string, channel: PeerChannel, isOrderly: boolean): void {
    for (const listener of this.channelCloseListeners) listener(channel);
    if (!isOrderly && !this.isClosing && this.state(address) !== MemberState.Ended) this.linkTo(address);
  }

  /** Accepts a peer that connects from the host that it names as its own. */
  private handleHello(record: MemberRecord, host: string): string {
    if (record.address === this.options.self.address)
      throw new Error('The hello of a peer carries this daemon’s own address.');
    if (hostOf(record.address) !== host)
      throw new Error(`The hello from ${host} carries the address ${record.address} of another host.`);
    this.members.merge(record);
    // The peer doesn't know that it counts as not alive; the exchange lets it refute that.
    if (record.state === MemberState.Alive && this.state(record.address) !== MemberState.Alive)
      void this.syncMembers(record.address);
    return record.address;
  }

  private dispatch(address: string, type: MessageType, body: unknown, channel: PeerChannel): unknown {
    const member = this.members.get(address);
    if (member === undefined) return undefined;
    return this.handlers.get(type)?.(member, body as never, channel);
  }
}

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}
