/**
 * Passes one stream of events on to the caller, whole events only, over all replicas that feed it.
 *
 * What stands behind the last whole event is held back: when the stream breaks there, the caller has a clean end,
 * and another replica can go on behind the last number.
 */
import type { ServerResponse } from 'node:http';

import { EventScanner, NO_ID } from '@celeryyoke/core';

import type { HeaderMap } from '../channels/index.js';
import { beginAnswer } from './headers.js';

const EMPTY = Buffer.alloc(0);

/** The caller's side of a stream. */
export class StreamRelay {
  /** Number of the last event that the caller has; undefined before the first. */
  lastId: number | undefined;

  /** Longest time between two pieces of it, in milliseconds; the first piece begins the count. */
  longestPauseMs = 0;

  /** Whether the head was passed on. */
  hasBegun = false;

  private rest: Buffer = EMPTY;

  private scanner = new EventScanner();

  private isResumed = false;

  /** Monotonic time of the last piece. */
  private heardAt: number | undefined;

  /**
   * Makes a relay that has passed nothing on.
   * @param res - The caller's answer.
   * @param firstId - Number of the last event that the caller says it has.
   * @param now - Monotonic milliseconds.
   */
  constructor(
    private readonly res: ServerResponse,
    firstId: number | undefined,
    private readonly now: () => number,
  ) {
    this.lastId = firstId;
  }

  /**
   * Passes the head on; that of a later replica is left out.
   * @param status - Status.
   * @param headers - The replica's headers.
   */
  begin(status: number, headers: HeaderMap): void {
    this.rest = EMPTY;
    this.scanner = new EventScanner();
    this.isResumed = this.hasBegun;
    if (this.hasBegun) return;
    this.hasBegun = true;
    beginAnswer(this.res, status, headers);
    this.res.flushHeaders();
  }

  /**
   * Takes bytes of the stream in and passes whole events on.
   * @param chunk - The bytes.
   * @returns Whether the stream fits what the caller has; if not, it must be broken off.
   */
  take(chunk: Buffer): boolean {
    this.notePause();
    const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    let passFrom = 0;
    let start = 0;
    while (this.scanner.next(bytes, start)) {
      const { id, end } = this.scanner;
      if (this.isResumed && id !== NO_ID && this.lastId !== undefined && id <= this.lastId) {
        // The caller has this one already.
        this.pass(bytes, passFrom, start);
        passFrom = end;
      } else if (this.isResumed && id !== NO_ID && this.lastId !== undefined && id > this.lastId + 1)
        return false;
      else if (id !== NO_ID) this.lastId = id;
      start = end;
    }
    this.pass(bytes, passFrom, start);
    this.rest = start === bytes.length ? EMPTY : bytes.subarray(start);
    return true;
  }

  /** Ends the stream as complete; a tail that is no whole event is part of the replica's bytes. */
  end(): void {
    if (this.rest.length > 0) this.res.write(this.rest);
    this.res.end();
  }

  /** Breaks the stream off, so that it does not look complete. */
  breakOff(): void {
    this.res.destroy();
  }

  private notePause(): void {
    const now = this.now();
    if (this.heardAt !== undefined) this.longestPauseMs = Math.max(this.longestPauseMs, now - this.heardAt);
    this.heardAt = now;
  }

  private pass(bytes: Buffer, from: number, to: number): void {
    if (to > from) this.res.write(from === 0 && to === bytes.length ? bytes : bytes.subarray(from, to));
  }
}
