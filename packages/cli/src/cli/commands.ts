/** The table of commands; a new command is one entry more. */
import type { CliCommand } from '../core/program/index.js';
import { checkCommand } from './check/index.js';
import { daemonCommands } from './daemon/index.js';
import { diffCommand } from './diff/index.js';
import { packCommand } from './pack/index.js';
import { planCommand } from './plan/index.js';
import { schemaCommand } from './schema/index.js';
import { showCommand } from './show/index.js';

/** Every command of `celeryyoke`. */
export const COMMANDS: readonly CliCommand[] = [
  checkCommand,
  showCommand,
  diffCommand,
  packCommand,
  planCommand,
  schemaCommand,
  ...daemonCommands,
];
