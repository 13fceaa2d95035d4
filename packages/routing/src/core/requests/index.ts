/** Requests of callers, from their arrival to the answer. */
export { OwnAnswer } from './answers.js';
export { CallerTimes } from './caller-times.js';
export type { EngineStream, EvacuationParts, Moved, RunMover } from './evacuation.js';
export { Evacuation, Evacuations } from './evacuation.js';
export type { FinderParts, SoughtRequest } from './finder.js';
export { ReplicaFinder } from './finder.js';
export type { JourneyParts } from './journey.js';
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
