/** Checks of a run. */
export type { BrittleTime, TooManyFalls } from './brittle.js';
export type { RepeatFigures, SoakFigures, SoakRecord } from './checks.js';
export type { DaemonOutage, Excuses, HostViolation } from './declarations.js';
export { checkRun, isClean } from './checks.js';
export type { JoinedStream, TakeUpFigures } from './continuations.js';
export { measureTakeUps } from './continuations.js';
export type { CrashingViolation } from './crashes.js';
export { countCrashes } from './crashes.js';
export type { CutFigures, DaemonCut } from './cuts.js';
export { measureCuts } from './cuts.js';
