/**
 * Membership from seeds: the daemons find each other through a few addresses that may be stale or down, and then
 * judge each other by direct heartbeats.
 *
 * Every daemon keeps a link to every other one. At 78 daemons that is 77 messages of some 80 bytes in half a second.
 */
import type { DecisionLog, TimerHandle, TimerService } from '@celeryyoke/core';
import type { Server } from 'node:net';

import { encodeFrame } from './frames.js';
import { Link, LinkEnd } from './link.js';
import { listenForPeers } from './listener.js';
import { Peer } from './peer.js';
import type { Member, MessageHandler } from './types.js';
import { MemberState, MessageType } from './types.js';

/** Interval of heartbeats in a small fleet, in milliseconds: four are missed before a member counts as silent. */
const HEARTBEAT_MS = 250;
/**
 * Daemons for which the interval grows by one more {@link HEARTBEAT_MS}: heartbeats go from each to each, and with more
 * daemons a single one that falls silent matters less.
 */
const DAEMONS_PER_INTERVAL = 40;
const MAX_INTERVALS = 4;
/** Time after which a member that is not heard counts as silent in a small fleet, in milliseconds. */
const SILENT_MS = 1100;
/** Pause between two tries to reach a member that is down, in milliseconds. */
const REDIAL_MS = 500;
/** Pause before a link that ended is made again, in milliseconds. */
const RETRY_MS = 5;
/** Time after which a member that ended is no longer dialled, in milliseconds; it comes back by a seed. */
const FORGET_MS = 60_000;

/** States in which a member may give orders. */
const COUNTED: ReadonlySet<MemberState> = new Set([MemberState.Alive, MemberState.Silent]);

/** Options of the cluster. */
export interface ClusterOptions {
  readonly self: Member;
  readonly seeds: () => readonly string[];
  readonly timers: TimerService;
  readonly log: DecisionLog;
  /** Makes the body of a heartbeat. */
  readonly heartbeat: () => unknown;
  /** Called when a link to a member came up, to tell it what it can't know. */
  readonly onPeer: (address: string) => void;
  /** Called when the state of a member changed. */
  readonly onState: (address: string, state: MemberState) => void;
}

interface Hello {
  readonly self: Member;
  readonly known: readonly string[];
}

/**
 * Tells how far apart heartbeats are.
 * @param daemons - Daemons that are known, this one included.
 * @returns Intervals of a small fleet's heartbeat.
 */
export function heartbeatIntervals(daemons: number): number {
  return Math.min(MAX_INTERVALS, Math.ceil(daemons / DAEMONS_PER_INTERVAL));
}

/** The members that this daemon knows. */
export class Cluster {
  private readonly peers = new Map<string, Peer>();

  private readonly handlers = new Map<MessageType, MessageHandler>();

  private server: Server | undefined;

  private ticking: TimerHandle | undefined;

  /** Times at which heartbeats could have been due. */
  private ticks = 0;

  private isClosing = false;

  private isLeaving = false;

  /**
   * Makes a cluster that has not started.
   * @param options - Who this daemon is, and whom to ask first.
   */
  constructor(private readonly options: ClusterOptions) {}

  /**
   * Registers the handler of a type of message.
   * @param type - The type.
   * @param handler - Called with the sender and the body.
   */
  handle(type: MessageType, handler: MessageHandler): void {
    this.handlers.set(type, handler);
  }

  /** Starts to listen and to dial. */
  async start(): Promise<void> {
    const [host = '', port = ''] = this.options.self.address.split(':');
    this.server = await listenForPeers(host, Number(port), {
      onHello: (body) => this.greet(body as Hello),
      onMessage: (peer, type, body) => this.receive(peer, type, body),
      onClose: (address) => this.noteClosed(address),
      onProblem: (peer, err) => this.options.log.debug(`Link from ${peer ?? 'a stranger'}: ${err.message}.`),
    });
    this.tick();
    this.ticking = this.options.timers.repeat(HEARTBEAT_MS, () => this.tick());
  }

  /** Says that this daemon ends; its links stay for the requests that it still serves. */
  leave(): void {
    this.isLeaving = true;
    this.broadcast(MessageType.Goodbye, null);
  }

  /** Closes all links. */
  close(): void {
    if (this.isClosing) return;
    this.isClosing = true;
    this.ticking?.cancel();
    for (const { link } of this.peers.values()) link?.close();
    this.server?.close();
  }

  /** Addresses of the members that live, this daemon's included, in a fixed order. */
  alive(): string[] {
    const found = [this.options.self.address];
    for (const peer of this.peers.values()) if (peer.state === MemberState.Alive) found.push(peer.address);
    return found.sort();
  }

  /** Members that may live: those that are alive and those that are silent, this daemon included. */
  possible(): number {
    let count = 1;
    for (const { state, member } of this.peers.values())
      if (member !== undefined && COUNTED.has(state)) count += 1;
    return count;
  }

  /**
   * Tells the state of a member.
   * @param address - Its name.
   * @returns The state; an unknown one counts as ended.
   */
  state(address: string): MemberState {
    if (address === this.options.self.address) return MemberState.Alive;
    return this.peers.get(address)?.state ?? MemberState.Ended;
  }

