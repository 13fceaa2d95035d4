/**
 * An in-memory network between daemons on the virtual clock, in which tests can cut paths and freeze daemons.
 */
import type { ManualTimerService, TimerService } from '@celeryyoke/core';
import { decode, encode } from '@celeryyoke/core';
import type { LinkEvents, ListenerEvents, PeerChannel, PeerLink, PeerTransport } from '@celeryyoke/routing';
import { FrameReader, LinkEnd, MessageType } from '@celeryyoke/routing';

const LATENCY_MS = 1;
const CONNECT_TIMEOUT_MS = 600;
const MAX_UNANSWERED_HEARTBEATS = 3;
/** Interval at which a callback of a frozen daemon is tried again, in milliseconds. */
const FROZEN_RETRY_MS = 10;

interface ListeningDaemon {
  readonly events: ListenerEvents;
}

/** Copies a message as encoding and decoding do. */
function copy(value: unknown): unknown {
  return decode(encode(value));
}

/** All daemons and connections of a test, with the faults between them. */
export class MemoryNetwork {
  readonly listening = new Map<string, ListeningDaemon>();

  readonly links = new Set<MemoryLink>();

  /** Number of messages sent by each daemon, heartbeats and their responses included. */
  readonly sent = new Map<string, number>();

  /** Number of bytes sent by each daemon. */
  readonly bytes = new Map<string, number>();

  /** Paths, as `from>to`, on which messages are held back. */
  private readonly cuts = new Set<string>();

  private readonly frozen = new Set<string>();

  /** Delay with which daemons handle what reaches them, in milliseconds. */
  private readonly lags = new Map<string, number>();

  /** Number of messages that are still to be lost, by path. */
  private readonly pendingLosses = new Map<string, number>();

  /** Messages held back until the path works again, by path; a connection would retransmit them. */
  private readonly undelivered = new Map<string, (() => void)[]>();

  constructor(readonly timers: ManualTimerService) {}

  /** Creates the transport of one daemon. */
  transport(self: string): PeerTransport {
    return {
      listen: (events) => {
        this.listening.set(self, { events });
        return Promise.resolve(() => this.endProcess(self));
      },
      connect: (address, events) => new MemoryLink(this, self, address, events),
    };
  }

  /** Ends a process: its port refuses connections, and all its connections are reset. */
  endProcess(address: string): void {
    this.listening.delete(address);
    for (const link of [...this.links]) {
      if (link.from === address) link.abort();
      else if (link.to === address) link.finish(LinkEnd.Closed);
    }
  }

  /** Cuts all paths between two groups, in both directions. */
  partition(left: readonly string[], right: readonly string[]): void {
    for (const one of left)
      for (const other of right) {
        this.cuts.add(`${one}>${other}`);
        this.cuts.add(`${other}>${one}`);
      }
  }

  /** Cuts the path from one daemon to another. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Loses the next messages from one daemon to another; their connections stay established. */
  loseNext(from: string, to: string, count: number): void {
    this.pendingLosses.set(`${from}>${to}`, count);
  }

  /** Restores all paths. */
  heal(): void {
    this.cuts.clear();
    this.deliverHeld();
  }

  /** Freezes a process: it runs nothing and sends nothing, and its connections stay established. */
  freeze(address: string): void {
    this.frozen.add(address);
  }

  /** Resumes a frozen process. */
  thaw(address: string): void {
    this.frozen.delete(address);
    this.deliverHeld();
  }

  /** Delays what a daemon handles, as for one that gets little processor time. */
  slow(address: string, lagMs: number): void {
    this.lags.set(address, lagMs);
  }

  /** Delay with which a daemon handles what reaches it, in milliseconds. */
  lagOf(address: string): number {
    return this.lags.get(address) ?? 0;
  }

  /** Runs a callback in a process, after it resumes if it is frozen. */
  whenRunning(address: string, callback: () => void): void {
    if (!this.isFrozen(address)) callback();
    else this.timers.after(FROZEN_RETRY_MS, () => this.whenRunning(address, callback));
  }

