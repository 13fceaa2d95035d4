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
import type { ExchangePurpose, UpstreamCall } from './types.js';
import type { ExchangeOptions, BufferedResponse } from './buffered-response.js';
import { ExchangeError, bufferResponse } from './buffered-response.js';

/** Runs calls one after the other on a connection of its own. */
export class ExclusiveChannel {
  /** Settles when the latest call has ended. */
  private lastCall: Promise<unknown> = Promise.resolve();

  private isClosed = false;

  /**
   * @param channel - A channel that nothing else uses.
   * @param refusal - Returns why a call must not be sent now; undefined when it may be.
   */
  constructor(
    private readonly channel: Channel,
    private readonly refusal: (purpose: ExchangePurpose) => string | undefined,
  ) {}

  /** Whether the channel can take another call. */
  get isOpen(): boolean {
    return !this.isClosed && this.channel.isUsable;
  }

  /**
   * Runs a call when the previous ones have ended.
   * @returns The complete response.
   * @throws ExchangeError when the connection is closed, or closes before the response is complete; or when the
   * call is withheld, which leaves the connection open.
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
    const refusal = this.refusal(call.purpose);
    if (refusal !== undefined) throw new ExchangeError(ChannelFailure.Withheld, refusal);
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
