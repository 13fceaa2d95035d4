/**
 * A connection that one part of the daemon uses alone.
 *
 * Its calls run one after the other, each when the response to the previous one is complete. So every
 * response belongs to one of these calls; on a pooled connection it may be a second response to somebody
 * else's call. The channel is closed by the first call that fails, and when the process at its other end
 * ends.
 */
import type { Channel } from './channel.js';
import { ChannelFailure } from './types.js';
import type { UpstreamCall } from './types.js';
import type { ExchangeOptions, BufferedResponse } from './buffered-response.js';
import { ExchangeError, bufferResponse } from './buffered-response.js';

/** Runs calls one after the other on a connection of its own. */
export class ExclusiveChannel {
  /** Settles when the latest call has ended. */
  private lastCall: Promise<unknown> = Promise.resolve();

  private isClosed = false;

  /**
   * @param channel - A channel that nothing else uses.
   */
  constructor(private readonly channel: Channel) {}

  /** Whether the channel can take another call. */
  get isOpen(): boolean {
    return !this.isClosed && this.channel.isUsable;
  }

  /**
   * Runs a call when the previous ones have ended.
   * @returns The complete response.
   * @throws ExchangeError when the connection is closed, or closes before the response is complete.
   */
  call(call: UpstreamCall, options: ExchangeOptions): Promise<BufferedResponse> {
    const response = this.lastCall.then(() => this.execute(call, options));
    this.lastCall = response.catch(() => undefined);
    return response;
  }

  /** Resets the connection; a running call fails. */
  close(): void {
    this.isClosed = true;
    this.channel.reset();
  }

  private async execute(call: UpstreamCall, options: ExchangeOptions): Promise<BufferedResponse> {
    if (!this.isOpen) throw new ExchangeError(ChannelFailure.NotSent, 'The connection is closed.');
    try {
      const response = await bufferResponse((sink) => this.channel.send(call, sink), options);
      if (!this.channel.isUsable) this.close();
      return response;
    } catch (err) {
      this.close();
      throw err;
    }
  }
}
