/** Logging in short sentences, each part with its fixed prefix; decisions as structured lines. */
export type { DecisionLogOptions, LineSink, OutputSink } from './decisions.js';
export { createDecisionLog, openOutputSink } from './decisions.js';
export { createLog, createSilentLog } from './log.js';
export type { DecisionLog, Facts, Log, LogOptions } from './types.js';
export { LogFormat, LogLevel } from './types.js';
