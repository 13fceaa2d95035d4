/** A request on its way from the caller to a replica and back. */
import type { IncomingMessage } from 'node:http';

import type { Credentials } from '../accounts/index.js';
import type { Route } from '../catalog/index.js';
import type { HeaderMap } from '../channels/index.js';

/** A generation, as its headers describe it. */
export interface GenerationNeed {
  /** Base model. */
  readonly model: string;
  /** Adapter of it; undefined for the base model itself. */
  readonly adapter: string | undefined;
  /** Tokens of the prompt; 0 when unknown. */
  readonly promptTokens: number;
  /** Most tokens of the answer; 0 when unknown. */
  readonly maxTokens: number;
}

/** The head of a caller's request. */
export interface RequestHead {
  /** Names this attempt of the caller. */
  readonly id: string;
  readonly method: string;
  /** Host without its port. */
  readonly host: string;
  /** Path with its query, as it was sent. */
  readonly target: string;
  /** Time that the caller waits, in milliseconds; undefined when it does not say. */
  readonly waitMs: number | undefined;
  readonly generation: GenerationNeed | undefined;
  /** Number of the last event that the caller has, when it resumes a stream. */
  readonly lastEventId: number | undefined;
  readonly credentials: Credentials;
  /** Tokens of the prompt and most tokens of the answer together; undefined when they are not stated. */
  readonly statedTokens: number | undefined;
  /** Headers to pass on, names and values by turns. */
  readonly passed: readonly string[];
  /** Headers with the client's key, passed on only where the configuration declares no accounts. */
  readonly keyHeaders: readonly string[];
}

/**
 * Tells how long a request may take.
 * @param head - Its head.
 * @param route - Its route.
 * @returns Milliseconds from its arrival: what its caller waits, and no more than the operator wants.
 */
export function waitMsOf(head: Pick<RequestHead, 'waitMs'>, { timeoutMs }: Pick<Route, 'timeoutMs'>): number {
  return Math.min(head.waitMs ?? timeoutMs, timeoutMs);
}

/** A head that can't be served. */
export interface HeadProblem {
  readonly status: number;
  readonly reason: string;
}

/** What the system itself tells a replica. */
export interface UpstreamNotes {
  /** Time that is left, in milliseconds. */
  readonly waitMs: number;
  /** Name of the replica that is meant. */
  readonly instance: string;
  /** Version of the adapter that is meant. */
  readonly version: number | undefined;
  /** Urgency; 0 is the most urgent. */
  readonly rank: number | undefined;
  /** Whether the configuration declares accounts. */
  readonly hasAccounts: boolean;
  /** Name of the client account; undefined for an anonymous request. */
  readonly account: string | undefined;
  /** Number of the last event that the caller has. */
  readonly lastEventId: number | undefined;
  /** Names the copy of the run's memory from which the replica goes on. */
  readonly continuation: string | undefined;
}

/** What a replica's answer says beside its status. */
export interface AnswerNotes {
  /** The request that it answers, by the replica's word. */
  readonly requestId: string | undefined;
  /** Whether it carries the replica's signature. */
  readonly isSigned: boolean;
  /** Whether the replica proves that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether it is another replica, or lacks the adapter or the version. */
  readonly isMisdirected: boolean;
  /** Requests a second that the replica takes from all daemons together; undefined when it states no limit. */
  readonly limitPerSecond: number | undefined;
}

/** The header words of callers and replicas; the adapter to a platform implements it. */
export interface RequestDialect {
  /** Authentication scheme of the clients' keys. */
  readonly keyScheme: string;
  /**
   * Reads the head of a caller's request.
   * @param req - The request.
   * @returns The head, or why it can't be served.
   */
  readHead(req: IncomingMessage): RequestHead | HeadProblem;
  /**
   * Makes the headers of a request to a replica.
   * @param head - The caller's head.
   * @param notes - What the system adds.
   * @returns Names and values by turns.
   */
  upstreamHeaders(head: RequestHead, notes: UpstreamNotes): string[];
  /**
   * Reads what an answer says.
   * @param status - Its status.
   * @param headers - Its headers.
   * @returns The notes.
   */
  readAnswer(status: number, headers: HeaderMap): AnswerNotes;
}

/** How one send to a replica ended. */
export enum AttemptOutcome {
  /** The replica's whole answer is held, nothing of it was passed on. */
  Answered = 'answered',
  /** The answer was passed on to its end. */
  Relayed = 'relayed',
  /** It is proved that the request did not run. */
  NotRun = 'notRun',
  /** The replica is another one, or lacks what was asked for; not run. */
  Misdirected = 'misdirected',
  /** It may have run, and there is no answer. */
  Unknown = 'unknown',
  /** A stream broke after a part of it was passed on. */
  BrokenStream = 'brokenStream',
  /** This daemon gave it up: the caller left or its time is over. */
  Cancelled = 'cancelled',
}

/** An answer that is held whole. */
export interface HeldAnswer {
  readonly status: number;
  readonly headers: HeaderMap;
  readonly body: Buffer;
}

/** The end of one send. */
export interface AttemptResult {
  readonly end: AttemptOutcome;
  readonly answer: HeldAnswer | undefined;
  readonly reason: string;
  /** Whether a byte was handed to a connection. */
  readonly wasSent: boolean;
  /** Time to the first byte of the answer in milliseconds. */
  readonly firstByteMs: number | undefined;
}
