/** Processes of a run. */
export type { ProcessOptions, RunningProcess } from './processes.js';
export { ProcessGroup } from './processes.js';
export type { LateLoop } from './late-loop.js';
export { LATE_LOOP_SIGNAL, LATE_LOOP_VARIABLE, LatePhase } from './late-loop.js';
