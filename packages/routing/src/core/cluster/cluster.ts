/**
 * Membership of the fleet, and the links between daemons.
 *
 * Each daemon finds the others through a few seeds and probes only its successors on a ring of all members; what it
 * finds out is published to the fleet. Links to other daemons are opened when there is something to say and closed
 * when they are idle. So the cost of an idle daemon does not grow with the fleet.
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
/** Members that each daemon probes. */
const PROBED_MEMBERS = 3;
/**
 * Most members that are probed at once. While half of those probed are silent the number grows, so that a daemon on
 * the small side of a partition learns within a few seconds that it is there.
 */
const MAX_PROBED_MEMBERS = 96;
const PROBING_GROWTH = 4;
/** Pause between two tries to reach a member that is down, in milliseconds. */
const REDIAL_MS = 500;
/** Pause before a link that ended is made again, in milliseconds. */
const RETRY_MS = 5;
/** Time after which a link that carries nothing but heartbeats of the past is closed, in milliseconds. */
const IDLE_LINK_MS = 10_000;
/** Time after which a member that ended is forgotten, in milliseconds. */
const FORGET_MS = 60_000;
/** Time for which a probed daemon may know other members before the tables are exchanged, in milliseconds. */
const DIFFERENCE_MS = 2000;
/** Longest wait for a seed's members, in milliseconds. */
const JOIN_TIMEOUT_MS = 1000;
/** Pauses between two tries to join a seed that is not alive, in milliseconds: at first, and at last. */
const FIRST_JOIN_PAUSE_MS = 100;
const LAST_JOIN_PAUSE_MS = 5000;
/** Time after the start in which seeds are tried without longer pauses, in milliseconds: all may be starting. */
const JOINING_MS = 2000;

/** Options of the cluster. */
export interface ClusterOptions {
  readonly self: Member;
  readonly seeds: () => readonly string[];
  readonly timers: TimerService;
  readonly transport: PeerTransport;
  readonly log: DecisionLog;
  /** Called when something became known of a member; publishes it to the fleet. */
  readonly onChange: MemberListener;
}

/** Attempts to reach one address. */
interface Outgoing {
  link: PeerLink | undefined;
  /** Monotonic time before which it is not dialled by itself. */
  dialAt: number;
}

/** Two daemons that know different members. */
interface Difference {
  /** Both digests. */
  readonly digests: string;
  /** Monotonic time since which they are these, in milliseconds. */
  readonly since: number;
}

interface SeedAttempts {
  pauseMs: number;
  nextAt: number;
}

/** The members that this daemon knows, and its links to them. */
export class Cluster {
  private readonly members: MemberTable;

  private readonly outgoing = new Map<string, Outgoing>();

  private readonly handlers = new Map<MessageType, MessageHandler>();

  private readonly seedAttempts = new Map<string, SeedAttempts>();

  /** Probed daemons that know other members than this one. */
  private readonly differences = new Map<string, Difference>();

  private readonly memberListeners: MemberListener[] = [];

  private readonly linkEndListeners: ((address: string) => void)[] = [];

  private readonly channelCloseListeners: ((channel: PeerChannel) => void)[] = [];

  private pushHandler: ((from: string, body: unknown) => void) | undefined;

  private probedMembers = PROBED_MEMBERS;

  private stopListening: (() => void) | undefined;

  private ticking: TimerHandle | undefined;

  private joining: TimerHandle | undefined;

  private isClosing = false;

  /**
   * Makes a cluster that has not started.
   * @param options - Who this daemon is, and whom to ask first.
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
    this.handle(MessageType.Join, (_from, frames: MemberFrame[]) => this.exchange(frames));
  }

  /**
   * Registers the handler of a type of message.
   * @param type - The type.
   * @param handler - Called with the sender and the body.
   */
  handle(type: MessageType, handler: MessageHandler): void {
    this.handlers.set(type, handler);
  }

  /**
   * Registers the handler of what peers push over links that this daemon has opened.
   * @param handler - Called with the peer's address and the body.
   */
  handlePush(handler: (from: string, body: unknown) => void): void {
    this.pushHandler = handler;
  }

  /**
   * Subscribes to what becomes known of members.
   * @param listener - Called with the record of a member and the one before it.
   */
  onMemberChange(listener: MemberListener): void {
    this.memberListeners.push(listener);
  }

  /**
   * Subscribes to ends of links that this daemon had opened.
   * @param listener - Called with the peer's address.
   */
  onLinkEnd(listener: (address: string) => void): void {
    this.linkEndListeners.push(listener);
  }

  /**
   * Subscribes to ends of connections that peers had opened.
   * @param listener - Called with the channel that is closed.
   */
  onChannelClose(listener: (channel: PeerChannel) => void): void {
    this.channelCloseListeners.push(listener);
  }

