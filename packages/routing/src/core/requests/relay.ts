/**
 * Relays one stream of server-sent events to the caller, in whole events only, across all replicas that
 * produce it.
 *
 * Bytes after the last complete event are held back. If the stream breaks there, the caller has received no
 * partial event, and another replica can continue after the last event id.
 */
import type { ServerResponse } from 'node:http';

import type { TimerService } from '@celeryyoke/core';
import { EventKind, EventScanner, NO_ID } from '@celeryyoke/core';

import type { BufferBudget } from '../buffers/index.js';
import { BudgetedBuffer, BufferLimit } from '../buffers/index.js';
import type { HeaderMap } from '../channels/index.js';
import { writeResponseHead } from './headers.js';
import { breakOff } from './response-end.js';

const LF = 0x0a;
const CR = 0x0d;
/** Largest event, in bytes; a longer one is no event. */
const MAX_EVENT_BYTES = 256 * 1024;

/** What became of bytes that a replica sent. */
export enum ForwardResult {
  Forwarded = 'forwarded',
  /** They don't continue the events that the caller has received. */
  EventsMissing = 'eventsMissing',
  /** They belong to an event that is too long to be one. */
  EventTooLong = 'eventTooLong',
  /** All bodies that are held take too much memory. */
  NoMemory = 'noMemory',
}

const LIMIT_RESULTS: Readonly<Record<BufferLimit, ForwardResult>> = {
  [BufferLimit.Size]: ForwardResult.EventTooLong,
  [BufferLimit.Memory]: ForwardResult.NoMemory,
};

/** Where an event belongs in the stream that the caller receives. */
enum EventPlace {
  /** After the last event that the caller has received. */
  Next = 'next',
  /** Among those that the caller has received already. */
  Received = 'received',
  /** Nowhere: events before it are missing, or a replica that began the stream goes back in it. */
  OutOfOrder = 'outOfOrder',
}

/** Writes a stream to the caller and tracks the last event that the caller has received. */
export class StreamRelay {
  /** Id of the last event that the caller has received; undefined before the first. */
  lastEventId: number | undefined;

  /**
   * Longest gap between two chunks of the stream, in milliseconds; the wait for the first chunk does not
   * count.
   */
  longestGapMs = 0;

  /** Whether another run can continue the stream: the place of an event without a number is not known. */
  isContinuable = true;

  /** Whether the response head was sent to the caller. */
  hasBegun = false;

  /** Bytes after the last complete event. */
  private readonly partialEvent: BudgetedBuffer;

  /** Memory of what the caller has not taken yet, as it was counted last, in bytes. */
  private untakenBytes = 0;

  private scanner = new EventScanner();

  /** Whether the present replica continues events that the caller has received from an earlier one. */
  private isContinuation = false;

  /** Whether the replica that began the stream numbers its events without gaps; undefined before its second event. */
  private isDense: boolean | undefined;

  private isAborted = false;

  /** Whether the run repeats events: those without a number between them are repeated as well. */
  private isRepeating = false;

  /** Monotonic time of the last chunk. */
  private lastChunkAt: number | undefined;

  /**
   * @param resumeFromId - Id of the last event that the caller says it has received.
   * @param buffers - Limits the memory of all bodies that are held.
   */
  constructor(
    private readonly res: ServerResponse,
    resumeFromId: number | undefined,
    private readonly timers: Pick<TimerService, 'after' | 'now'>,
    private readonly buffers: BufferBudget,
  ) {
    this.lastEventId = resumeFromId;
    this.partialEvent = new BudgetedBuffer(buffers, MAX_EVENT_BYTES);
  }

  /** Whether the caller has not taken what was written, and nothing more should be. */
  get isBlocked(): boolean {
    return this.res.writableNeedDrain;
  }

  /** Calls back once, when the caller has taken what was written. */
  onceDrained(callback: () => void): void {
    this.res.once('drain', () => {
      this.countUntaken(0);
      callback();
    });
  }

  /** Frees the memory of what is held back, and of what the caller has not taken once its connection has. */
  release(): void {
    this.partialEvent.release();
    if (this.untakenBytes === 0) return;
    if (this.res.destroyed) this.countUntaken(0);
    else this.res.once('close', () => this.countUntaken(0));
  }

  private countUntaken(bytes: number): boolean {
    if (!this.buffers.take(bytes - this.untakenBytes, bytes)) return false;
    this.untakenBytes = bytes;
    return true;
  }

