/** Finds blank lines, which end heads of requests and chunked bodies, in bytes that arrive in pieces. */

const LF = 0x0a;
const CR = 0x0d;

/** What the bytes so far end with, as far as a blank line may follow from it. */
enum Tail {
  Other,
  LineEnd,
  /** A line end and a carriage return. */
  Return,
}

const CONTINUED: Readonly<Record<Tail, (bytes: Buffer, start: number) => number>> = {
  [Tail.Other]: () => 0,
  [Tail.LineEnd]: (bytes, start) => lengthOfLineEnd(bytes, start),
  [Tail.Return]: (bytes, start) => (bytes[start] === LF ? 1 : 0),
};

/** Follows the bytes of one connection. */
export class BlankLines {
  private tail = Tail.Other;

  /**
   * Returns the end of the first blank line, or the limit if there is none before it.
   * @param start - Where to begin: all earlier bytes were passed to {@link BlankLines.pass}.
   * @param limit - Where to end.
   */
  endOfNext(bytes: Buffer, start: number, limit: number): number {
    const continued = CONTINUED[this.tail](bytes, start);
    if (continued > 0) return start + continued;
    for (let end = bytes.indexOf(LF, start) + 1; end > 0 && end < limit; end = bytes.indexOf(LF, end) + 1) {
      const length = lengthOfLineEnd(bytes, end);
      if (length > 0) return Math.min(end + length, limit);
    }
    return limit;
  }

  /** Records that bytes were taken. */
  pass(bytes: Buffer): void {
    const last = bytes.at(-1);
    const before = bytes.length > 1 ? bytes.at(-2) === LF : this.tail === Tail.LineEnd;
    if (last === LF) this.tail = Tail.LineEnd;
    else this.tail = last === CR && before ? Tail.Return : Tail.Other;
  }
}

/** Length of a line end, 0 if there is none or a part only. */
function lengthOfLineEnd(bytes: Buffer, at: number): number {
  if (bytes[at] === LF) return 1;
  return bytes[at] === CR && bytes[at + 1] === LF ? 2 : 0;
}