  /**
   * Tells how long a member has not been alive.
   * @param address - Its name.
   * @returns Milliseconds; 0 when it is alive, Infinity when it was never known.
   */
  downForMs(address: string): number {
    if (address === this.options.self.address) return 0;
    const peer = this.peers.get(address);
    if (peer === undefined) return Number.POSITIVE_INFINITY;
    return peer.state === MemberState.Alive ? 0 : this.options.timers.now() - peer.downSince;
  }

  /**
   * Sends a message to every member with a link.
   * @param type - Its type.
   * @param body - Plain data.
   */
  broadcast(type: MessageType, body: unknown): void {
    const frame = encodeFrame([type, 0, body]);
    for (const { link } of this.peers.values()) link?.sendFrame(frame);
  }

  /**
   * Sends a message to one member.
   * @param address - Its name.
   * @param type - Its type.
   * @param body - Plain data.
   */
  send(address: string, type: MessageType, body: unknown): void {
    this.peers.get(address)?.link?.send(type, body);
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
    const link = this.peers.get(address)?.link;
    return link?.request(type, body, timeoutMs) ?? Promise.reject(new Error(`${address} has no link.`));
  }

  private tick(): void {
    const now = this.options.timers.now();
    for (const seed of this.options.seeds()) this.learn(seed);
    const intervals = heartbeatIntervals(this.peers.size + 1);
    this.ticks += 1;
    const isDue = this.ticks % intervals === 0;
    const frame = isDue ? encodeFrame([MessageType.Heartbeat, 0, this.options.heartbeat()]) : undefined;
    for (const peer of this.peers.values()) this.tend(peer, now, intervals, frame);
  }

  private tend(peer: Peer, now: number, intervals: number, heartbeat: Buffer | undefined): void {
    if (peer.state === MemberState.Alive && now - peer.heardAt > SILENT_MS * intervals)
      this.setState(peer, MemberState.Silent);
    if (peer.link !== undefined) {
      if (heartbeat !== undefined) peer.link.heartbeat(heartbeat, intervals);
      return;
    }
    const isForgotten = peer.state === MemberState.Ended && now - peer.downSince > FORGET_MS;
    if (isForgotten && !this.options.seeds().includes(peer.address)) this.peers.delete(peer.address);
    else if (now >= peer.dialAt) this.dial(peer);
  }

  private learn(address: string): Peer | undefined {
    if (address === this.options.self.address) return undefined;
    let peer = this.peers.get(address);
    if (peer === undefined) {
      peer = new Peer(address, this.options.timers.now());
      this.peers.set(address, peer);
      if (this.server !== undefined) this.dial(peer);
    }
    return peer;
  }

  private dial(peer: Peer): void {
    if (this.isClosing) return;
    const { timers, self, onPeer } = this.options;
    const link = new Link({
      address: peer.address,
      timers,
      hello: (): Hello => ({ self, known: this.knownAddresses() }),
      onUp: () => {
        // One that has just started has not heard the goodbye.
        if (this.isLeaving) peer.link?.send(MessageType.Goodbye, null);
        onPeer(peer.address);
      },
      onDown: (end, wasUp) => this.noteDown(peer, end, wasUp),
    });
    peer.connect(link);
  }

  private knownAddresses(): string[] {
    const found: string[] = [];
    for (const peer of this.peers.values()) if (peer.state !== MemberState.Ended) found.push(peer.address);
    return found;
  }

  /**
   * A link that was up says nothing when it ends: connections are reset also between living daemons. The next try
   * shows whether the process still runs.
   */
  private noteDown(peer: Peer, end: LinkEnd, wasUp: boolean): void {
    const { timers } = this.options;
    peer.disconnect(timers.now() + (wasUp ? 0 : REDIAL_MS));
    if (wasUp) timers.after(RETRY_MS, () => this.redial(peer));
    else if (end === LinkEnd.Refused) this.setState(peer, MemberState.Ended);
    else if (peer.state === MemberState.Alive) this.setState(peer, MemberState.Silent);
  }

  private redial(peer: Peer): void {
    if (peer.link === undefined) this.dial(peer);
  }

  /** The peer's own link to this daemon closed: dial again at once to learn whether its process still runs. */
  private noteClosed(address: string): void {
    const peer = this.peers.get(address);
    if (peer !== undefined && peer.link === undefined) peer.disconnect(0);
  }

  private greet({ self, known }: Hello): string {
    const peer = this.learn(self.address);
    if (peer === undefined) throw new Error('A daemon spoke with this one’s own address.');
    const isNewLife = peer.member?.incarnation !== self.incarnation;
    if (isNewLife && peer.state !== MemberState.Ended) this.setState(peer, MemberState.Ended);
    peer.meet(self);
    this.hear(peer);
    for (const address of known) this.learn(address);
    if (peer.link === undefined) this.dial(peer);
    return self.address;
  }

  private receive(address: string, type: MessageType, body: unknown): unknown {
    const peer = this.peers.get(address);
    if (peer?.member === undefined) return undefined;
    if (type === MessageType.Goodbye) {
      this.setState(peer, MemberState.Leaving);
      return undefined;
    }
    this.hear(peer);
    return this.handlers.get(type)?.(peer.member, body as never);
  }

  private hear(peer: Peer): void {
    peer.hear(this.options.timers.now());
    // One that leaves stays so until its next life.
    if (peer.state !== MemberState.Leaving) this.setState(peer, MemberState.Alive);
  }

  private setState(peer: Peer, state: MemberState): void {
    if (!peer.become(state, this.options.timers.now())) return;
    this.options.onState(peer.address, state);
  }
}
