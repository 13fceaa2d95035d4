/** An exchange whose response counts as complete only once that is proved where it ends with its connection. */
import type { ExchangeHandle, HeaderMap, ResponseSink, UpstreamCall } from '../channels/index.js';
import { ChannelFailure, endsWithConnection } from '../channels/index.js';
import { ForwardedExchange } from './forwarded-exchange.js';

const HEAD_METHOD = 'HEAD';

/** Holds back the end of such a response, and nothing else; starts on construction. */
export class ProvedEnd extends ForwardedExchange {
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
    sink: ResponseSink,
  ) {
    super(sink);
    this.start(send);
  }

  override cancel(reason: string): void {
    if (this.isProving) this.fail(ChannelFailure.Cancelled, new Error(reason));
    else super.cancel(reason);
  }

  override onHead(status: number, headers: HeaderMap): void {
    this.endsWithConnection = this.call.method !== HEAD_METHOD && endsWithConnection(status, headers);
    super.onHead(status, headers);
  }

  override onEnd(): void {
    if (this.endsWithConnection) void this.awaitProof();
    else super.onEnd();
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
    super.onEnd();
  }

  private fail(failure: ChannelFailure, err: Error): void {
    this.isProving = false;
    this.sink.onFail(failure, err);
  }
}
