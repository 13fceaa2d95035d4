/** Metrics of a process. */
export { createMetrics } from './metrics.js';
export { registerProcessCost, registerProcessMetrics } from './process.js';
export type { Counter, Gauge, Histogram, Labels, Metrics, SampleOptions } from './types.js';
