/** One attempt of a request at one replica: the response is buffered whole, or relayed as a stream. */
import type { TimerService } from '@celeryyoke/core';

import type { ResponseSink, HeaderMap, ExchangeHandle } from '../channels/index.js';
import { ChannelFailure, isFramed } from '../channels/index.js';
import type { BufferBudget } from '../buffers/index.js';
import { BudgetedBuffer, BufferLimit } from '../buffers/index.js';
import { RelayError } from '../relays/index.js';
import type { StreamRelay } from './relay.js';
import { ForwardResult } from './relay.js';
import { AttemptProof } from './run-record.js';
import type { ResponseMetadata, RequestDialect, AttemptResult } from './types.js';
import { AttemptOutcome, ResponseIdentity } from './types.js';

/** Largest response that is buffered, in bytes; plain services respond with some kilobytes. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
const OK = 200;
const SUCCESS_END = 300;

const FORWARD_FAILURES: Readonly<Record<Exclude<ForwardResult, ForwardResult.Forwarded>, string>> = {
  [ForwardResult.EventsMissing]: 'stream does not continue the events already relayed',
  [ForwardResult.EventTooLong]: 'stream contains an event that is too long',
  [ForwardResult.NoMemory]: 'no memory is left for an event',
};

const BUFFER_FAILURES: Readonly<Record<BufferLimit, string>> = {
  [BufferLimit.Size]: 'response is too large to buffer',
  [BufferLimit.Memory]: 'no memory is left for the response',
};

const IDENTITY_FAILURES: Readonly<Record<Exclude<ResponseIdentity, ResponseIdentity.Named>, string>> = {
  [ResponseIdentity.Missing]: 'response names no request',
  [ResponseIdentity.Other]: 'response belongs to another request',
};

/** Outcomes of attempts that were not sent, by the failure that says so. */
const UNSENT_OUTCOMES: Readonly<Partial<Record<ChannelFailure, AttemptOutcome>>> = {
  [ChannelFailure.NotSent]: AttemptOutcome.NotRun,
  [ChannelFailure.Withheld]: AttemptOutcome.Withheld,
};

/** What to send, where to, and who is informed of its progress. */
export interface AttemptOptions {
  /** Sends the request. */
  readonly send: (sink: ResponseSink) => ExchangeHandle;
  readonly dialect: RequestDialect;
  readonly timers: TimerService;
  readonly buffers: BufferBudget;
  /** Id of the request; the response must carry the same one. */
  readonly requestId: string;
  /** Receives a streamed response; undefined when every response is buffered. */
  readonly relay: StreamRelay | undefined;
  /** Called when the first byte is handed to a connection. */
  readonly onSent: () => void;
  /** Called before the head of a stream is passed on. */
  readonly onStreamBegin: () => void;
  /**
   * Called for each chunk of a relayed stream; the first one shows that the prefill has ended.
   * @param at - Monotonic time of its arrival, in milliseconds.
   */
  readonly onStreamData: (at: number) => void;
  /** Called for the head and for each chunk that the replica sends. */
  readonly onDataReceived: () => void;
  /** Called when the replica is held back for a caller that does not keep up, and when it no longer is. */
  readonly onHeldBack: (isHeldBack: boolean) => void;
  /** Called with what the head of the response says. */
  readonly onMetadata: (metadata: ResponseMetadata) => void;
}

/** Sends a request to a replica on construction, and classifies how that ends. */
export class Attempt implements ResponseSink {
  /** Settles when the attempt ends; never rejects. */
  readonly result: Promise<AttemptResult>;

  private readonly exchange: ExchangeHandle;

  /** Monotonic time of the start, in milliseconds. */
  readonly startedAt: number;

  private resolve!: (result: AttemptResult) => void;

  private wasSent = false;

  private firstByteMs: number | undefined;

  /** Monotonic time of the last bytes from the replica, or of the start, in milliseconds. */
  lastDataAt: number;

  /** Whether the attempt was left for another one, as its connection was dead. */
  private wasLeft = false;

  /** Whether a relaying peer found that the replica has crashed; undefined when the replica was sent to directly. */
  private hasReplicaCrashed: boolean | undefined;

  private status = 0;

  private headers: HeaderMap = {};

  private metadata: ResponseMetadata | undefined;

  private identity: ResponseIdentity | undefined;

  private isRelaying = false;

  private readonly body: BudgetedBuffer;

  /** Whether the replica is held back, as the caller does not keep up. */
  isHeldBack = false;

  private hasSettled = false;

  constructor(private readonly options: AttemptOptions) {
    this.result = new Promise((resolve) => {
      this.resolve = resolve;
    });
    this.body = new BudgetedBuffer(options.buffers, MAX_RESPONSE_BYTES);
    this.startedAt = options.timers.now();
    this.lastDataAt = this.startedAt;
    this.exchange = options.send(this);
  }

  /** Whether the replica has sent anything. */
  get hasBegun(): boolean {
    return this.firstByteMs !== undefined;
  }

  /** Whether the replica may have received a byte of the request. */
  get mayHaveArrived(): boolean {
    return this.wasSent || this.exchange.mayHaveArrived();
  }

  /** Monotonic time at which its connection was established, in milliseconds; undefined if a peer holds it. */
  get connectedAt(): number | undefined {
    return this.exchange.connectedAt?.();
  }

  /** Cancels the attempt; the replica sees its connection close. */
  cancel(reason: string): void {
    const proof = this.mayHaveArrived ? undefined : AttemptProof.Unsent;
    this.settle(AttemptOutcome.Cancelled, reason, proof);
    this.exchange.cancel(reason);
  }

