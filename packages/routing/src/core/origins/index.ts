/** Origins of streams: the software version that began each one, at which alone it may go on. */
export type { ResumingRequest } from './caller-deadlines.js';
export { CallerDeadlines } from './caller-deadlines.js';
export type { ContinuationFacts } from './continuation-rule.js';
export { continuationVersion } from './continuation-rule.js';
export type { IncarnationProofsOptions } from './incarnation-proofs.js';
export { IncarnationProofs } from './incarnation-proofs.js';
export type { HistoryContext, PastVersion, StoreHistory } from './store-history.js';
export { pastVersions, readStoreHistory, shortestSpanMs } from './store-history.js';
export { OriginTable } from './origin-table.js';
export type { NamedStreamKey, StreamKey } from './stream-key.js';
export { streamKey } from './stream-key.js';
export type { LookUpResult, RunningStream, StreamOriginsOptions } from './stream-origins.js';
export { StreamOrigins } from './stream-origins.js';
export type {
  BeginBounds,
  CallerDeadline,
  ServedVersion,
  KnownTime,
  OriginRecord,
  SharedHistory,
  StreamOrigin,
} from './types.js';
export { OriginState, UNKNOWN_ORIGIN, VersionDoubt } from './types.js';
export type { VersionHistoryOptions } from './version-history.js';
export { VersionHistory } from './version-history.js';
