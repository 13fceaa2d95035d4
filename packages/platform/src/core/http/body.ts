/** The body of an answer as a stream that holds the upstream back when its reader is slow. */
import { Readable } from 'node:stream';

import type { Dispatcher } from 'undici';

const HIGH_WATER_MARK_BYTES = 64 * 1024;

/** A stream of the raw chunks as they came; nothing is parsed or copied. */
export class AnswerBody extends Readable {
  private ended = false;

  /**
   * Makes an empty body.
   * @param controller - Holds the upstream back, or breaks the exchange off.
   */
  constructor(private readonly controller: Dispatcher.DispatchController) {
    super({ highWaterMark: HIGH_WATER_MARK_BYTES });
    // A body may break before its reader has begun to listen; that must not end the process.
    this.on('error', () => undefined);
  }

  /**
   * Takes a chunk in.
   * @param chunk - Bytes of the answer.
   */
  accept(chunk: Buffer): void {
    if (!this.push(chunk)) this.controller.pause();
  }

  /** Notes that the answer is complete. */
  finish(): void {
    this.ended = true;
    this.push(null);
  }

  /**
   * Notes that the answer broke.
   * @param err - Why.
   */
  fail(err: Error): void {
    this.ended = true;
    this.destroy(err);
  }

  override _read(): void {
    this.controller.resume();
  }

  override _destroy(err: Error | null, callback: (err?: Error | null) => void): void {
    // A reader that goes away cancels the exchange, so that the upstream stops working for nobody.
    if (!this.ended) this.controller.abort(err ?? new Error('The reader went away.'));
    callback(err);
  }
}
