/**
 * Limits the lines of the trailers of a response.
 *
 * The parser reports heads, data and ends, and limits the bytes of trailers; each field takes many times the memory and
 * the time of a byte.
 */

const LF = 0x0a;
/** Most lines in bytes of which the parser reports nothing. */
const MAX_UNREPORTED_LINES = 256;

function countLines(chunk: Buffer): number {
  let count = 0;
  for (let at = chunk.indexOf(LF); at >= 0; at = chunk.indexOf(LF, at + 1)) count += 1;
  return count;
}

/** Counts the lines that the parser of a connection gets without reporting anything. */
export class TrailerGuard {
  private lines = 0;

  /** The parser has reported something of the last bytes. */
  recordReport(): void {
    this.lines = 0;
  }

  /**
   * Counts the lines of bytes that the parser gets next.
   * @returns Whether those before are within the limit.
   */
  accepts(chunk: Buffer): boolean {
    if (this.lines > MAX_UNREPORTED_LINES) return false;
    this.lines += countLines(chunk);
    return true;
  }
}
