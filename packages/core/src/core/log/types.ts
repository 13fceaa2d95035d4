/** Types of logging. */

import type { Writable } from 'node:stream';

/** Severity, least severe last. */
export enum LogLevel {
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug',
}

/** How a line looks. */
export enum LogFormat {
  Human = 'human',
  Json = 'json',
}

/** Options of a log. */
export interface LogOptions {
  /** Least severe level that is written. */
  readonly level: LogLevel;
  /** How a line looks. */
  readonly format: LogFormat;
  /** Where lines go; the standard error stream when left out, so that output stays clean. */
  readonly stream?: Writable | undefined;
}

/** A log with the prefix of one part. */
export interface Log {
  /** Writes an error. */
  error(text: string): void;
  /** Writes a warning. */
  warn(text: string): void;
  /** Writes a piece of news. */
  info(text: string): void;
  /** Writes a detail. */
  debug(text: string): void;
  /**
   * Makes the log of another part.
   * @param label - The part's fixed prefix.
   * @returns The log.
   */
  part(label: string): Log;
}

/** What a decision rests on: plain values by name. */
export type Facts = Readonly<Record<string, string | number | boolean | undefined>>;

/** A log that also takes decisions with the facts that led to them. */
export interface DecisionLog extends Log {
  /**
   * Writes a decision on a request, or a change of what the process believes.
   * @param kind - Names the decision; lines of one kind are bounded together.
   * @param text - A short sentence.
   * @param facts - Request, inputs, their age or version, outcome.
   */
  decide(kind: string, text: string, facts: Facts): void;
  /** Whether details are written; what is made for them alone need not be made where they are not. */
  readonly hasDetails: boolean;
  /**
   * Writes a detail of the same form.
   * @param kind - Names it.
   * @param text - A short sentence.
   * @param facts - What it rests on.
   */
  detail(kind: string, text: string, facts: Facts): void;
  part(label: string): DecisionLog;
}
