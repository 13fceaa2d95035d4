/** Checks of a run. */
export type { RepeatFigures, SoakFigures } from './checks.js';
export type { DaemonOutage, Excuses, HostViolation } from './declarations.js';
export { checkRun, isClean } from './checks.js';
export type { CrashingViolation } from './crashes.js';
export { countCrashes } from './crashes.js';
export type { CutFigures, DaemonCut } from './cuts.js';
export { measureCuts } from './cuts.js';
