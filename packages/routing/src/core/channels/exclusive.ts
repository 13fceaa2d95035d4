/**
 * A connection that one part of the daemon has for itself.
 *
 * Its calls go out one after the other, each when the answer to the one before has come whole. So what is known of all
 * calls on it is known of each answer; on a connection from the pool, an answer may be a second one to somebody else's
 * call. It ends with the first call that fails, and with the process at its other end.
 */
import type { Channel } from './channel.js';
import { ChannelFailure } from './types.js';
import type { UpstreamCall } from './types.js';
import type { ReadOptions, WholeAnswer } from './whole.js';
import { ExchangeError, readWhole } from './whole.js';

/** The connection. */
export class ExclusiveChannel {
  /** Settles when the calls so far have ended. */
  private turn: Promise<unknown> = Promise.resolve();

  private isOver = false;

  /**
   * Takes a channel that nothing else uses.
   * @param channel - The channel.
   */
  constructor(private readonly channel: Channel) {}

  /** Whether it can take another call. */
  get isOpen(): boolean {
    return !this.isOver && this.channel.isUsable;
  }

  /**
   * Makes a call when the ones before have ended.
   * @param call - The request.
   * @param options - Time, and the longest time from the sending to the answer.
   * @returns The whole answer.
   * @throws ExchangeError when the connection has ended, or ends before the whole answer has come.
   */
  call(call: UpstreamCall, options: ReadOptions): Promise<WholeAnswer> {
    const answered = this.turn.then(() => this.callNow(call, options));
    this.turn = answered.catch(() => undefined);
    return answered;
  }

  /** Ends the connection; what is under way on it is given up. */
  close(): void {
    this.isOver = true;
    this.channel.reset();
  }

  private async callNow(call: UpstreamCall, options: ReadOptions): Promise<WholeAnswer> {
    if (!this.isOpen) throw new ExchangeError(ChannelFailure.NotSent, 'The connection has ended.');
    try {
      const answer = await readWhole((sink) => this.channel.send(call, sink), options);
      if (!this.channel.isUsable) this.close();
      return answer;
    } catch (err) {
      this.close();
      throw err;
    }
  }
}