  isFrozen(address: string): boolean {
    return this.frozen.has(address);
  }

  /** Transmits a message. While it can't be delivered it is held back, with all later ones on its path. */
  transmit(from: string, to: string, body: unknown, deliver: () => void): void {
    if (this.frozen.has(from)) return;
    this.sent.set(from, (this.sent.get(from) ?? 0) + 1);
    this.bytes.set(from, (this.bytes.get(from) ?? 0) + encode(body).length + 4);
    this.timers.after(LATENCY_MS + this.lagOf(to), () => this.arrive(`${from}>${to}`, to, deliver));
  }

  private arrive(path: string, to: string, deliver: () => void): void {
    const remainingLosses = this.pendingLosses.get(path) ?? 0;
    if (remainingLosses > 0) {
      this.pendingLosses.set(path, remainingLosses - 1);
      return;
    }
    const queued = this.undelivered.get(path) ?? [];
    if (queued.length === 0 && !this.cuts.has(path) && !this.frozen.has(to)) deliver();
    else this.undelivered.set(path, [...queued, deliver]);
  }

  private deliverHeld(): void {
    for (const [path, queued] of [...this.undelivered]) {
      const to = path.slice(path.indexOf('>') + 1);
      if (this.cuts.has(path) || this.frozen.has(to)) continue;
      this.undelivered.delete(path);
      for (const deliver of queued) deliver();
    }
  }
}

/**
 * Timers of one daemon: callbacks that are due while it is frozen run when it resumes, repeated ones are
 * skipped.
 */
export function timersOf(network: MemoryNetwork, self: string): TimerService {
  const { timers } = network;
  return {
    ...timers,
    after: (ms, callback) => timers.after(ms, () => network.whenRunning(self, callback)),
    repeat: (ms, callback) =>
      timers.repeat(ms, (now) => {
        if (!network.isFrozen(self)) callback(now);
      }),
    sleep: async (ms, signal) => {
      await timers.sleep(ms, signal);
      if (network.isFrozen(self))
        await new Promise<void>((resolve) => {
          network.whenRunning(self, resolve);
        });
    },
  };
}

interface PendingRequest {
  readonly resolve: (value: unknown) => void;
  readonly reject: (err: Error) => void;
}

/** Nothing holds the writer of a link in memory back. */
const noop = (): void => undefined;

/** A link between two daemons, with the behaviour of the link over TCP. */
export class MemoryLink implements PeerLink {
  readonly pause = noop;

  readonly resume = noop;

  isUp = false;

  lastReceivedAt: number;

  lastUsedAt: number;

  private unansweredHeartbeats = 0;

  private hasEnded = false;

  private nextRequestId = 1;

  private readonly pendingRequests = new Map<number, PendingRequest>();

  private readonly channel: PeerChannel & { isOpen: boolean };

