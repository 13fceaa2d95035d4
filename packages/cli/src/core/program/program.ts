/** Runs one command of a table. */
import { nearestHint } from '@celeryyoke/configuration';
import { CeleryyokeError, toCeleryyokeError } from '@celeryyoke/core';
import type { CAC } from 'cac';
import { cac } from 'cac';

import type { CliCommand, CliIo } from './types.js';
import { ExitCode } from './types.js';

const PROGRAM = 'celeryyoke';

/** Arguments of the process that come before the command's own. */
const LEADING_ARGUMENTS = 2;

/** Ends the help, for the exit codes are part of the interface. */
const EXIT_HELP = 'Exit codes: 0 done; 1 mistakes or differences found; 2 could not be done.';

interface Outcome {
  code: ExitCode;
}

function register(program: CAC, command: CliCommand, io: CliIo, outcome: Outcome): void {
  const entry = program.command(command.usage, command.summary);
  for (const option of command.options) {
    entry.option(option.flag, option.summary, { default: option.default });
  }
  entry.action(async (...values: unknown[]) => {
    const options = values.at(-1) as Record<string, unknown>;
    const args = values.slice(0, -1).flatMap((value) => (value === undefined ? [] : [String(value)]));
    Object.assign(outcome, { code: await command.run(args, options, io) });
  });
}

function nameOf({ usage }: CliCommand): string {
  return usage.split(' ')[0]!;
}

function describe(commands: readonly CliCommand[]): string {
  const widest = Math.max(...commands.map(({ usage }) => usage.length));
  const lines = commands.map(({ usage, summary }) => `  ${usage.padEnd(widest)}  ${summary}`);
  return [
    `${PROGRAM} COMMAND [OPTIONS]`,
    '',
    ...lines,
    '',
    `${PROGRAM} COMMAND --help tells more.`,
    EXIT_HELP,
  ].join('\n');
}

function refuseUnknown(name: string, commands: readonly CliCommand[]): never {
  const hint = nearestHint(name, commands.map(nameOf));
  throw new CeleryyokeError('CommandInvalid', { reason: `"${name}" is no command${hint || '.'}` });
}

function complainOf(thrown: unknown, io: CliIo): void {
  const isUsage = thrown instanceof Error && thrown.name === 'CACError';
  const err = isUsage
    ? new CeleryyokeError('CommandInvalid', { reason: thrown.message })
    : toCeleryyokeError(thrown);
  io.complain(`error ${err.code}: ${err.message}\n${err.entry.hint}`);
}

async function dispatch(
  commands: readonly CliCommand[],
  argv: readonly string[],
  io: CliIo,
): Promise<ExitCode> {
  const [first] = argv;
  if (first === undefined || first === '--help' || first === '-h') {
    io.print(describe(commands));
    return first === undefined ? ExitCode.Failed : ExitCode.Ok;
  }
  if (!commands.some((command) => nameOf(command) === first)) refuseUnknown(first, commands);
  const outcome: Outcome = { code: ExitCode.Ok };
  const program = cac(PROGRAM);
  for (const command of commands) register(program, command, io, outcome);
  program.help();
  const padding = Array<string>(LEADING_ARGUMENTS).fill(PROGRAM);
  program.parse([...padding, ...argv], { run: false });
  if (program.options.help !== true) await program.runMatchedCommand();
  return outcome.code;
}

/**
 * Runs the command that the arguments name.
 * @param commands - The table of commands.
 * @param argv - Arguments of the process, without the interpreter and the script.
 * @param io - Where it writes.
 * @returns The exit code.
 */
export async function runProgram(
  commands: readonly CliCommand[],
  argv: readonly string[],
  io: CliIo,
): Promise<ExitCode> {
  try {
    return await dispatch(commands, argv, io);
  } catch (err) {
    complainOf(err, io);
    return ExitCode.Failed;
  }
}
