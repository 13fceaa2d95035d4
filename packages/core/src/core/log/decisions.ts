/**
 * Structured lines for decisions: one JSON object a line, bounded in number for each kind, and never waited for.
 *
 * A daemon under load must not slow down for its log, so lines that the output does not take are dropped and
 * counted. sonic-boom writes in its place instead of winston: it drops instead of waiting, and costs a program
 * a tenth of the memory.
 */
import sonicBoom from 'sonic-boom';

import type { TimerService } from '../time/index.js';
import type { DecisionLog, Facts } from './types.js';
import { LogLevel } from './types.js';

/** Lines of one kind that are written in a second; more are counted and told in one line. */
const LINES_PER_SECOND = 20;
/** Lines of one kind that may come at once after a quiet time: a crash of an engine touches some dozen requests. */
const BURST_LINES = 100;
const SECOND_MS = 1000;
/** Bytes that wait for the output before lines are dropped; some thousand lines. */
const MAX_WAITING_BYTES = 512 * 1024;
const STANDARD_OUTPUT = 1;

const RANKS: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Error]: 0,
  [LogLevel.Warn]: 1,
  [LogLevel.Info]: 2,
  [LogLevel.Debug]: 3,
};

/** Where lines go; it must not block. */
export interface LineSink {
  write(line: string): void;
}

/** Options of a decision log. */
export interface DecisionLogOptions {
  readonly level: LogLevel;
  /** Name of the process, on each line. */
  readonly process: string;
  readonly timers: TimerService;
  readonly sink: LineSink;
}

interface Allowance {
  left: number;
  refilledAt: number;
  leftOut: number;
}

/** What the parts of one process share. */
class Lines {
  private readonly allowances = new Map<string, Allowance>();

  constructor(readonly options: DecisionLogOptions) {}

  isWritten(level: LogLevel): boolean {
    return RANKS[level] <= RANKS[this.options.level];
  }

  write(level: LogLevel, part: string, kind: string, text: string, facts: Facts): void {
    const { options } = this;
    if (!this.isWritten(level)) return;
    const allowance = this.allowance(kind);
    if (allowance.left < 1) {
      allowance.leftOut += 1;
      return;
    }
    allowance.left -= 1;
    const leftOut = allowance.leftOut > 0 ? { leftOut: allowance.leftOut } : {};
    allowance.leftOut = 0;
    const at = Math.round(options.timers.wall());
    const line = { at, process: options.process, level, part, kind, text, ...facts, ...leftOut };
    options.sink.write(`${JSON.stringify(line)}\n`);
  }

  private allowance(kind: string): Allowance {
    const now = this.options.timers.now();
    let allowance = this.allowances.get(kind);
    if (allowance === undefined) {
      allowance = { left: BURST_LINES, refilledAt: now, leftOut: 0 };
      this.allowances.set(kind, allowance);
    }
    const gained = ((now - allowance.refilledAt) / SECOND_MS) * LINES_PER_SECOND;
    allowance.left = Math.min(BURST_LINES, allowance.left + gained);
    allowance.refilledAt = now;
    return allowance;
  }
}

/** Lines of plain text share one kind for each level. */
const PLAIN = 'note';

function wrap(lines: Lines, part: string): DecisionLog {
  const plain = (level: LogLevel) => (text: string) =>
    lines.write(level, part, `${PLAIN}.${level}`, text, {});
  return {
    error: plain(LogLevel.Error),
    warn: plain(LogLevel.Warn),
    info: plain(LogLevel.Info),
    debug: plain(LogLevel.Debug),
    decide: (kind, text, facts) => lines.write(LogLevel.Info, part, kind, text, facts),
    hasDetails: lines.isWritten(LogLevel.Debug),
    detail: (kind, text, facts) => lines.write(LogLevel.Debug, part, kind, text, facts),
    part: (next) => wrap(lines, next),
  };
}

/**
 * Makes a decision log.
 * @param options - Level, name of the process, time and output.
 * @param part - Prefix of the first part.
 * @returns The log.
 */
export function createDecisionLog(options: DecisionLogOptions, part = 'daemon'): DecisionLog {
  return wrap(new Lines(options), part);
}

/** Standard output as a sink that never blocks. */
export interface OutputSink extends LineSink {
  /** Lines that the output did not take. */
  dropped(): number;
  /** Writes what waits, at the end of the process. */
  flush(): void;
}

/**
 * Opens standard output for lines.
 * @returns The sink.
 */
export function openOutputSink(): OutputSink {
  const output = new sonicBoom.SonicBoom({ fd: STANDARD_OUTPUT, sync: false, maxLength: MAX_WAITING_BYTES });
  let dropped = 0;
  output.on('drop', () => {
    dropped += 1;
  });
  // An output that is gone must not end the daemon; its lines are lost and counted.
  output.on('error', () => {
    dropped += 1;
  });
  return {
    write: (line) => {
      output.write(line);
    },
    dropped: () => dropped,
    flush: () => output.flushSync(),
  };
}
