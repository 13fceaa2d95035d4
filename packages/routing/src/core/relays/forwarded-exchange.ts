/** An exchange whose steps are passed on; subclasses change some of them. */
import type { ChannelFailure, ExchangeHandle, HeaderMap, ResponseSink } from '../channels/index.js';

/** Stands between an exchange and its sink. */
export abstract class ForwardedExchange implements ExchangeHandle, ResponseSink {
  protected exchange!: ExchangeHandle;

  /**
   * @param sink - Called at each step of the exchange.
   */
  constructor(protected readonly sink: ResponseSink) {}

  /**
   * Starts the exchange; called at the end of a constructor, as the first step may follow at once.
   * @param send - Sends the request.
   */
  protected start(send: (sink: ResponseSink) => ExchangeHandle): void {
    this.exchange = send(this);
  }

  mayHaveArrived(): boolean {
    return this.exchange.mayHaveArrived();
  }

  connectedAt(): number | undefined {
    return this.exchange.connectedAt?.();
  }

  cancel(reason: string): void {
    this.exchange.cancel(reason);
  }

  pause(): void {
    this.exchange.pause();
  }

  resume(): void {
    this.exchange.resume();
  }

  onSent(): void {
    this.sink.onSent();
  }

  onHead(status: number, headers: HeaderMap): void {
    this.sink.onHead(status, headers);
  }

  onData(chunk: Buffer): void {
    this.sink.onData(chunk);
  }

  onEnd(): void {
    this.sink.onEnd();
  }

  onFail(failure: ChannelFailure, err: Error): void {
    this.sink.onFail(failure, err);
  }
}
