/** Checks of a run. */
export type { BrittleTime, TooManyFalls } from './brittle.js';
export type { RepeatFigures, RunMeasurements, SoakFigures, SoakRecord } from './checks.js';
export type { DaemonOutage, Excuses, HostViolation } from './declarations.js';
export { checkRun, isClean, measureRun } from './checks.js';
export type { JoinedStream, TakeUpFigures } from './continuations.js';
export type { CrashingViolation } from './crashes.js';
export type { DepartedRequest, DepartureExcuses } from './departed.js';
export { listDeparted } from './departed.js';
export { countCrashes } from './crashes.js';
export type { CutFigures, DaemonCut } from './cuts.js';
