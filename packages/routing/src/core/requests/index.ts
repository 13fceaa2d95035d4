/** Serves the requests of callers, from their arrival to the end of the response. */
export { LocalReply } from './local-reply.js';
export { AttemptProof, NotRunProof, RunRecord } from './run-record.js';
export { WaitQueue, WaitQueues } from './wait-queue.js';
export type { WaitingRequest } from './wait-queue.js';
export { WorkTimes } from './work-times.js';
export type { ResponseTimes } from './work-times.js';
export type {
  EngineStream,
  MigrationDependencies,
  MigratedStream,
  RunCopy,
  RunStateCopier,
} from './migration.js';
export { StreamMigration, StreamMigrator } from './migration.js';
export type { FinderDependencies, RoutedRequest } from './finder.js';
export { ReplicaFinder } from './finder.js';
export type { RequestExecutionOptions, ExecutionDependencies } from './execution.js';
export { RequestExecution } from './execution.js';
export { RequestMetrics } from './metrics.js';
export { ForwardResult, StreamRelay } from './relay.js';
export type { BoundRequest, StreamBindingDependencies } from './stream-binding.js';
export { StreamBinding } from './stream-binding.js';
export type { RequestServerOptions } from './server.js';
export { RequestServer } from './server.js';
export { Shutdown } from './shutdown.js';
export type {
  ResponseMetadata,
  GenerationRequest,
  HeadRejection,
  RequestDialect,
  RequestHead,
  UpstreamMetadata,
} from './types.js';
export type { WaitSummary } from './wait-times.js';
export { WaitCause, WaitTimes } from './wait-times.js';
