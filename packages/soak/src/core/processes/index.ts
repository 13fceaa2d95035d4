/** Processes of a run. */
export type { ProcessOptions, RunningProcess } from './processes.js';
export { ProcessGroup } from './processes.js';