  /** Starts to listen, to join and to probe. */
  async start(): Promise<void> {
    const { transport, timers, log } = this.options;
    this.stopListening = await transport.listen({
      digest: () => this.members.digest(),
      onHello: (body) => this.handleHello(decodeMember(body as MemberFrame)),
      onMessage: (peer, type, body, channel) => this.receive(peer, type, body, channel),
      onClose: (peer, channel, isOrderly) => this.handleClose(peer, channel, isOrderly),
      onProblem: (peer, err) => log.debug(`Connection of ${peer ?? 'an unknown peer'}: ${err.message}.`),
    });
    const startedAt = timers.now();
    this.tick();
    this.ticking = timers.repeat(HEARTBEAT_MS, () => this.tick());
    this.joining = timers.repeat(FIRST_JOIN_PAUSE_MS, (now) => {
      this.joinSeeds(now, true);
      if (now - startedAt > JOINING_MS) this.joining?.cancel();
    });
  }

  /** Tells the fleet that this daemon is shutting down; its links stay for the requests that it still serves. */
  leave(): void {
    this.members.leave();
  }

  /** Closes all links. */
  close(): void {
    if (this.isClosing) return;
    this.isClosing = true;
    this.ticking?.cancel();
    this.joining?.cancel();
    for (const { link } of this.outgoing.values()) link?.close();
    this.stopListening?.();
  }

  /** Addresses of the living members in a fixed order, this daemon included. */
  alive(): readonly string[] {
    return this.members.alive();
  }

  /** Members that may be running: those that are alive and those that are silent, this daemon included. */
  possible(): number {
    return this.members.possible();
  }

  /** A number that two daemons share when they know the same of all members that have not ended. */
  digest(): number {
    return this.members.digest();
  }

  /** All that is known of the members. */
  records(): MemberRecord[] {
    return this.members.records();
  }

  /**
   * Finds a member.
   * @param address - Its name.
   * @returns Its record, or undefined.
   */
  member(address: string): MemberRecord | undefined {
    return this.members.get(address);
  }

  /**
   * Tells the state of a member.
   * @param address - Its name.
   * @returns The state; an unknown one counts as ended.
   */
  state(address: string): MemberState {
    return this.members.get(address)?.state ?? MemberState.Ended;
  }

  /**
   * Tells how long a member has not been alive.
   * @param address - Its name.
   * @returns Milliseconds; 0 when it is alive, Infinity when it was never known.
   */
  downForMs(address: string): number {
    return this.members.downForMs(address);
  }

  /** Links that this daemon has opened and that are up. */
  get links(): number {
    let count = 0;
    for (const { link } of this.outgoing.values()) if (link?.isUp) count += 1;
    return count;
  }

  /** Time since anything was heard over a link of this daemon, in milliseconds; Infinity when there is none. */
  heardAgoMs(): number {
    let heardAt = Number.NEGATIVE_INFINITY;
    for (const { link } of this.outgoing.values()) if (link?.isUp) heardAt = Math.max(heardAt, link.heardAt);
    return this.options.timers.now() - heardAt;
  }

  /**
   * Takes what another daemon says of a member.
   * @param record - Its record.
   * @returns Whether it was news.
   */
  merge(record: MemberRecord): boolean {
    return this.members.merge(record);
  }

  /**
   * Sends a message to one member.
   * @param address - Its name.
   * @param type - Its type.
   * @param body - Plain data.
   */
  send(address: string, type: MessageType, body: unknown): void {
    this.linkTo(address)?.send(type, body);
  }

  /**
   * Asks one member.
   * @param address - Its name.
   * @param type - Type of the message.
   * @param body - Plain data.
   * @param timeoutMs - Longest wait.
   * @returns Its answer.
   * @throws Error when it can't be reached or does not answer in time.
   */
  request(address: string, type: MessageType, body: unknown, timeoutMs: number): Promise<unknown> {
    const link = this.linkTo(address);
    return link?.request(type, body, timeoutMs) ?? Promise.reject(new Error(`${address} can't be reached.`));
  }

  private tick(): void {
    const now = this.options.timers.now();
    this.joinSeeds(now, this.alive().length === 1);
    const targets = this.members.successors(this.probedMembers);
    for (const target of targets) this.probe(target, now);
    this.adjustProbing(targets);
    this.closeIdle(targets, now);
    this.members.forgetEnded(FORGET_MS);
  }

  private adjustProbing(targets: readonly MemberRecord[]): void {
    const silent = targets.filter(({ state }) => state === MemberState.Silent).length;
    const isMostlySilent = silent > 0 && silent * 2 >= targets.length;
    this.probedMembers = isMostlySilent
      ? Math.min(MAX_PROBED_MEMBERS, this.probedMembers * PROBING_GROWTH)
      : PROBED_MEMBERS;
  }

  private probe(target: MemberRecord, now: number): void {
    const { link, dialAt } = this.outgoingTo(target.address);
    if (link === undefined) {
      if (now >= dialAt) this.dial(target.address);
      return;
    }
    // One that answers and is held for silent must hear of it, so that it refutes it.
    if (target.state === MemberState.Silent && link.isUp) void this.join(target.address);
    link.heartbeat();
  }

