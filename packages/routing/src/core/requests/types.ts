/** Types of a request as it passes from the caller to a replica and back. */
import type { IncomingMessage } from 'node:http';

import type { Credentials } from '../accounts/index.js';
import type { ReplicaDeclaration } from '../availability/index.js';
import type { Route } from '../catalog/index.js';
import type { HeaderMap } from '../channels/index.js';
import type { AttemptProof } from './run-record.js';

/** A generation as the request headers describe it. */
export interface GenerationRequest {
  /** Base model. */
  readonly model: string;
  /** Adapter of the base model; undefined for the base model itself. */
  readonly adapter: string | undefined;
  /** Tokens of the prompt; 0 when unknown. */
  readonly promptTokens: number;
  /** Largest number of tokens to generate; 0 when unknown. */
  readonly maxTokens: number;
}

/** The head of a caller's request. */
export interface RequestHead {
  /** Identifies this attempt of the caller. */
  readonly id: string;
  readonly method: string;
  /** Host without the port. */
  readonly host: string;
  /** Path and query, as the caller sent them. */
  readonly target: string;
  /** Timeout of the caller, in milliseconds; undefined when it states none. */
  readonly waitMs: number | undefined;
  readonly generation: GenerationRequest | undefined;
  /** Ids of the parts of the prompt that other requests may share, in order. */
  readonly promptParts: readonly string[];
  /** Id of the last event that the caller has received, when it resumes a stream. */
  readonly lastEventId: number | undefined;
  /** Whether it names the last event by what is no id. */
  readonly isLastEventMalformed: boolean;
  /** Id of the caller's attempt that brought the first event, when it resumes a stream and names it. */
  readonly firstAttempt: string | undefined;
  readonly credentials: Credentials;
  /** Sum of the prompt's tokens and the largest number to generate; undefined when they are not stated. */
  readonly statedTokens: number | undefined;
  /** Headers that are forwarded: alternating names and values. */
  readonly forwardedHeaders: readonly string[];
  /** Headers with the client's key, forwarded only where the configuration declares no accounts. */
  readonly keyHeaders: readonly string[];
}

/** Returns the timeout of a request from its arrival on: that of the caller, limited to that of the route. */
export function requestTimeoutMs(
  head: Pick<RequestHead, 'waitMs'>,
  { timeoutMs }: Pick<Route, 'timeoutMs'>,
): number {
  return Math.min(head.waitMs ?? timeoutMs, timeoutMs);
}

/** Longest gap between events, its wait for the first one included, that every caller of a stream bears, in milliseconds. */
const MIN_CALLER_GAP_MS = 2000;
/** The same in pauses of the route: callers leave a stream after the longer of both. */
const PAUSES_PER_CALLER_GAP = 8;

/**
 * Returns the gap between two events of a stream after which its callers may leave, in milliseconds.
 */
export function callerGapMs({ maxPauseMs = 0 }: Pick<Route, 'maxPauseMs'>): number {
  return Math.max(MIN_CALLER_GAP_MS, PAUSES_PER_CALLER_GAP * maxPauseMs);
}

/** Why a request was rejected for its head. */
export interface HeadRejection {
  readonly status: number;
  readonly reason: string;
}

/** Values that the daemon adds to the headers of a request to a replica. */
export interface UpstreamMetadata {
  /** Time left until the deadline, in milliseconds. */
  readonly waitMs: number;
  /** Name of the replica that must serve the request. */
  readonly instance: string;
  /** Version of the adapter that must serve the request. */
  readonly version: number | undefined;
  /** Urgency; 0 is the most urgent. */
  readonly rank: number | undefined;
  /** Whether the configuration declares accounts. */
  readonly hasAccounts: boolean;
  /** Name of the client account; undefined for an anonymous request. */
  readonly account: string | undefined;
  /** Id of the last event that the caller has received. */
  readonly lastEventId: number | undefined;
  /** Identifies the copied run state from which the replica continues. */
  readonly continuation: string | undefined;
}

/** What the head of a replica's response says in addition to its status. */
export interface ResponseMetadata {
  /** Id of the request that the replica responds to. */
  readonly requestId: string | undefined;
  /** Whether the response carries the replica's signature. */
  readonly isSigned: boolean;
  /** Whether its body has an encoding, which no caller asks for: it is not the body that the replica made. */
  readonly isEncoded: boolean;
  /** Whether the response proves that the replica did not run the request. */
  readonly isNotRun: boolean;
  /** Whether another replica responded, or one that lacks the adapter or its version. */
  readonly isMisdirected: boolean;
  /**
   * Requests per second that the replica accepts from all daemons together; undefined when it states no
   * limit.
   */
  readonly limitPerSecond: number | undefined;
  /** Rejections per second that the replica bears; undefined when it states no limit. */
  readonly rejectionsPerSecond: number | undefined;
}

