#!/usr/bin/env node
/** The binary `celeryyoke`. */
import { COMMANDS } from './cli/commands.js';
import { runProgram } from './core/program/index.js';

/** Arguments of the process that are not the command's. */
const OWN_ARGUMENTS_FROM = 2;

process.exitCode = await runProgram(COMMANDS, process.argv.slice(OWN_ARGUMENTS_FROM), {
  print: (text) => console.log(text),
  complain: (text) => console.error(text),
});
