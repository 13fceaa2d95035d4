/** Types of the callers' server. */
import type { ConfigHolder } from '@celeryyoke/configuration';
import type { Log, Metrics, TimerService } from '@celeryyoke/core';
import type {
  CallerLimits,
  Dispatcher,
  KeyLedger,
  Membership,
  RetryBudget,
  SuspectRegistry,
  UpstreamHealth,
} from '@celeryyoke/fleet';
import type { SiteView } from '@celeryyoke/placement';
import type { EngineClientFactory, ServiceClientFactory } from '@celeryyoke/platform';

import type { RequestLog } from '../records/index.js';

/** Bounds of the callers' server; every time is in milliseconds. */
export interface CallerSettings {
  /** Largest JSON body in bytes. */
  readonly maxBodyBytes: number;
  /** Largest answer that is not streamed, in bytes. */
  readonly maxAnswerBytes: number;
  /** Longest time for the headers of a request. */
  readonly headersTimeoutMs: number;
  /** Longest time for a JSON body. */
  readonly bodyTimeoutMs: number;
  /** How long an idle connection is kept. */
  readonly keepAliveMs: number;
  /** Time allowed for a request that states none. */
  readonly defaultTimeoutMs: number;
  /** Most tries of one request. */
  readonly maxAttempts: number;
  /** Longest time that an engine may take to the first event of a stream. */
  readonly firstEventMs: number;
  /** Longest time without a byte from an upstream in the middle of a stream. */
  readonly streamIdleMs: number;
  /** Longest time that a caller may take nothing of its stream. */
  readonly callerStallMs: number;
  /** Longest time to ask an engine that broke an answer off whether it has crashed. */
  readonly crashCheckMs: number;
  /** Most requests that were admitted and do not run yet. */
  readonly maxWaiting: number;
  /** Longest wait for a place on an engine that is worth beginning. */
  readonly maxQueueMs: number;
  /** Requests that an engine is given for each place in its batch. */
  readonly oversubscription: number;
  /** How long a drain goes on to answer requests that come in on kept connections, each the last on its connection. */
  readonly drainGraceMs: number;
  /** How many request records are kept. */
  readonly recordCapacity: number;
}

/** Options of the callers' server. */
export interface CallerServerOptions {
  /** Name of this daemon; request ids start with it. */
  readonly daemon: string;
  readonly config: ConfigHolder;
  readonly dispatcher: Dispatcher;
  /** Gives the clients of engines; they may be shared, and are closed by whoever made them. */
  readonly engines: EngineClientFactory;
  readonly keys: KeyLedger;
  readonly limits: CallerLimits;
  readonly suspects: SuspectRegistry;
  readonly membership: Membership;
  readonly timers: TimerService;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Budget of retries that the daemon's layers share; one of its own when left out. */
  readonly retries?: RetryBudget;
  /** What runs on the engines in the whole fleet; without it, this daemon may fill each engine alone. */
  readonly site?: SiteView;
  /** Is told how engines' answers went. */
  readonly health?: UpstreamHealth;
  /** Makes clients of plain services; over HTTP when left out. */
  readonly services?: ServiceClientFactory;
  /** Bounds that differ from the defaults. */
  readonly settings?: Partial<CallerSettings>;
}

/** A request that a forced stop cut. */
export interface CutRequest {
  readonly id: string;
  readonly path: string;
  readonly caller: string | undefined;
}

/** The callers' server. */
export interface CallerServer {
  /** Records of the newest requests, for `celeryyoke explain`. */
  readonly requests: RequestLog;
  /**
   * Starts to accept connections.
   * @param address - IP number.
   * @param port - Port; 0 for any that is free.
   * @returns The port.
   */
  listen(address: string, port: number): Promise<number>;
  /** How many requests are in progress. */
  inFlight(): number;
  /**
   * Stops accepting, answers Draining to new requests on kept connections, and waits for those in progress.
   * @returns When the last one has ended.
   */
  drain(): Promise<void>;
  /**
   * Closes every connection at once.
   * @returns The requests that it cut.
   */
  close(): Promise<readonly CutRequest[]>;
}
