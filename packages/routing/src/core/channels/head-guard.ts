/**
 * Limits the lines in the head of a response.
 *
 * The parser limits the bytes of a head; each field takes many times the memory and the time of a byte.
 */

const LF = 0x0a;
const CR = 0x0d;
/** Most lines in the head of a response. */
const MAX_HEAD_LINES = 256;
/** Position of the first digit of the status in the first line of a head. */
const STATUS_AT = 'HTTP/1.1 '.length;
const INTERIM_DIGIT = '1'.charCodeAt(0);

/** Counts the lines of heads in the bytes of a connection. */
export class HeadGuard {
  private isWithinHead = false;

  private lines = 0;

  /** Bytes of the current line, and whether it is blank so far. */
  private lineBytes = 0;

  private isBlank = true;

  /** Whether another head follows this one. */
  private isInterim = false;

  /** Expects the head of a response. */
  begin(): void {
    this.isWithinHead = true;
    this.isInterim = false;
    this.lines = 0;
    this.beginLine();
  }

  /**
   * Counts the lines of the head in a chunk.
   * @returns Whether the head is within the limit.
   */
  accepts(chunk: Buffer): boolean {
    let start = 0;
    while (this.isWithinHead && start < chunk.length) {
      const lineEnd = chunk.indexOf(LF, start);
      this.addToLine(chunk, start, lineEnd < 0 ? chunk.length : lineEnd);
      if (lineEnd < 0) return true;
      if (this.isBlank && this.lines > 0) this.endHead();
      else if (!this.isBlank) this.lines += 1;
      if (this.lines > MAX_HEAD_LINES) return false;
      this.beginLine();
      start = lineEnd + 1;
    }
    return true;
  }

  private beginLine(): void {
    this.lineBytes = 0;
    this.isBlank = true;
  }

  private addToLine(chunk: Buffer, start: number, end: number): void {
    const length = end - start;
    const statusAt = start + STATUS_AT - this.lineBytes;
    if (this.lines === 0 && statusAt >= start && statusAt < end)
      this.isInterim = chunk[statusAt] === INTERIM_DIGIT;
    this.isBlank &&= length === 0 || (length === 1 && chunk[start] === CR);
    this.lineBytes += length;
  }

  private endHead(): void {
    this.isWithinHead = this.isInterim;
    this.lines = 0;
  }
}
