/** The operator's command as a table of commands. */
export {
  momentOption,
  requiredMoment,
  requiredText,
  switchOption,
  textOption,
  wholeOption,
} from './options.js';
export { runProgram } from './program.js';
export { ExitCode } from './types.js';
export type { CliCommand, CliIo, CliOption, CliOptions } from './types.js';
