/**
 * Finds the events in a stream of server-sent events without parsing them.
 *
 * It looks at the first bytes of each line only: whether it is data, the closing event, an error, and which number
 * the event carries.
 */

const LF = 0x0a;
const CR = 0x0d;
const SPACE = 0x20;
const COLON = 0x3a;
const ZERO = 0x30;
const NINE = 0x39;

const DATA_FIELD = Buffer.from('data');
const ID_FIELD = Buffer.from('id');
const DONE_VALUE = Buffer.from('[DONE]');
const ERROR_VALUE = Buffer.from('{"error"');

/** Says that an event carries no number. */
export const NO_ID = -1;

/** What an event is. */
export enum EventKind {
  /** A comment or another event without data. */
  Blank = 'blank',
  Data = 'data',
  /** The closing event, `[DONE]`. */
  Done = 'done',
  /** An error that the upstream reports inside the stream. */
  Error = 'error',
}

function holdsAt(bytes: Uint8Array, start: number, end: number, expected: Uint8Array): boolean {
  if (end - start < expected.length) return false;
  for (let index = 0; index < expected.length; index += 1) {
    if (bytes[start + index] !== expected[index]) return false;
  }
  return true;
}

/** Scans one stream; its fields describe the event that was found last, so that no event makes an object. */
export class EventScanner {
  kind = EventKind.Blank;

  /** Number of the event, by its `id` field; one too large to be exact counts as none. */
  id = NO_ID;

  /** Where the event ends: the index after its last byte. */
  end = 0;

  /** Whether the last event ended with a carriage return whose line feed may still come. */
  private isAfterCr = false;

  /** Bytes of an incomplete event that were scanned, from its beginning on. */
  private scannedBytes = 0;

  /** Offset of the line that is being scanned from the beginning of the event. */
  private lineOffset = 0;

  /**
   * Finds the event that begins at a place.
   * @param bytes - Bytes of the stream.
   * @param start - Where the event begins.
   * @returns Whether it is complete; if not, call again with the same beginning when more bytes have come. What was
   *   scanned before is not scanned again.
   */
  next(bytes: Uint8Array, start: number): boolean {
    if (this.scannedBytes === 0) this.begin(bytes, start);
    let lineStart = start + this.lineOffset;
    for (let index = start + this.scannedBytes; index < bytes.length; index += 1) {
      const byte = bytes[index]!;
      if (byte !== LF && byte !== CR) continue;
      const isBlank = index === lineStart;
      // The line feed of a line's end may still come.
      if (!isBlank && byte === CR && index + 1 === bytes.length)
        return this.suspend(index - start, lineStart - start);
      if (!isBlank) this.readLine(bytes, lineStart, index);
      const hasLf = byte === CR && bytes[index + 1] === LF;
      if (hasLf) index += 1;
      lineStart = index + 1;
      if (!isBlank) continue;
      this.isAfterCr = byte === CR && !hasLf;
      this.end = lineStart;
      this.scannedBytes = 0;
      return true;
    }
    return this.suspend(bytes.length - start, lineStart - start);
  }

  private begin(bytes: Uint8Array, start: number): void {
    this.kind = EventKind.Blank;
    this.id = NO_ID;
    this.lineOffset = this.isAfterCr && bytes[start] === LF ? 1 : 0;
    this.scannedBytes = this.lineOffset;
  }

  private suspend(scannedBytes: number, lineOffset: number): false {
    this.scannedBytes = scannedBytes;
    this.lineOffset = lineOffset;
    return false;
  }

  private readLine(bytes: Uint8Array, start: number, end: number): void {
    if (holdsAt(bytes, start, end, DATA_FIELD)) this.readData(bytes, start + DATA_FIELD.length, end);
    else if (holdsAt(bytes, start, end, ID_FIELD)) this.readId(bytes, start + ID_FIELD.length, end);
  }

  private readData(bytes: Uint8Array, colon: number, end: number): void {
    if (colon < end && bytes[colon] !== COLON) return;
    if (this.kind !== EventKind.Blank) {
      // Data of several lines is neither the closing event nor an error of one line.
      this.kind = EventKind.Data;
      return;
    }
    const start = bytes[colon + 1] === SPACE ? colon + 2 : colon + 1;
    if (end - start === DONE_VALUE.length && holdsAt(bytes, start, end, DONE_VALUE))
      this.kind = EventKind.Done;
    else this.kind = holdsAt(bytes, start, end, ERROR_VALUE) ? EventKind.Error : EventKind.Data;
  }

  private readId(bytes: Uint8Array, colon: number, end: number): void {
    if (bytes[colon] !== COLON) return;
    const start = bytes[colon + 1] === SPACE ? colon + 2 : colon + 1;
    let value = 0;
    for (let index = start; index < end; index += 1) {
      const byte = bytes[index]!;
      if (byte < ZERO || byte > NINE) return;
      value = value * 10 + (byte - ZERO);
    }
    if (end > start && Number.isSafeInteger(value)) this.id = value;
  }
}
