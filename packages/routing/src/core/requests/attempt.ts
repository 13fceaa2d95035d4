/** One send of a request to one replica: the answer is held whole, or relayed as a stream. */
import type { TimerService } from '@celeryyoke/core';

import type { AnswerSink, ChannelPool, HeaderMap, RunningExchange, UpstreamCall } from '../channels/index.js';
import { ChannelFailure } from '../channels/index.js';
import type { ReplicaEntry } from '../view/index.js';
import type { StreamRelay } from './relay.js';
import type { AnswerNotes, RequestDialect, AttemptResult } from './types.js';
import { AttemptOutcome } from './types.js';

const OK = 200;
const SUCCESS_BELOW = 300;
/** Largest answer that is held whole, in bytes; plain services answer with some kilobytes. */
const MAX_HELD_BYTES = 16 * 1024 * 1024;

/** A send. */
export interface AttemptOptions {
  readonly pool: ChannelPool;
  readonly dialect: RequestDialect;
  readonly timers: TimerService;
  readonly replica: ReplicaEntry;
  readonly call: UpstreamCall;
  /** Names the request; the answer must bear it. */
  readonly requestId: string;
  /** Where a stream goes; undefined when every answer is to be held. */
  readonly relay: StreamRelay | undefined;
  /** Called when the answer begins: a stream with its first event. */
  readonly onAnswer: () => void;
  /** Called with each piece that comes from the replica. */
  readonly onHeard: () => void;
  /** Called with the limit that the answer names; undefined when it names none. */
  readonly onLimit: (limitPerSecond: number | undefined) => void;
}

/** A send in progress. */
export class Attempt implements AnswerSink {
  readonly result: Promise<AttemptResult>;

  private readonly exchange: RunningExchange;

  private readonly startedAt: number;

  private resolve!: (result: AttemptResult) => void;

  private wasSent = false;

  private firstByteMs: number | undefined;

  private status = 0;

  private headers: HeaderMap = {};

  private notes: AnswerNotes | undefined;

  private isRelaying = false;

  private chunks: Buffer[] = [];

  private size = 0;

  private hasSettled = false;

  /**
   * Sends.
   * @param options - What, where to, and where the answer goes.
   */
  constructor(private readonly options: AttemptOptions) {
    this.result = new Promise((resolve) => {
      this.resolve = resolve;
    });
    this.startedAt = options.timers.now();
    this.exchange = options.pool.send(options.replica, options.call, this);
  }

  /**
   * Gives the send up; the replica sees its connection close.
   * @param reason - Why.
   */
  cancel(reason: string): void {
    this.settle(AttemptOutcome.Cancelled, reason);
    this.exchange.cancel(reason);
  }

  onSent(): void {
    this.wasSent = true;
  }

  onHead(status: number, headers: HeaderMap): void {
    this.options.onHeard();
    this.firstByteMs = this.options.timers.now() - this.startedAt;
    this.status = status;
    this.headers = headers;
    this.notes = this.options.dialect.readAnswer(status, headers);
    const { requestId, limitPerSecond } = this.notes;
    const isForeign = requestId !== undefined && requestId !== this.options.requestId;
    if (!isForeign) this.options.onLimit(limitPerSecond);
    const isSuccess = status >= OK && status < SUCCESS_BELOW;
    const lacksProof = isSuccess && (requestId === undefined || !this.notes.isSigned);
    if (isForeign || lacksProof) {
      this.giveUp(isForeign ? 'The answer belongs to another request.' : 'The answer lacks its signature.');
      return;
    }
    const { relay } = this.options;
    this.isRelaying = relay !== undefined && status === OK;
    if (this.isRelaying) relay!.begin(status, headers);
  }

  onData(chunk: Buffer): void {
    if (this.hasSettled) return;
    this.options.onHeard();
    if (this.isRelaying) {
      this.options.onAnswer();
      if (!this.options.relay!.take(chunk)) this.giveUp('The stream does not fit what the caller has.');
      return;
    }
    this.chunks.push(chunk);
    this.size += chunk.length;
    if (this.size > MAX_HELD_BYTES) this.giveUp('The answer is too large to hold.');
  }

  onEnd(): void {
    if (this.isRelaying) {
      this.settle(AttemptOutcome.Relayed, '');
      return;
    }
    if (this.notes?.isMisdirected) this.settle(AttemptOutcome.Misdirected, `status ${this.status}`);
    else if (this.notes?.isNotRun) this.settle(AttemptOutcome.NotRun, `status ${this.status}`);
    else this.settle(AttemptOutcome.Answered, `status ${this.status}`);
  }

  onFail(failure: ChannelFailure, err: Error): void {
    if (failure === ChannelFailure.NotSent) this.settle(AttemptOutcome.NotRun, err.message);
    // The head of a refusal is the proof; its body may be missing.
    else if (this.notes?.isMisdirected) this.settle(AttemptOutcome.Misdirected, err.message);
    else if (this.notes?.isNotRun) this.settle(AttemptOutcome.NotRun, err.message);
    else this.settle(this.isRelaying ? AttemptOutcome.BrokenStream : AttemptOutcome.Unknown, err.message);
  }

  private giveUp(reason: string): void {
    this.settle(this.isRelaying ? AttemptOutcome.BrokenStream : AttemptOutcome.Unknown, reason);
    this.exchange?.cancel(reason);
  }

  private settle(end: AttemptOutcome, reason: string): void {
    if (this.hasSettled) return;
    this.hasSettled = true;
    const { status, headers } = this;
    const answer =
      end === AttemptOutcome.Answered ? { status, headers, body: Buffer.concat(this.chunks) } : undefined;
    this.resolve({ end, answer, reason, wasSent: this.wasSent, firstByteMs: this.firstByteMs });
  }
}
