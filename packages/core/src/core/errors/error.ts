/** The error class that carries a result code. */
import type { ErrorName } from './catalogue.js';
import { ERROR_CATALOGUE } from './catalogue.js';
import type { ErrorEntry, ErrorParams } from './types.js';
import { RunState } from './types.js';

/** Further facts of an error. */
export interface ErrorOptions {
  /** What caused it. */
  readonly cause?: unknown;
  /** When to try again, in seconds. */
  readonly retryAfter?: number;
}

/** An error with a numbered result code from the catalogue. */
export class CeleryyokeError extends Error {
  /** The entry's name. */
  readonly kind: ErrorName;

  /** The entry of the catalogue. */
  readonly entry: ErrorEntry;

  /** What the message was made from. */
  readonly params: ErrorParams;

  /** When to try again, in seconds. */
  readonly retryAfter: number | undefined;

  /**
   * Makes an error of the catalogue.
   * @param kind - The entry's name.
   * @param params - Values for the message.
   * @param options - Further facts.
   */
  constructor(kind: ErrorName, params: ErrorParams = {}, options: ErrorOptions = {}) {
    const entry: ErrorEntry = ERROR_CATALOGUE[kind];
    super(entry.message(params), { cause: options.cause });
    this.name = kind;
    this.kind = kind;
    this.entry = entry;
    this.params = params;
    this.retryAfter = options.retryAfter;
  }

  /** The numbered result code. */
  get code(): number {
    return this.entry.code;
  }

  /** Whether it is proved that the request did not run. */
  get isNotRun(): boolean {
    return this.entry.run === RunState.NotRun;
  }
}

/**
 * Turns anything thrown into an error with a result code.
 * @param thrown - What was thrown.
 * @returns The error itself, or an internal error that names it as the cause.
 */
export function toCeleryyokeError(thrown: unknown): CeleryyokeError {
  if (thrown instanceof CeleryyokeError) return thrown;
  const reason = thrown instanceof Error ? thrown.message : String(thrown);
  return new CeleryyokeError('Internal', { reason }, { cause: thrown });
}
