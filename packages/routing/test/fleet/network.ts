/** Connections between daemons on the virtual clock, which tests can cut, freeze and refuse. */
import type { ManualTimerService, TimerService } from '@celeryyoke/core';
import { decode, encode } from '@celeryyoke/core';
import type { LinkEvents, ListenerEvents, PeerChannel, PeerLink, PeerTransport } from '@celeryyoke/routing';
import { FrameReader, LinkEnd, MessageType } from '@celeryyoke/routing';

const LATENCY_MS = 1;
const CONNECT_TIMEOUT_MS = 600;
const MAX_UNANSWERED = 3;
/** How often a callback that is due in a frozen daemon is looked at again, in milliseconds. */
const FROZEN_LOOK_MS = 10;

interface Listening {
  readonly events: ListenerEvents;
}

/** Copies a message as the wire would. */
function copy(value: unknown): unknown {
  return decode(encode(value));
}

/** All connections of a test. */
export class MemoryNetwork {
  readonly listening = new Map<string, Listening>();

  readonly links = new Set<MemoryLink>();

  /** Messages sent by each daemon, heartbeats and their answers included. */
  readonly sent = new Map<string, number>();

  /** Bytes sent by each daemon. */
  readonly bytes = new Map<string, number>();

  private readonly cuts = new Set<string>();

  private readonly frozen = new Set<string>();

  /** Time by which daemons handle all that reaches them late, in milliseconds. */
  private readonly lags = new Map<string, number>();

  /** Messages that are still to be lost between two daemons. */
  private readonly losses = new Map<string, number>();

  /** What waits between two daemons until they reach each other again, as it does in a connection. */
  private readonly held = new Map<string, (() => void)[]>();

  constructor(readonly timers: ManualTimerService) {}

  /** Makes the transport of one daemon. */
  transport(self: string): PeerTransport {
    return {
      listen: (events) => {
        this.listening.set(self, { events });
        return Promise.resolve(() => this.end(self));
      },
      connect: (address, events) => new MemoryLink(this, self, address, events),
    };
  }

  /** Ends a process: its port refuses, and all its connections are reset. */
  end(address: string): void {
    this.listening.delete(address);
    for (const link of [...this.links]) {
      if (link.from === address) link.drop();
      else if (link.to === address) link.finish(LinkEnd.Closed);
    }
  }

  /** Loses everything between two groups, in both directions. */
  split(left: readonly string[], right: readonly string[]): void {
    for (const one of left)
      for (const other of right) {
        this.cuts.add(`${one}>${other}`);
        this.cuts.add(`${other}>${one}`);
      }
  }

  /** Loses everything that goes from one daemon to another. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Loses the next messages from one daemon to another, on connections that stay. */
  loseNext(from: string, to: string, count: number): void {
    this.losses.set(`${from}>${to}`, count);
  }

  /** Ends all cuts. */
  heal(): void {
    this.cuts.clear();
    this.release();
  }

  /** Stops a process: it does nothing and answers nothing, and its connections stay. */
  freeze(address: string): void {
    this.frozen.add(address);
  }

  /** Lets a frozen process go on. */
  thaw(address: string): void {
    this.frozen.delete(address);
    this.release();
  }

  /** Has a daemon handle all that reaches it late, as one without processor time does. */
  slow(address: string, lagMs: number): void {
    this.lags.set(address, lagMs);
  }

  /** Time by which a daemon handles what reaches it late, in milliseconds. */
  lagOf(address: string): number {
    return this.lags.get(address) ?? 0;
  }

  /** Has something happen in a process, after it goes on if it is frozen. */
  whenRunning(address: string, callback: () => void): void {
    if (!this.isFrozen(address)) callback();
    else this.timers.after(FROZEN_LOOK_MS, () => this.whenRunning(address, callback));
  }

  isFrozen(address: string): boolean {
    return this.frozen.has(address);
  }

  /** Carries a message; while it can't arrive it waits, and all later ones behind it. */
  carry(from: string, to: string, body: unknown, deliver: () => void): void {
    if (this.frozen.has(from)) return;
    this.sent.set(from, (this.sent.get(from) ?? 0) + 1);
    this.bytes.set(from, (this.bytes.get(from) ?? 0) + encode(body).length + 4);
    this.timers.after(LATENCY_MS + this.lagOf(to), () => this.arrive(`${from}>${to}`, to, deliver));
  }

  private arrive(way: string, to: string, deliver: () => void): void {
    const toLose = this.losses.get(way) ?? 0;
    if (toLose > 0) {
      this.losses.set(way, toLose - 1);
      return;
    }
    const held = this.held.get(way) ?? [];
    if (held.length === 0 && !this.cuts.has(way) && !this.frozen.has(to)) deliver();
    else this.held.set(way, [...held, deliver]);
  }

  private release(): void {
    for (const [way, held] of [...this.held]) {
      const to = way.slice(way.indexOf('>') + 1);
      if (this.cuts.has(way) || this.frozen.has(to)) continue;
      this.held.delete(way);
      for (const deliver of held) deliver();
    }
  }
}

/** Time of one daemon: what becomes due while it is frozen runs when it goes on. */
export function timersOf(network: MemoryNetwork, self: string): TimerService {
  const { timers } = network;
  return {
    ...timers,
    after: (ms, callback) => timers.after(ms, () => network.whenRunning(self, callback)),
    repeat: (ms, callback) =>
      timers.repeat(ms, (now) => {
        if (!network.isFrozen(self)) callback(now);
      }),
  };
}

