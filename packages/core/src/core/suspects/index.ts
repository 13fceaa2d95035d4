/** Requests under which upstreams crash. */
export type { Crash, CrashBounds, CrashListener, QuarantineEntry } from './crash-log.js';
export { CrashLog } from './crash-log.js';
export type { AgeRange, FeatureEvidence, FeatureSample, SharedFeature, SuspectRequest } from './types.js';
export { EndCertainty, Suspicion } from './types.js';
