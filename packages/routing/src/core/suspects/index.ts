/** Requests under which replicas crash: found by their fingerprints, placed apart, and refused for a time. */
export type { AttemptListener, AttemptRecord, AttemptSubject, FollowedAttempt } from './attempt-ledger.js';
export { AttemptEnd, AttemptLedger } from './attempt-ledger.js';
export type { CrashDetectorOptions } from './crash-detector.js';
export { CrashDetector } from './crash-detector.js';
export type { EndSignRule } from './end-signs.js';
export { END_SIGNS, EndSign } from './end-signs.js';
export type { FeatureUse } from './evidence.js';
export { chanceOf, isCause } from './evidence.js';
export { FeatureStatistics, isSoundRun } from './feature-statistics.js';
export type { RequestFingerprints, RequestIdentity } from './fingerprint.js';
export { fingerprintsOf, sharedFeatures } from './fingerprint.js';
export type { PlacementInput } from './placement.js';
export { rankReplicas } from './placement.js';
export type { ReplicaEndsOptions } from './replica-ends.js';
export { ReplicaEnds } from './replica-ends.js';
export type { SuspectRegistryOptions } from './suspect-registry.js';
export { SuspectRegistry } from './suspect-registry.js';
