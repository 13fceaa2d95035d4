/** Reads decision lines out of log files, whatever a collector has put in front of them. */

/** One decision line. */
export interface LogLine {
  /** Wall-clock milliseconds. */
  readonly at: number;
  /** The daemon that wrote it. */
  readonly process: string;
  readonly kind: string;
  readonly text: string;
  readonly request?: string;
  readonly replica?: string;
  readonly peer?: string;
  readonly [fact: string]: string | number | boolean | undefined;
}

const LINE_START = '{"at":';

/**
 * Reads the lines of a file.
 * @param text - The file's text; other lines are left out.
 * @returns The decision lines in the order of the file.
 */
export function* readLines(text: string): Generator<LogLine> {
  for (const row of text.split('\n')) {
    const start = row.indexOf(LINE_START);
    if (start < 0) continue;
    const line = parseLine(row.slice(start));
    if (line !== undefined) yield line;
  }
}

/** A line that was cut off in the middle is no line. */
function parseLine(text: string): LogLine | undefined {
  try {
    return JSON.parse(text) as LogLine;
  } catch {
    return undefined;
  }
}