/**
 * Reads and writes the headers of callers and replicas on one platform; the adapter to the platform
 * implements it.
 */
export interface RequestDialect {
  /** Authentication scheme of the clients' keys. */
  readonly keyScheme: string;
  /** Reads the head of a caller's request. */
  readHead(req: IncomingMessage): RequestHead | HeadRejection;
  /**
   * Builds the headers of a request to a replica.
   * @returns Alternating names and values.
   */
  upstreamHeaders(head: RequestHead, metadata: UpstreamMetadata): string[];
  /** Reads the head of a replica's response. */
  readResponse(status: number, headers: HeaderMap): ResponseMetadata;
  /**
   * Reads what the head of any response of a replica declares about the replica itself.
   * @param requestId - Id of the request that was sent: a response that does not name it declares nothing. Undefined if
   *   it was no caller's.
   */
  readDeclaration(status: number, headers: HeaderMap, requestId?: string): ReplicaDeclaration;
}

/** Which request the head of a response names. */
export enum ResponseIdentity {
  /** The request that was sent. */
  Named = 'named',
  /** None: it may be an extra response to an earlier request on the connection. */
  Missing = 'missing',
  /** An earlier request on the connection. */
  Other = 'other',
}

/** How one attempt ended. */
export enum AttemptOutcome {
  /** The response is buffered whole; nothing was sent to the caller. */
  Responded = 'answered',
  /** The response was relayed to the caller until its end. */
  Relayed = 'relayed',
  /** The replica certainly did not run the request. */
  NotRun = 'notRun',
  /** Not sent: what the replica has declared meanwhile rules it out. */
  Withheld = 'withheld',
  /** Not run: another replica responded, or it lacks the adapter or its version. */
  Misdirected = 'misdirected',
  /** The request may have run, and there is no usable response. */
  Unknown = 'unknown',
  /** A stream ended early after relaying had begun. */
  BrokenStream = 'brokenStream',
  /** This daemon cancelled the attempt: the caller left or the deadline passed. */
  Cancelled = 'cancelled',
}

/** Outcomes of attempts whose connection ended before the response, as all those at a replica that crashes do. */
export const CUT_OUTCOMES: ReadonlySet<AttemptOutcome> = new Set([
  AttemptOutcome.Unknown,
  AttemptOutcome.BrokenStream,
]);

/** Outcomes of attempts whose replica has responded to the end, so that it has survived the request. */
export const COMPLETE_OUTCOMES: ReadonlySet<AttemptOutcome> = new Set([
  AttemptOutcome.Responded,
  AttemptOutcome.Relayed,
]);

/** Outcomes after which it is certain that the replica has not run the request. */
export const NOT_RUN_OUTCOMES: ReadonlySet<AttemptOutcome> = new Set([
  AttemptOutcome.Withheld,
  AttemptOutcome.NotRun,
  AttemptOutcome.Misdirected,
]);

/** How an attempt goes on with a stream of which the caller has events. */
export enum ContinuationWay {
  /** Within the response that brought the earlier events. */
  Retry = 'retry',
  /** The caller resumes the stream in a request of its own. */
  TakeUp = 'take-up',
  /** The run was moved to the replica. */
  Migration = 'migration',
}

/** A response that is buffered whole. */
export interface ReplicaResponse {
  readonly status: number;
  readonly headers: HeaderMap;
  readonly body: Buffer;
  /** Gives back the memory of the body, once it is not needed any more. */
  readonly release: () => void;
}

/** Result of one attempt. */
export interface AttemptResult {
  readonly outcome: AttemptOutcome;
  /** Why it is certain that the attempt has not run; undefined if it may have. */
  readonly proof: AttemptProof | undefined;
  readonly response: ReplicaResponse | undefined;
  readonly reason: string;
  /** Whether a byte was written to a connection. */
  readonly wasSent: boolean;
  /** Whether it was left for another attempt, as its connection was dead. */
  readonly wasLeft: boolean;
  /** Time to the first byte of the response, in milliseconds. */
  readonly firstByteMs: number | undefined;
  /** Time without a byte from the replica when the attempt ended, in milliseconds. */
  readonly silentMs: number;
  /**
   * Whether the peer that relayed it found that the replica has crashed; undefined on a direct path, and where it did
   * not fail.
   */
  readonly hasReplicaCrashed: boolean | undefined;
  /** Whether the response has a length or comes in chunks; one that has neither ends with its connection. */
  readonly isFramed: boolean;
  /** What the head of the response says of the request that it answers; undefined when there was no head. */
  readonly identity: ResponseIdentity | undefined;
}
