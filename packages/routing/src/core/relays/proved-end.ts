/** An exchange whose response counts as complete only once that is proved where it ends with its connection. */
import type { ExchangeHandle, HeaderMap, ResponseSink, UpstreamCall } from '../channels/index.js';
import { ChannelFailure, isFramed } from '../channels/index.js';

/** Statuses whose responses have no body. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const HEAD_METHOD = 'HEAD';

/** Holds back the end of such a response, and nothing else; starts on construction. */
export class ProvedEnd implements ExchangeHandle, ResponseSink {
  private readonly exchange: ExchangeHandle;

  /** Whether the response ends with its connection. */
  private endsWithConnection = false;

  private isProving = false;

  /**
   * @param send - Sends the request.
   * @param prove - Whether a response that has ended with its connection is complete.
   * @param sink - Called at each step of the exchange.
   */
  constructor(
    send: (sink: ResponseSink) => ExchangeHandle,
    private readonly call: Pick<UpstreamCall, 'method'>,
    private readonly prove: (connectedAt: number | undefined) => Promise<boolean>,
    private readonly sink: ResponseSink,
  ) {
    this.exchange = send(this);
  }

  mayHaveArrived(): boolean {
    return this.exchange.mayHaveArrived();
  }

  connectedAt(): number | undefined {
    return this.exchange.connectedAt?.();
  }

  cancel(reason: string): void {
    if (this.isProving) this.fail(ChannelFailure.Cancelled, new Error(reason));
    else this.exchange.cancel(reason);
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
    const hasBody = this.call.method !== HEAD_METHOD && !BODYLESS_STATUSES.has(status);
    this.endsWithConnection = hasBody && !isFramed(headers);
    this.sink.onHead(status, headers);
  }

  onData(chunk: Buffer): void {
    this.sink.onData(chunk);
  }

  onEnd(): void {
    if (this.endsWithConnection) void this.awaitProof();
    else this.sink.onEnd();
  }

  onFail(failure: ChannelFailure, err: Error): void {
    this.sink.onFail(failure, err);
  }

  private async awaitProof(): Promise<void> {
    this.isProving = true;
    const isProved = await this.prove(this.connectedAt());
    // The exchange may have been cancelled meanwhile.
    if (!this.isProving) return;
    if (!isProved) {
      this.fail(ChannelFailure.Broken, new Error('The response ended with its connection, maybe too early.'));
      return;
    }
    this.isProving = false;
    this.sink.onEnd();
  }

  private fail(failure: ChannelFailure, err: Error): void {
    this.isProving = false;
    this.sink.onFail(failure, err);
  }
}
