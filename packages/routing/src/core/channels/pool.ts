/** The connections to all replicas; an idle one is used again, the latest first. */
import { Channel } from './channel.js';
import { ExclusiveChannel } from './exclusive.js';
import type { AnswerSink, RunningExchange, UpstreamCall } from './types.js';
import { ChannelFailure } from './types.js';

/** Longest time to set up a connection, in milliseconds; replicas take one in about a millisecond. */
const CONNECT_TIMEOUT_MS = 500;

/** Where a replica listens. */
export interface UpstreamAddress {
  /** Incarnation of the replica; its connections are its own even when another one gets the address. */
  readonly id: string;
  readonly host: string;
  readonly port: number;
}

/** The connections of this daemon to replicas. */
export class ChannelPool {
  private readonly idle = new Map<string, Channel[]>();

  private readonly open = new Map<string, Set<Channel>>();

  /** Connections opened since the start. */
  opened = 0;

  /**
   * Sends a request to a replica.
   * @param upstream - The replica.
   * @param call - The request.
   * @param sink - Told of its steps.
   * @returns The running exchange.
   */
  send(upstream: UpstreamAddress, call: UpstreamCall, sink: AnswerSink): RunningExchange {
    const channel = this.take(upstream);
    return channel.send(call, {
      onSent: () => sink.onSent(),
      onHead: (status, headers) => sink.onHead(status, headers),
      onData: (chunk) => sink.onData(chunk),
      onEnd: () => {
        this.giveBack(upstream.id, channel);
        sink.onEnd();
      },
      onFail: (failure, err) => {
        if (failure === ChannelFailure.Cancelled) channel.reset();
        else channel.close();
        sink.onFail(failure, err);
      },
    });
  }

  /**
   * Opens a connection that nothing else uses.
   * @param upstream - The replica.
   * @param onClosed - Called once when it is of no further use.
   * @returns The connection; it is set up with its first exchange.
   */
  openExclusive(upstream: UpstreamAddress, onClosed: () => void): ExclusiveChannel {
    return new ExclusiveChannel(this.make(upstream, onClosed));
  }

  /**
   * Closes the idle connections to a replica that is gone.
   * @param id - The replica.
   */
  forget(id: string): void {
    for (const channel of this.idle.get(id) ?? []) channel.close();
    this.idle.delete(id);
  }

  /** Closes all connections. */
  close(): void {
    for (const channels of this.open.values()) for (const channel of channels) channel.close();
  }

  private take(upstream: UpstreamAddress): Channel {
    const idle = this.idle.get(upstream.id);
    for (let channel = idle?.pop(); channel !== undefined; channel = idle?.pop())
      if (channel.isUsable) return channel;
    return this.make(upstream);
  }

  private make({ id, host, port }: UpstreamAddress, tell?: () => void): Channel {
    this.opened += 1;
    const channels = this.open.get(id) ?? new Set();
    this.open.set(id, channels);
    const onClosed = (closed: Channel): void => {
      channels.delete(closed);
      if (channels.size === 0) this.open.delete(id);
      tell?.();
    };
    const channel = new Channel({ host, port, connectTimeoutMs: CONNECT_TIMEOUT_MS, onClosed });
    channels.add(channel);
    return channel;
  }

  private giveBack(id: string, channel: Channel): void {
    if (!channel.isUsable) {
      channel.close();
      return;
    }
    const idle = this.idle.get(id) ?? [];
    idle.push(channel);
    this.idle.set(id, idle);
  }
}
