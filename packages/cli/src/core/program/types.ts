/** Types of the operator's command. */

/** How a command ends; the numbers are its exit codes. */
export enum ExitCode {
  /** Done, and nothing was found, warnings apart. */
  Ok = 0,
  /** Done, and something was found: mistakes in documents, or differences. */
  Found = 1,
  /** Not done: a wrong command line, a file that can't be read, a daemon that does not answer. */
  Failed = 2,
}

/** What a command may use of the world around it. */
export interface CliIo {
  /** Writes a block of text to standard output. */
  print(text: string): void;
  /** Writes a block of text to standard error. */
  complain(text: string): void;
}

/** An option of a command. */
export interface CliOption {
  /** Such as `--out <dir>` or `--json`. */
  readonly flag: string;
  readonly summary: string;
  readonly default?: string | number | boolean;
}

/** Options as they were given, by name. */
export type CliOptions = Readonly<Record<string, unknown>>;

/** A command of `celeryyoke`; the table of commands holds one entry for each. */
export interface CliCommand {
  /** Name and arguments, such as `check <base> <overlay>`. */
  readonly usage: string;
  readonly summary: string;
  readonly options: readonly CliOption[];
  /**
   * Runs the command.
   * @param args - Its arguments in order.
   * @param options - Its options.
   * @param io - Where it writes.
   * @returns How it ended.
   * @throws CeleryyokeError when it could not be done.
   */
  run(args: readonly string[], options: CliOptions, io: CliIo): Promise<ExitCode>;
}
