/** Runs of the soak. */
export type { SoakOptions, SoakResult } from './run.js';
export { runSoak } from './run.js';