  /**
   * Begins the stream of a replica. The head of the first replica is sent to the caller; later ones are
   * dropped.
   */
  begin(status: number, headers: HeaderMap): void {
    this.partialEvent.release();
    this.scanner = new EventScanner();
    this.isContinuation = this.lastEventId !== undefined;
    this.isRepeating = false;
    if (this.hasBegun) return;
    this.hasBegun = true;
    writeResponseHead(this.res, status, headers);
    this.res.flushHeaders();
  }

  /**
   * Writes the events that a chunk completes, without those that the caller has received already.
   * @returns What became of the chunk; if it was not forwarded, the stream must be aborted.
   */
  forward(chunk: Buffer): ForwardResult {
    this.recordGap();
    const { partialEvent } = this;
    const isContinued = partialEvent.length > 0;
    const limit = isContinued ? partialEvent.append(chunk) : undefined;
    if (limit !== undefined) return LIMIT_RESULTS[limit];
    const bytes = isContinued ? partialEvent.bytes : chunk;
    let writeFrom = 0;
    let start = 0;
    while (this.scanner.next(bytes, start)) {
      const { id, kind, end } = this.scanner;
      const place = this.locate(id);
      if (place !== EventPlace.Next) {
        this.write(bytes, writeFrom, start);
        writeFrom = end;
      } else if (id !== NO_ID) this.recordEvent(id);
      else if (kind !== EventKind.Blank) this.isContinuable = false;
      // The next replica continues after the events before this one.
      if (place === EventPlace.OutOfOrder) return ForwardResult.EventsMissing;
      start = end;
    }
    this.write(bytes, writeFrom, start);
    if (this.isBlocked && !this.countUntaken(this.res.writableLength)) return ForwardResult.NoMemory;
    return isContinued && start === 0 ? ForwardResult.Forwarded : this.holdBack(bytes.subarray(start));
  }

  private recordEvent(id: number): void {
    if (!this.isContinuation && this.lastEventId !== undefined) this.isDense ??= id === this.lastEventId + 1;
    this.lastEventId = id;
    // Where numbers have gaps, nothing tells whether a replica continues right behind the last event.
    this.isContinuable = this.isDense !== false;
  }

  /**
   * Finds out where the next event of a run belongs. The replica that begins a stream numbers it upwards, with gaps or without;
   * one that continues it has to begin right behind what the caller has, and may repeat some of that.
   */
  private locate(id: number): EventPlace {
    const { lastEventId, isContinuation } = this;
    if (id === NO_ID) return this.isRepeating ? EventPlace.Received : EventPlace.Next;
    this.isRepeating = isContinuation && lastEventId !== undefined && id < lastEventId;
    if (lastEventId === undefined || id === lastEventId + 1) return EventPlace.Next;
    if (isContinuation) return id <= lastEventId ? EventPlace.Received : EventPlace.OutOfOrder;
    return id > lastEventId && this.isDense !== true ? EventPlace.Next : EventPlace.OutOfOrder;
  }

  /** Holds the beginning of an event back, in place of what was held back before. */
  private holdBack(bytes: Buffer): ForwardResult {
    this.partialEvent.release();
    const limit = bytes.length === 0 ? undefined : this.partialEvent.append(bytes);
    return limit === undefined ? ForwardResult.Forwarded : LIMIT_RESULTS[limit];
  }

  /** Whether the replica has sent a part of an event only: blank lines are none. */
  get isWithinEvent(): boolean {
    return this.partialEvent.bytes.some((byte) => byte !== LF && byte !== CR);
  }

  /** Ends the response as complete, with any blank lines that follow the last event. */
  end(): void {
    if (this.partialEvent.length > 0) this.res.write(this.partialEvent.bytes);
    this.res.end();
  }

  /** Ends the response so that it does not look complete. */
  abort(): void {
    this.isAborted = true;
    breakOff(this.res, this.timers);
  }

  private recordGap(): void {
    const now = this.timers.now();
    if (this.lastChunkAt !== undefined)
      this.longestGapMs = Math.max(this.longestGapMs, now - this.lastChunkAt);
    this.lastChunkAt = now;
  }

  private write(bytes: Buffer, from: number, to: number): void {
    if (to > from && !this.isAborted)
      this.res.write(from === 0 && to === bytes.length ? bytes : bytes.subarray(from, to));
  }
}
