/** Checks of a run. */
export type { RepeatFigures, SoakFigures } from './checks.js';
export { checkRun, isClean } from './checks.js';