  /** Cancels the attempt if no byte of it can have arrived. */
  cancelUnsent(reason: string): void {
    if (!this.hasSettled && !this.mayHaveArrived) this.exchange.cancel(reason);
  }

  /** Ends the attempt, as its connection is dead and another attempt is made. */
  leave(reason: string): void {
    this.wasLeft = true;
    this.fail(reason);
  }

  onSent(): void {
    this.wasSent = true;
    this.options.onSent();
  }

  onHead(status: number, headers: HeaderMap): void {
    this.options.onDataReceived();
    this.lastDataAt = this.options.timers.now();
    this.firstByteMs = this.lastDataAt - this.startedAt;
    this.status = status;
    this.headers = headers;
    this.metadata = this.options.dialect.readResponse(status, headers);
    this.identity = identify(this.metadata.requestId, this.options.requestId);
    if (this.identity !== ResponseIdentity.Named) {
      // Nothing in it is about this request, so it proves nothing either.
      this.metadata = undefined;
      this.fail(IDENTITY_FAILURES[this.identity]);
      return;
    }
    this.options.onMetadata(this.metadata);
    const isSuccess = status >= OK && status < SUCCESS_END;
    if (isSuccess && !this.metadata.isSigned) {
      this.fail('response is not signed');
      return;
    }
    if (isSuccess && this.metadata.isEncoded) {
      this.fail('response has an encoding');
      return;
    }
    const { relay } = this.options;
    this.isRelaying = relay !== undefined && status === OK;
    if (!this.isRelaying) return;
    this.options.onStreamBegin();
    relay!.begin(status, headers);
  }

  onData(chunk: Buffer): void {
    if (this.hasSettled) return;
    this.options.onDataReceived();
    this.lastDataAt = this.options.timers.now();
    if (this.isRelaying) {
      this.options.onStreamData(this.lastDataAt);
      this.forward(chunk);
      return;
    }
    const limit = this.body.append(chunk);
    if (limit !== undefined) this.fail(BUFFER_FAILURES[limit]);
  }

  private forward(chunk: Buffer): void {
    const relay = this.options.relay!;
    const result = relay.forward(chunk);
    if (result !== ForwardResult.Forwarded) this.fail(FORWARD_FAILURES[result]);
    else if (relay.isBlocked && !this.isHeldBack) {
      this.setHeldBack(true);
      this.exchange.pause();
      relay.onceDrained(() => this.goOn());
    }
  }

  /** Goes on reading, as the caller has taken what was written. */
  private goOn(): void {
    if (!this.isHeldBack) return;
    this.lastDataAt = this.options.timers.now();
    this.setHeldBack(false);
    this.exchange.resume();
  }

  private setHeldBack(isHeldBack: boolean): void {
    this.isHeldBack = isHeldBack;
    this.options.onHeldBack(isHeldBack);
  }

  onEnd(): void {
    if (this.isRelaying) {
      if (this.options.relay!.isWithinEvent) this.fail('stream ended inside an event');
      else this.settle(AttemptOutcome.Relayed, '');
      return;
    }
    const reason = `status ${this.status}`;
    if (!this.settleDenied(reason)) this.settle(AttemptOutcome.Responded, reason);
  }

  onFail(failure: ChannelFailure, err: Error): void {
    if (err instanceof RelayError) this.hasReplicaCrashed = err.hasCrashed;
    const unsentOutcome = this.wasSent ? undefined : UNSENT_OUTCOMES[failure];
    if (unsentOutcome !== undefined) this.settle(unsentOutcome, err.message, AttemptProof.Unsent);
    // The head alone proves that the request was refused; the body may be missing.
    else if (!this.settleDenied(err.message))
      this.settle(this.isRelaying ? AttemptOutcome.BrokenStream : AttemptOutcome.Unknown, err.message);
  }

  /**
   * Settles the attempt if the head of the response denies that the request was executed.
   * @returns Whether it does.
   */
  private settleDenied(reason: string): boolean {
    const { metadata } = this;
    if (!metadata?.isNotRun) return false;
    const outcome = metadata.isMisdirected ? AttemptOutcome.Misdirected : AttemptOutcome.NotRun;
    this.settle(outcome, reason, AttemptProof.Denied);
    return true;
  }

  /** Ends the attempt because the response can't be used. */
  private fail(reason: string): void {
    this.settle(this.isRelaying ? AttemptOutcome.BrokenStream : AttemptOutcome.Unknown, reason);
    this.exchange?.cancel(reason);
  }

  private settle(outcome: AttemptOutcome, reason: string, proof?: AttemptProof): void {
    if (this.hasSettled) return;
    this.hasSettled = true;
    if (this.isHeldBack) this.setHeldBack(false);
    const { status, headers, body } = this;
    const release = (): void => body.release();
    const response =
      outcome === AttemptOutcome.Responded ? { status, headers, body: body.bytes, release } : undefined;
    if (response === undefined) release();
    const { wasSent, wasLeft, firstByteMs, hasReplicaCrashed, identity } = this;
    const silentMs = this.options.timers.now() - this.lastDataAt;
    this.resolve({
      outcome,
      proof,
      response,
      reason,
      wasSent,
      wasLeft,
      firstByteMs,
      silentMs,
      hasReplicaCrashed,
      isFramed: isFramed(headers),
      identity,
    });
  }
}

function identify(named: string | undefined, requestId: string): ResponseIdentity {
  if (named === undefined) return ResponseIdentity.Missing;
  return named === requestId ? ResponseIdentity.Named : ResponseIdentity.Other;
}