  private closeIdle(targets: readonly MemberRecord[], now: number): void {
    const probed = new Set(targets.map(({ address }) => address));
    for (const [address, { link, dialAt }] of this.outgoing) {
      if (probed.has(address) || now - Math.max(dialAt, link?.usedAt ?? 0) < IDLE_LINK_MS) continue;
      link?.close();
      this.outgoing.delete(address);
    }
  }

  private joinSeeds(now: number, isHurried: boolean): void {
    for (const seed of this.options.seeds()) this.joinSeed(seed, now, isHurried);
  }

  private joinSeed(seed: string, now: number, isHurried: boolean): void {
    if (seed === this.options.self.address || this.state(seed) === MemberState.Alive) {
      this.seedAttempts.delete(seed);
      return;
    }
    const attempts = this.seedAttempts.get(seed) ?? { pauseMs: FIRST_JOIN_PAUSE_MS, nextAt: now };
    this.seedAttempts.set(seed, attempts);
    if (now < attempts.nextAt) return;
    attempts.pauseMs = isHurried ? FIRST_JOIN_PAUSE_MS : Math.min(LAST_JOIN_PAUSE_MS, attempts.pauseMs * 2);
    attempts.nextAt = now + attempts.pauseMs;
    void this.join(seed);
  }

  /** Exchanges the known members with a daemon. */
  private async join(address: string): Promise<void> {
    try {
      const link = this.linkTo(address, true);
      const known = this.members.records().map(encodeMember);
      const answer = await link?.request(MessageType.Join, known, JOIN_TIMEOUT_MS);
      for (const frame of (answer ?? []) as MemberFrame[]) this.members.merge(decodeMember(frame));
    } catch (err) {
      this.options.log.debug(`${address} could not be joined: ${String(err)}.`);
    }
  }

  private exchange(frames: readonly MemberFrame[]): MemberFrame[] {
    for (const frame of frames) this.members.merge(decodeMember(frame));
    return this.members.records().map(encodeMember);
  }

  /**
   * Exchanges the members with a daemon that has known others for a while. News travel over the shared state; this mends
   * what was missed there, whoever is cut off from its root.
   */
  private compare(address: string, digest: number): void {
    const own = this.members.digest();
    if (digest === own) {
      this.differences.delete(address);
      return;
    }
    const now = this.options.timers.now();
    const digests = `${digest} ${own}`;
    const known = this.differences.get(address);
    if (known?.digests !== digests) this.differences.set(address, { digests, since: now });
    else if (now - known.since >= DIFFERENCE_MS) {
      this.differences.delete(address);
      void this.join(address);
    }
  }

  private outgoingTo(address: string): Outgoing {
    const known = this.outgoing.get(address);
    if (known !== undefined) return known;
    const made: Outgoing = { link: undefined, dialAt: 0 };
    this.outgoing.set(address, made);
    return made;
  }

  /**
   * Finds or opens the link to a peer.
   * @param address - Its address.
   * @param isForced - Whether to dial also a member that is not known to run.
   */
  private linkTo(address: string, isForced = false): PeerLink | undefined {
    const outgoing = this.outgoingTo(address);
    if (outgoing.link === undefined && (isForced || this.mayBeReached(address, outgoing))) this.dial(address);
    return outgoing.link;
  }

  private mayBeReached(address: string, { dialAt }: Outgoing): boolean {
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
      onDigest: (digest) => this.compare(address, digest),
      onEnd: (end, wasUp) => this.handleEnd(address, end, wasUp),
    };
    this.outgoingTo(address).link = transport.connect(address, events);
  }

  /**
   * A link that was up says little when it ends, as connections are reset also between living daemons: the next try
   * shows whether the process still runs.
   */
  private handleEnd(address: string, end: LinkEnd, wasUp: boolean): void {
    const { timers } = this.options;
    const outgoing = this.outgoingTo(address);
    outgoing.link = undefined;
    outgoing.dialAt = timers.now() + (wasUp ? 0 : REDIAL_MS);
    if (end === LinkEnd.Refused) this.members.declare(address, MemberState.Ended);
    else if (end === LinkEnd.Silent) this.members.declare(address, MemberState.Silent);
    if (wasUp && end === LinkEnd.Closed) timers.after(RETRY_MS, () => this.linkTo(address));
    for (const listener of this.linkEndListeners) listener(address);
  }

  /** A connection that ends without a goodbye may tell the end of its process: dial to learn that. */
  private handleClose(address: string, channel: PeerChannel, isOrderly: boolean): void {
    for (const listener of this.channelCloseListeners) listener(channel);
    if (!isOrderly && !this.isClosing && this.state(address) !== MemberState.Ended) this.linkTo(address);
  }

  private handleHello(said: MemberRecord): string {
    if (said.address === this.options.self.address)
      throw new Error('A daemon spoke with this one’s own address.');
    this.members.merge(said);
    // It does not know what is said of it.
    if (said.state === MemberState.Alive && this.state(said.address) !== MemberState.Alive)
      void this.join(said.address);
    return said.address;
  }

  private receive(address: string, type: MessageType, body: unknown, channel: PeerChannel): unknown {
    const member = this.members.get(address);
    if (member === undefined) return undefined;
    return this.handlers.get(type)?.(member, body as never, channel);
  }
}
