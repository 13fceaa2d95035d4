/** Defaults of the callers' server. */
import type { CallerSettings } from './types.js';

/** Bounds that hold unless the options say otherwise. */
export const DEFAULT_CALLER_SETTINGS: CallerSettings = {
  maxBodyBytes: 4 * 1024 * 1024,
  maxAnswerBytes: 32 * 1024 * 1024,
  headersTimeoutMs: 10_000,
  bodyTimeoutMs: 30_000,
  keepAliveMs: 75_000,
  defaultTimeoutMs: 600_000,
  maxAttempts: 3,
  firstEventMs: 60_000,
  streamIdleMs: 30_000,
  callerStallMs: 60_000,
  crashCheckMs: 300,
  maxWaiting: 1024,
  maxQueueMs: 10_000,
  oversubscription: 1.25,
  drainGraceMs: 1000,
  recordCapacity: 2048,
};
