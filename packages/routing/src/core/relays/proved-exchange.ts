/**
 * An exchange whose response counts only once it is proved which incarnation of the replica sent it.
 *
 * A replica may start again under its id and at its address. The proof is made after the head of the response has
 * arrived: if the incarnation that was meant still runs then, no later one can have sent the response.
 */
import type {
  ChannelPool,
  ExchangeHandle,
  HeaderMap,
  ResponseSink,
  UpstreamCall,
} from '../channels/index.js';
import { ChannelFailure } from '../channels/index.js';
import type { ReplicaEntry } from '../view/index.js';
import type { EndProofs } from './end-proofs.js';
import { ForwardedExchange } from './forwarded-exchange.js';
import { ProvedEnd } from './proved-end.js';

const SUCCESS = 200;

/** Parts of the daemon with which it sends to replicas itself. */
export interface DirectSender {
  readonly pool: Pick<ChannelPool, 'send'>;
  /** Whether the listed incarnation of a replica still runs; undefined if there is no word of it. */
  readonly isRunning: (replica: ReplicaEntry) => Promise<boolean | undefined>;
  readonly ends: Pick<EndProofs, 'prove'>;
}

/** What is sent to a replica. */
export interface DirectRequest {
  readonly call: UpstreamCall;
  /** Software version that the replica must prove to have; undefined if any will do. */
  readonly softwareVersion: string | undefined;
}

/**
 * Sends a request to a replica. Its response is held back until it is proved where that is asked for, and the end of one that ends
 * with its connection until that is proved.
 * @param sink - Called at each step of the exchange.
 */
export function sendDirect(
  { pool, isRunning, ends }: DirectSender,
  replica: ReplicaEntry,
  { call, softwareVersion }: DirectRequest,
  sink: ResponseSink,
): ExchangeHandle {
  const prove = (connectedAt: number | undefined): Promise<boolean> =>
    ends.prove(replica, { connectedAt, requestId: call.requestId });
  const send = (target: ResponseSink): ExchangeHandle =>
    new ProvedEnd((inner) => pool.send(replica, call, inner), call, prove, target);
  if (softwareVersion === undefined) return send(sink);
  return new ProvedExchange(send, () => isRunning(replica), sink);
}

/** Holds back a successful response until its sender is proved; starts on construction. */
export class ProvedExchange extends ForwardedExchange {
  /** Steps that wait for the proof; undefined when none wait. */
  private held: (() => void)[] | undefined;

  /** Whether the sink wants no more for now. */
  private isPaused = false;

  private hasFailed = false;

  private hasEnded = false;

  /**
   * @param prove - Whether the incarnation that was meant still runs; undefined if there is no word of it, which ends
   *   nothing.
   * @param sink - Called at each step of the exchange.
   */
  constructor(
    send: (sink: ResponseSink) => ExchangeHandle,
    private readonly prove: () => Promise<boolean | undefined>,
    sink: ResponseSink,
  ) {
    super(sink);
    this.start(send);
  }

  override cancel(reason: string): void {
    this.held = undefined;
    super.cancel(reason);
  }

  override pause(): void {
    this.isPaused = true;
    super.pause();
  }

  override resume(): void {
    this.isPaused = false;
    if (this.held === undefined) super.resume();
  }

  override onHead(status: number, headers: HeaderMap): void {
    if (status !== SUCCESS) {
      super.onHead(status, headers);
      return;
    }
    this.held = [() => this.sink.onHead(status, headers)];
    this.exchange.pause();
    void this.awaitProof();
  }

  override onData(chunk: Buffer): void {
    this.step(() => this.sink.onData(chunk));
  }

  override onEnd(): void {
    this.step(() => this.sink.onEnd());
  }

  override onFail(failure: ChannelFailure, err: Error): void {
    this.hasFailed = true;
    this.step(() => this.sink.onFail(failure, err));
  }

  private step(next: () => void): void {
    if (this.held !== undefined) this.held.push(next);
    else if (!this.hasEnded) next();
  }

  /** Asks for the proof until there is one, or nothing is left to be proved. */
  private async awaitProof(): Promise<void> {
    let isProved = await this.prove();
    while (isProved === undefined && this.held !== undefined && !this.hasFailed)
      isProved = await this.prove();
    this.release(isProved === true);
  }

  private release(isProved: boolean): void {
    const { held = [] } = this;
    const isWaiting = this.held !== undefined;
    this.held = undefined;
    if (isProved) for (const next of held) next();
    else if (isWaiting) this.reject();
    if (isProved && !this.isPaused) this.exchange.resume();
  }

  private reject(): void {
    this.hasEnded = true;
    this.exchange.cancel('The replica has restarted.');
    this.sink.onFail(
      ChannelFailure.Broken,
      new Error('Another incarnation of the replica may have responded.'),
    );
  }
}
