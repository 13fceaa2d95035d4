/** Types of generations. */
import type { ResolvedAdapter } from '@celeryyoke/configuration';
import type { TimerService } from '@celeryyoke/core';
import type {
  DispatchGrant,
  Dispatcher,
  RetryBudget,
  SuspectRegistry,
  UpstreamHealth,
} from '@celeryyoke/fleet';

import type { EnginePlaces, WaitingList } from '../admission/index.js';
import type { EngineClients } from './clients.js';

/** A generation that a caller asks for, checked and resolved. */
export interface Generation {
  readonly adapter: ResolvedAdapter;
  /** Path of the caller's request. */
  readonly path: string;
  /** JSON body that the engine gets. */
  readonly body: string;
  readonly isStreamed: boolean;
  /** Hash of adapter, version and body, by which requests that crash engines are known again. */
  readonly fingerprint: string;
  /** Whether it must not run twice. */
  readonly isNonIdempotent: boolean;
}

/** Bounds of generations; every time is in milliseconds. */
export interface GenerationLimits {
  /** Most tries of one request. */
  readonly maxAttempts: number;
  /** Longest time until the first event of a stream. */
  readonly firstEventMs: number;
  /** Longest time without a byte from an engine in the middle of a stream. */
  readonly streamIdleMs: number;
  /** Longest time that a caller may take nothing of its stream. */
  readonly callerStallMs: number;
  /** Largest answer that is not streamed, in bytes. */
  readonly maxAnswerBytes: number;
  /** Longest time to ask an engine that broke an answer off whether it has crashed. */
  readonly crashCheckMs: number;
}

/** What generations need. */
export interface GenerationServices {
  readonly dispatcher: Dispatcher;
  readonly clients: EngineClients;
  readonly suspects: SuspectRegistry;
  readonly retries: RetryBudget;
  readonly waiting: WaitingList;
  readonly places: EnginePlaces;
  readonly timers: TimerService;
  readonly limits: GenerationLimits;
  /** Is told how engines' answers went. */
  readonly health?: UpstreamHealth | undefined;
}

/** An engine on which one try of a request may run: its slot lease and its place. */
export interface EngineHold {
  readonly grant: DispatchGrant;
  /** Time that it waited for a place on the engine, in milliseconds. */
  readonly queueWaitMs: number;
  /**
   * Gives the engine back.
   * @param isSettled - Whether it is certain that nothing of the request runs there any more.
   */
  release(isSettled: boolean): void;
}
