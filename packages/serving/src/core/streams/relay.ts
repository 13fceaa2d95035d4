/** Passes one upstream's stream on to the caller, whole events at a time, as fast as both sides allow. */
import type { Readable, Writable } from 'node:stream';

import type { TimerHandle, TimerService } from '@celeryyoke/core';
import { ByteBuffer, EventKind, EventScanner } from '@celeryyoke/core';

import type { StreamPosition } from './position.js';
import { Verdict } from './position.js';
import type { RelayResult } from './types.js';
import { RelayEnd } from './types.js';

/** A single event that is larger than this is no token. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Options of one relay. */
export interface RelayOptions {
  readonly body: Readable;
  readonly out: Writable;
  /** Where the caller's stream stands; the relay moves it on. */
  readonly position: StreamPosition;
  /** Cancels the relay. */
  readonly signal: AbortSignal;
  readonly timers: TimerService;
  /** Longest time without a byte from the upstream once it has begun, in milliseconds. */
  readonly idleMs: number;
  /** Longest time that the caller may take nothing, in milliseconds. */
  readonly stallMs: number;
  /** Whether the first data event of the upstream's stream belongs to this answer. */
  readonly accepts: (event: Buffer) => boolean;
  /** Called before the first bytes go out. */
  readonly onFirst: () => void;
}

/** One relay; it settles once, and leaves no listener behind that does anything. */
class Relay {
  private readonly scanner = new EventScanner();

  /** Bytes of an event that is not complete yet. */
  private readonly tail = new ByteBuffer();

  private isPaused = false;

  private isBegun = false;

  private isAccepted = false;

  private moves = 0;

  private handles: TimerHandle[] = [];

  private resolve: ((result: RelayResult) => void) | undefined;

  constructor(private readonly options: RelayOptions) {}

  run(): Promise<RelayResult> {
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.attach();
      if (this.options.signal.aborted) this.onAbort();
    });
  }

  private attach(): void {
    const { body, out, signal, idleMs, stallMs } = this.options;
    body.on('data', this.onData);
    body.on('end', this.onEnd);
    body.on('error', this.onError);
    body.on('close', this.onEnd);
    out.on('drain', this.onDrain);
    signal.addEventListener('abort', this.onAbort);
    const isIdle = (): boolean => this.isBegun && !this.isPaused;
    this.handles = [
      this.watch(idleMs, isIdle, { end: RelayEnd.Broken, reason: 'the upstream sent nothing in time' }),
      this.watch(stallMs, () => this.isPaused, { end: RelayEnd.Stalled }),
    ];
  }

  private settle(result: RelayResult): void {
    const { body, out, signal } = this.options;
    body.off('data', this.onData);
    body.off('end', this.onEnd);
    body.off('close', this.onEnd);
    // The error listener stays: a body that is destroyed later may still report why.
    out.off('drain', this.onDrain);
    signal.removeEventListener('abort', this.onAbort);
    for (const handle of this.handles) handle.cancel();
    this.resolve?.(result);
    this.resolve = undefined;
  }

  /** A timer that only looks whether anything has moved costs nothing for each token. */
  private watch(ms: number, applies: () => boolean, result: RelayResult): TimerHandle {
    let seen = this.moves;
    return this.options.timers.repeat(ms, () => {
      if (applies() && seen === this.moves) this.settle(result);
      seen = this.moves;
    });
  }

  private readonly onData = (chunk: Buffer): void => {
    this.moves += 1;
    const bytes = this.tail.join(chunk);
    const used = this.passEvents(bytes);
    if (this.resolve === undefined) return;
    this.tail.keepRest(bytes, used);
    if (this.tail.length > MAX_EVENT_BYTES) {
      this.settle({ end: RelayEnd.Broken, reason: 'an event was too large' });
    }
  };

  /** Passes the events on that are complete; returns where the first incomplete one begins. */
  private passEvents(bytes: Buffer): number {
    const { scanner } = this;
    let passFrom = 0;
    let start = 0;
    let isDone = false;
    while (!isDone && scanner.next(bytes, start)) {
      const isDropped = this.judge(bytes, start) !== Verdict.Pass;
      if (isDropped) {
        this.write(bytes, passFrom, start);
        passFrom = scanner.end;
      }
      start = scanner.end;
      if (this.resolve === undefined) return start;
      isDone = scanner.kind === EventKind.Done;
    }
    this.write(bytes, passFrom, start);
    if (isDone) this.settle({ end: RelayEnd.Complete });
    return start;
  }

  /** Decides about the event that was found last. */
  private judge(bytes: Buffer, start: number): Verdict {
    const { scanner } = this;
    if (scanner.kind === EventKind.Data) {
      if (!this.isAccepted && !this.options.accepts(bytes.subarray(start, scanner.end))) {
        this.settle({ end: RelayEnd.Wrong });
        return Verdict.Gap;
      }
      this.isAccepted = true;
      const verdict = this.options.position.judge(scanner.id);
      if (verdict === Verdict.Gap) this.break('events are missing');
      return verdict;
    }
    if (scanner.kind !== EventKind.Error) return Verdict.Pass;
    this.break('the upstream reported an error');
    return Verdict.Drop;
  }

  private break(reason: string): void {
    this.settle({ end: RelayEnd.Broken, reason });
  }

  private write(bytes: Buffer, start: number, end: number): void {
    if (start === end) return;
    const { out, body } = this.options;
    if (!this.isBegun) {
      this.isBegun = true;
      this.options.onFirst();
    }
    const isWhole = start === 0 && end === bytes.length;
    if (out.write(isWhole ? bytes : bytes.subarray(start, end)) || this.isPaused) return;
    this.isPaused = true;
    body.pause();
  }

  private readonly onDrain = (): void => {
    this.moves += 1;
    this.isPaused = false;
    this.options.body.resume();
  };

  private readonly onEnd = (): void => this.break('the stream ended before its closing event');

  private readonly onError = (err: Error): void => this.break(err.message);

  private readonly onAbort = (): void => this.settle({ end: RelayEnd.Cancelled });
}

/**
 * Relays a stream until its closing event, its failure, or its cancellation.
 * Bytes of an event that never became complete are not passed on, so that another stream can go on after it.
 * @param options - Both ends, the position and the limits of time.
 * @returns How it ended.
 */
export function relayEvents(options: RelayOptions): Promise<RelayResult> {
  return new Relay(options).run();
}
