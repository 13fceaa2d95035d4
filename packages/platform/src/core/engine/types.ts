/** The narrow interface behind which engines stand, so that another dialect is one module. */
import type { Readable } from 'node:stream';

/** A generation to run. */
export interface GenerateCall {
  /** Path of the caller's request, `/v1/completions` or `/v1/chat/completions`. */
  readonly path: string;
  /** JSON body, with `model` already set to the key that the engine knows. */
  readonly body: string;
  /** Identifies the request in the engine's report and logs. */
  readonly requestId: string;
  /** Higher goes first. */
  readonly priority: number;
  /** Tokens that the caller already has; the engine goes on after them. */
  readonly resumeFrom?: number;
  /** Headers of the caller's trace, carried along unchanged. */
  readonly trace?: Readonly<Record<string, string>> | undefined;
  /** Cancels the generation. */
  readonly signal: AbortSignal;
  /**
   * Whether the slot lease still holds; asked in the very step that hands the request to a socket, which may come
   * after a connection was set up. When false, the request is refused as not sent.
   */
  readonly isAllowed?: (() => boolean) | undefined;
}

/** An engine's answer, whose body is still to come. */
export interface GenerateAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Readable;
}

/** What an order tells an engine to do. */
export enum OrderKind {
  Load = 'load',
  Unload = 'unload',
  Role = 'role',
}

/** An order to an engine. */
export interface EngineOrder {
  readonly kind: OrderKind;
  /** Adapter and version key, or the new role. */
  readonly subject: string;
  /** Grows with every change of owner. */
  readonly fencing: number;
  /** Latest time for the order to be carried out, in milliseconds from now. */
  readonly timeoutMs: number;
  /**
   * Whether this daemon still has authority; asked in the very step that hands the order to a socket, which may
   * come after a connection was set up. When false, the order fails as not sent.
   */
  readonly isAllowed?: (() => boolean) | undefined;
}

/** How an order ended. */
export enum OrderOutcome {
  Done = 'done',
  /** The engine has seen a higher fencing number. */
  Fenced = 'fenced',
  /** Refused or failed; nothing is loaded half. */
  Failed = 'failed',
  /** No answer came; it may still be carried out. */
  Unknown = 'unknown',
}

/** The result of an order. */
export interface OrderResult {
  readonly outcome: OrderOutcome;
  readonly reason?: string | undefined;
}

/** One adapter in an engine's report. */
export interface ReportedSlot {
  readonly key: string;
  readonly state: 'loading' | 'ready';
  readonly running: number;
}

/** What an engine reports of itself; it lags. */
export interface EngineReport {
  /** Changes whenever the engine restarts. */
  readonly incarnation: string;
  /** Age of the facts when they were sent, in milliseconds, as far as the engine knows. */
  readonly ageMs: number;
  readonly running: number;
  readonly waiting: number;
  readonly slots: readonly ReportedSlot[];
  /** Highest fencing number that it has seen. */
  readonly fencing: number;
  readonly role: string;
  /** Mean share of a step's places that were used, 0 to 1. */
  readonly batchFill: number;
}

/** A cache event; events come late and with gaps. */
export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'removed';
  /** Hash of the prompt prefix. */
  readonly prefix: string;
}

/** A client of one engine. */
export interface EngineClient {
  /**
   * Starts a generation.
   * @returns The answer once its head has come.
   * @throws CeleryyokeError UpstreamRefused when it is proved that it did not run, OutcomeUnknown otherwise.
   */
  generate(call: GenerateCall): Promise<GenerateAnswer>;
  /** Sends an order; never rejects. */
  order(order: EngineOrder): Promise<OrderResult>;
  /** Reads the engine's report. */
  report(timeoutMs: number): Promise<EngineReport>;
  /** Reads cache events after a number; a gap shows in the numbers. */
  cacheEvents(afterSeq: number, timeoutMs: number): Promise<readonly CacheEvent[]>;
  /** Exports the KV cache of a request. */
  exportKv(requestId: string): Promise<Buffer>;
  /** Imports a KV cache for a request. */
  importKv(requestId: string, data: Buffer): Promise<void>;
  /** Closes its connections. */
  close(): Promise<void>;
}

/** Makes a client for an engine's address. */
export type EngineClientFactory = (name: string, address: string) => EngineClient;
