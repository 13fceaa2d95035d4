/** Requests of callers, from their arrival to the answer. */
export { LocalReply } from './local-reply.js';
export { CallerTimes } from './caller-times.js';
export type { EngineStream, StreamMigrationParts, Moved, RunMover } from './migration.js';
export { StreamMigration, StreamMigrations } from './migration.js';
export type { FinderParts, SoughtRequest } from './finder.js';
export { ReplicaFinder } from './finder.js';
export type { RequestExecutionOptions, RequestExecutionParts } from './execution.js';
export { RequestExecution } from './execution.js';
export { RequestMetrics } from './metrics.js';
export { StreamRelay } from './relay.js';
export type { RequestServerOptions } from './server.js';
export { RequestServer } from './server.js';
export type {
  AnswerNotes,
  GenerationNeed,
  HeadProblem,
  RequestDialect,
  RequestHead,
  UpstreamNotes,
} from './types.js';