interface Waiting {
  readonly resolve: (value: unknown) => void;
  readonly reject: (err: Error) => void;
}

/** A connection. */
export class MemoryLink implements PeerLink {
  isUp = false;

  lastReceivedAt: number;

  lastUsedAt: number;

  private unanswered = 0;

  private hasEnded = false;

  private next = 1;

  private readonly waiting = new Map<number, Waiting>();

  private readonly channel: PeerChannel & { isOpen: boolean };

  private early: (() => void)[] = [];

  constructor(
    private readonly network: MemoryNetwork,
    readonly from: string,
    readonly to: string,
    private readonly events: LinkEvents,
  ) {
    const { timers } = network;
    this.lastReceivedAt = timers.now();
    this.lastUsedAt = this.lastReceivedAt;
    network.links.add(this);
    this.channel = { isOpen: true, push: (frame) => this.carryPush(frame) };
    const hello = copy(events.hello());
    timers.after(CONNECT_TIMEOUT_MS, () => {
      if (!this.isUp) this.finish(LinkEnd.Silent);
    });
    network.carry(from, to, null, () => {
      if (network.listening.has(to)) network.carry(to, from, null, () => this.open(hello));
      else network.carry(to, from, null, () => this.finish(LinkEnd.Refused));
    });
  }

  send(type: MessageType, body: unknown): void {
    this.lastUsedAt = this.network.timers.now();
    this.deliver(type, 0, body);
  }

  request(type: MessageType, body: unknown, timeoutMs: number): Promise<unknown> {
    if (this.hasEnded) return Promise.reject(new Error('The link has ended.'));
    this.lastUsedAt = this.network.timers.now();
    const number = this.next;
    this.next += 1;
    return new Promise((resolve, reject) => {
      this.waiting.set(number, { resolve, reject });
      this.network.timers.after(timeoutMs, () => {
        if (this.waiting.delete(number)) reject(new Error('no answer'));
      });
      this.deliver(type, number, body);
    });
  }

  heartbeat(): void {
    if (!this.isUp) return;
    if (this.unanswered >= MAX_UNANSWERED) {
      this.finish(LinkEnd.Silent);
      return;
    }
    this.unanswered += 1;
    this.network.carry(this.from, this.to, MessageType.Heartbeat, () => {
      const digest = this.network.listening.get(this.to)?.events.digest();
      if (digest === undefined) return;
      this.network.carry(this.to, this.from, [0, digest], () => {
        this.hear();
        if (!this.hasEnded) this.events.onDigest(digest);
      });
    });
  }

  close(): void {
    if (this.hasEnded) return;
    this.drop();
    this.closeRemote(true);
  }

  /** Its own process has ended. */
  drop(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.isUp = false;
    this.network.links.delete(this);
    this.fail();
    if (!this.network.listening.has(this.from)) this.closeRemote(false);
  }

  /** It ends for the daemon that opened it. */
  finish(end: LinkEnd): void {
    if (this.hasEnded) return;
    const wasUp = this.isUp;
    this.hasEnded = true;
    this.isUp = false;
    this.network.links.delete(this);
    this.fail();
    this.closeRemote(false);
    this.network.whenRunning(this.from, () => this.events.onEnd(end, wasUp));
  }

  private open(hello: unknown): void {
    if (this.hasEnded) return;
    this.isUp = true;
    this.hear();
    this.network.listening.get(this.to)?.events.onHello(hello);
    for (const write of this.early) write();
    this.early = [];
  }

  private deliver(type: MessageType, number: number, body: unknown): void {
    const write = (): void => {
      const message = copy(body);
      this.network.carry(this.from, this.to, [type, number, body], () => {
        void this.answer(type, number, message);
      });
    };
    if (this.isUp) write();
    else this.early.push(write);
  }

  private async answer(type: MessageType, number: number, body: unknown): Promise<void> {
    const remote = this.network.listening.get(this.to);
    if (remote === undefined || this.hasEnded) return;
    try {
      const result: unknown = await remote.events.onMessage(this.from, type, body, this.channel);
      if (number > 0) this.settle(number, (waiting) => waiting.resolve(copy(result ?? null)), result);
    } catch (err) {
      if (number > 0) this.settle(number, (waiting) => waiting.reject(err as Error), String(err));
    }
  }

  private settle(number: number, settle: (waiting: Waiting) => void, body: unknown): void {
    this.network.carry(this.to, this.from, body, () => {
      this.hear();
      const waiting = this.waiting.get(number);
      this.waiting.delete(number);
      if (waiting !== undefined) settle(waiting);
    });
  }

  private carryPush(frame: Buffer): void {
    if (!this.channel.isOpen || this.hasEnded) return;
    const [[, body]] = [...new FrameReader().read(frame)] as [[number, unknown]];
    this.network.carry(this.to, this.from, body, () => {
      if (this.hasEnded) return;
      this.hear();
      this.lastUsedAt = this.lastReceivedAt;
      this.events.onPush(body);
    });
  }

  private hear(): void {
    this.lastReceivedAt = this.network.timers.now();
    this.unanswered = 0;
  }

  private closeRemote(isOrderly: boolean): void {
    if (!this.channel.isOpen) return;
    this.channel.isOpen = false;
    this.network.carry(this.from, this.to, null, () =>
      this.network.listening.get(this.to)?.events.onClose(this.from, this.channel, isOrderly),
    );
  }

  private fail(): void {
    for (const { reject } of this.waiting.values()) reject(new Error('The link has ended.'));
    this.waiting.clear();
  }
}
