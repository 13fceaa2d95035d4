/** Pool of connections to all replicas; the idle connection that was used last is reused first. */
import type { TimerService } from '@celeryyoke/core';

import { Channel } from './channel.js';
import { failLater } from './fail-later.js';
import { ExclusiveChannel } from './exclusive-channel.js';
import type { UpstreamGuard, ResponseSink, ExchangeHandle, UpstreamCall } from './types.js';
import { ChannelFailure } from './types.js';

/** Timeout of a connection attempt; replicas accept one in about a millisecond. */
const CONNECT_TIMEOUT_MS = 500;

/** Address of a replica. */
export interface UpstreamAddress {
  /** Incarnation of the replica: connections are not shared with another one that gets the same address. */
  readonly id: string;
  readonly host: string;
  readonly port: number;
}

/** For upstreams that declare nothing about themselves. */
export const NO_GUARD: UpstreamGuard = {
  refusal: () => undefined,
  onResponseHead: () => undefined,
  onConnected: () => undefined,
  onConnectFailed: () => undefined,
  onSlowConnect: () => undefined,
  onConnectionLost: () => undefined,
};

/** Opens, reuses and closes this daemon's connections to replicas. */
export class ChannelPool {
  private readonly idleChannels = new Map<string, Channel[]>();

  private readonly openChannels = new Map<string, Set<Channel>>();

  /** Number of connections opened since process start. */
  openedCount = 0;

  /**
   * @param localAddress - Address that connections come from; any when it is left out.
   */
  constructor(
    private readonly timers: TimerService,
    private guard: UpstreamGuard = NO_GUARD,
    private readonly localAddress?: string,
  ) {}

  /**
   * Sends a request to a replica on an idle connection or a new one.
   * @param sink - Called at each step of the exchange.
   */
  send(upstream: UpstreamAddress, call: UpstreamCall, sink: ResponseSink): ExchangeHandle {
    const refusal = this.guard.refusal(upstream.id, call.purpose);
    if (refusal !== undefined) return failLater(sink, ChannelFailure.Withheld, refusal);
    const channel = call.needsNewConnection ? this.create(upstream) : this.acquire(upstream);
    let hasHead = false;
    return channel.send(call, {
      onSent: () => sink.onSent(),
      onHead: (status, headers) => {
        hasHead = true;
        sink.onHead(status, headers);
      },
      onData: (chunk) => sink.onData(chunk),
      onEnd: () => {
        this.release(upstream.id, channel);
        sink.onEnd();
      },
      onFail: (failure, err) => {
        if (failure === ChannelFailure.Cancelled) channel.abandon();
        else channel.close();
        if (failure === ChannelFailure.Broken && !hasHead) this.guard.onConnectionLost(upstream.id);
        sink.onFail(failure, err);
      },
    });
  }

  /**
   * Creates a connection that nothing else uses; it connects with its first call.
   * @param onClosed - Called once, when the channel takes no further call.
   */
  openExclusive(upstream: UpstreamAddress, onClosed: () => void): ExclusiveChannel {
    return new ExclusiveChannel(this.create(upstream, onClosed), (purpose) =>
      this.guard.refusal(upstream.id, purpose),
    );
  }

  /** Whether any connection to a replica is established. */
  isConnected(id: string): boolean {
    return [...(this.openChannels.get(id) ?? [])].some((channel) => channel.isConnected);
  }

  /**
   * Whether a connection to a replica that was established by a monotonic time is still open; those that are not being read do
   * not count, as their end would not be seen.
   * @param at - Monotonic time, in milliseconds.
   */
  isConnectedSince(id: string, at: number): boolean {
    return [...(this.openChannels.get(id) ?? [])].some((channel) => channel.isConnectedSince(at));
  }

  /** Closes the idle connections to a replica that no longer exists. */
  closeIdle(id: string): void {
    for (const channel of this.idleChannels.get(id) ?? []) channel.close();
    this.idleChannels.delete(id);
  }

  /** Closes all connections; nobody is told of that, as the parts that listen may have stopped. */
  close(): void {
    this.guard = NO_GUARD;
    for (const channels of this.openChannels.values()) for (const channel of channels) channel.close();
  }

  private acquire(upstream: UpstreamAddress): Channel {
    const idle = this.idleChannels.get(upstream.id);
    for (let channel = idle?.pop(); channel !== undefined; channel = idle?.pop())
      if (channel.isUsable) return channel;
    return this.create(upstream);
  }

  private create({ id, host, port }: UpstreamAddress, notifyClosed?: () => void): Channel {
    this.openedCount += 1;
    const channels = this.openChannels.get(id) ?? new Set();
    this.openChannels.set(id, channels);
    const onClosed = (closed: Channel): void => {
      channels.delete(closed);
      if (channels.size === 0) this.openChannels.delete(id);
      notifyClosed?.();
    };
    const channel = new Channel({
      host,
      port,
      localAddress: this.localAddress,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      timers: this.timers,
      refusal: (purpose) => this.guard.refusal(id, purpose),
      onResponseHead: (status, headers, requestId) =>
        this.guard.onResponseHead(id, status, headers, requestId),
      onConnected: () => this.guard.onConnected(id),
      onConnectFailed: (err) => this.guard.onConnectFailed(id, err),
      onSlowConnect: () => this.guard.onSlowConnect(id),
      onClosed,
    });
    channels.add(channel);
    return channel;
  }

  private release(id: string, channel: Channel): void {
    if (!channel.isUsable) {
      channel.close();
      return;
    }
    const idle = this.idleChannels.get(id) ?? [];
    idle.push(channel);
    this.idleChannels.set(id, idle);
  }
}