  private buffered: (() => void)[] = [];

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
    this.channel = {
      isOpen: true,
      push: (frame) => {
        this.pushToOpener(frame);
        return true;
      },
      onDrain: () => undefined,
    };
    const hello = copy(events.hello());
    timers.after(CONNECT_TIMEOUT_MS, () => {
      if (!this.isUp) this.finish(LinkEnd.Silent);
    });
    network.transmit(from, to, null, () => {
      if (network.listening.has(to)) network.transmit(to, from, null, () => this.open(hello));
      else network.transmit(to, from, null, () => this.finish(LinkEnd.Refused));
    });
  }

  send(type: MessageType, body: unknown): void {
    this.lastUsedAt = this.network.timers.now();
    this.deliver(type, 0, body);
  }

  request(type: MessageType, body: unknown, timeoutMs: number): Promise<unknown> {
    if (this.hasEnded) return Promise.reject(new Error('The link has ended.'));
    this.lastUsedAt = this.network.timers.now();
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    return new Promise((resolve, reject) => {
      this.pendingRequests.set(requestId, { resolve, reject });
      this.network.timers.after(timeoutMs, () => {
        if (this.pendingRequests.delete(requestId)) reject(new Error('no response'));
      });
      this.deliver(type, requestId, body);
    });
  }

  heartbeat(): void {
    if (!this.isUp) return;
    if (this.unansweredHeartbeats >= MAX_UNANSWERED_HEARTBEATS) {
      this.finish(LinkEnd.Silent);
      return;
    }
    this.unansweredHeartbeats += 1;
    this.network.transmit(this.from, this.to, MessageType.Heartbeat, () => {
      const digest = this.network.listening.get(this.to)?.events.digest();
      if (digest === undefined) return;
      this.network.transmit(this.to, this.from, [0, digest], () => {
        this.recordReceived();
        if (!this.hasEnded) this.events.onDigest(digest);
      });
    });
  }

  close(): void {
    if (this.hasEnded) return;
    this.abort();
    this.closeRemote(true);
  }

  /** Ends the link without events, as the process that opened it closes it or has ended. */
  abort(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.isUp = false;
    this.network.links.delete(this);
    this.rejectPending();
    if (!this.network.listening.has(this.from)) this.closeRemote(false);
  }

  /** Ends the link with an event to the daemon that opened it. */
  finish(end: LinkEnd): void {
    if (this.hasEnded) return;
    const wasUp = this.isUp;
    this.hasEnded = true;
    this.isUp = false;
    this.network.links.delete(this);
    this.rejectPending();
    this.closeRemote(false);
    this.network.whenRunning(this.from, () => this.events.onEnd(end, wasUp));
  }

  private open(hello: unknown): void {
    if (this.hasEnded) return;
    this.isUp = true;
    this.recordReceived();
    this.network.listening
      .get(this.to)
      ?.events.onHello(hello, this.from.slice(0, this.from.lastIndexOf(':')));
    for (const write of this.buffered) write();
    this.buffered = [];
  }

  private deliver(type: MessageType, requestId: number, body: unknown): void {
    const write = (): void => {
      const message = copy(body);
      this.network.transmit(this.from, this.to, [type, requestId, body], () => {
        void this.respond(type, requestId, message);
      });
    };
    if (this.isUp) write();
    else this.buffered.push(write);
  }

  private async respond(type: MessageType, requestId: number, body: unknown): Promise<void> {
    const remote = this.network.listening.get(this.to);
    if (remote === undefined || this.hasEnded) return;
    try {
      const result: unknown = await remote.events.onMessage(this.from, type, body, this.channel);
      if (requestId > 0) this.settle(requestId, (pending) => pending.resolve(copy(result ?? null)), result);
    } catch (err) {
      if (requestId > 0) this.settle(requestId, (pending) => pending.reject(err as Error), String(err));
    }
  }

  private settle(requestId: number, settle: (pending: PendingRequest) => void, body: unknown): void {
    this.network.transmit(this.to, this.from, body, () => {
      this.recordReceived();
      const pending = this.pendingRequests.get(requestId);
      this.pendingRequests.delete(requestId);
      if (pending !== undefined) settle(pending);
    });
  }

  private pushToOpener(frame: Buffer): void {
    if (!this.channel.isOpen || this.hasEnded) return;
    const [[, body]] = [...new FrameReader().read(frame)] as [[number, unknown]];
    this.network.transmit(this.to, this.from, body, () => {
      if (this.hasEnded) return;
      this.recordReceived();
      this.lastUsedAt = this.lastReceivedAt;
      this.events.onPush(body);
    });
  }

  private recordReceived(): void {
    this.lastReceivedAt = this.network.timers.now();
    this.unansweredHeartbeats = 0;
  }

  private closeRemote(isOrderly: boolean): void {
    if (!this.channel.isOpen) return;
    this.channel.isOpen = false;
    this.network.transmit(this.from, this.to, null, () =>
      this.network.listening.get(this.to)?.events.onClose(this.from, this.channel, isOrderly),
    );
  }

  private rejectPending(): void {
    for (const { reject } of this.pendingRequests.values()) reject(new Error('The link has ended.'));
    this.pendingRequests.clear();
  }
}
