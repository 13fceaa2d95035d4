/** Runs requests through one daemon on a virtual clock, with engines and a network that can fail. */
import type { ServerResponse } from 'node:http';
import { Writable } from 'node:stream';

import type { ManualTimerService } from '@celeryyoke/core';
import { createManualTimers, createMetrics, Suspicion } from '@celeryyoke/core';
import type {
  ResponseSink,
  Choice,
  ExecutionDependencies,
  Need,
  Route,
  ExchangeHandle,
  UpstreamCall,
  UpstreamPath,
  UpstreamRequest,
} from '@celeryyoke/routing';
import {
  AttemptLedger,
  AvailabilityState,
  BufferBudget,
  ChannelFailure,
  PathKind,
  RetryBudget,
  RequestExecution,
  RequestMetrics,
  RouteKind,
  RunRecord,
  Shutdown,
  WaitQueues,
  WorkTimes,
} from '@celeryyoke/routing';

import { engineEntry, log, MODEL } from '../fakes.js';
import type { RetryBounds } from './rule.js';
import { RetryRecord } from './rule.js';

/** Engine that each request is sent to first; it can be made to refuse them. */
const REFUSING = 'refusing';
/** Engine that retries are sent to. */
const OTHER = 'other';
const TIMEOUT_MS = 20_000;
const NOT_RUN = 503;
const OK = 200;
/** Head of a response that states where it ends. */
export const CHUNKED = { 'transfer-encoding': 'chunked' };

export const ROUTE: Route = {
  name: 'batch',
  host: 'app.example',
  prefix: '/batch/',
  kind: RouteKind.Streaming,
  timeoutMs: TIMEOUT_MS,
  rank: 1,
  targets: [{ service: 'engines', weight: 1 }],
  maxAttempts: 1,
  maxPauseMs: undefined,
  isResumable: false,
  isAnonymous: false,
};

/** An attempt that has not arrived, as the network to its engine is held up. */
interface HeldAttempt {
  readonly arrive: () => void;
}

/** A chooser for which every replica accepts requests. */
export function createChooser(choose: (need: Need) => Choice | undefined) {
  return {
    choose,
    minVersion: () => 0,
    acceptsRequests: () => true,
    hasVersion: () => true,
    backoffMs: () => 0,
    absentMs: () => 0,
  };
}

/** One daemon, its engines and its callers. */
export class ExecutionSite {
  readonly timers: ManualTimerService = createManualTimers();

  readonly record = new RetryRecord();

  readonly shutdown = new Shutdown();

  /** Response to the request that was sent last. */
  latestResponse: FakeServerResponse | undefined;

  /** Whether the first engine refuses all requests. */
  isRefusing = false;

  /** Whether nothing listens at the first engine. */
  isDown = false;

  /** Whether the other engine can load the adapters of requests. */
  canLoad = true;

  private isPathHeld = false;

  private heldAttempts: HeldAttempt[] = [];

  private lastId = 0;

  private readonly parts: ExecutionDependencies;

  /**
   * @param overrides - Parts of the daemon that a test replaces.
   */
  constructor(bounds: RetryBounds, overrides: Partial<Record<keyof ExecutionDependencies, unknown>> = {}) {
    const { timers } = this;
    const budget = new RetryBudget({
      bounds,
      share: () => 1,
      resumedAt: () => Number.NEGATIVE_INFINITY,
      timers,
    });
    const noop = (): void => undefined;
    this.parts = {
      chooser: createChooser(({ tried }) => this.choose(tried)),
      ensure: (_replica: unknown, _ref: unknown, { patienceMs }: { patienceMs: number }) =>
        this.load(patienceMs),
      sender: {
        choosePath: () => ({ kind: PathKind.Direct, peer: undefined }),
        send: (_path: UpstreamPath, replica: { id: string }, { call }: UpstreamRequest, sink: ResponseSink) =>
          this.send(replica.id, call, sink),
      },
      paths: {
        causeOf: () => undefined,
        onCut: () => noop,
        onReview: () => noop,
        recordBytes: noop,
        recordEnded: noop,
      },
      dialect: {
        upstreamHeaders: ({ id }: { id: string }) => [id],
        readResponse: (status: number, headers: { id?: string }) => ({
          isSigned: true,
          isEncoded: false,
          isNotRun: status === NOT_RUN,
          isMisdirected: false,
          requestId: headers.id,
        }),
      },
      inFlight: {
        begin: () => ({ responseStarted: noop, requestEnded: noop }),
        countsOf: () => ({ running: 0, waiting: 0 }),
      },
      health: {
        recordSent: noop,
        recordBytes: noop,
        recordEnded: noop,
        recordOutcome: noop,
        recordUnreachable: noop,
      },
      migrator: {
        register: () => ({ hasStoppedRun: false }),
        complete: () => Promise.resolve(undefined),
      },
      availability: { availabilityOf: () => ({ state: AvailabilityState.Accepting, forMs: 0 }) },
      suspects: {
        suspicionOf: () => Suspicion.Clear,
        attemptCut: () => Promise.resolve(),
        attemptCompleted: noop,
      },
      attempts: new AttemptLedger(timers),
      origins: { doubtOf: () => undefined, onlyVersion: () => 'v1', begin: noop, end: noop },
      limits: { admit: () => Promise.resolve(true), updateFromResponse: noop },
      slotPermits: { acquire: () => Promise.resolve({ release: noop }), updateFromResponse: noop },
      admission: { recordFirstEvent: noop, prefillMs: () => 0 },
      buffers: new BufferBudget(),
      shutdown: this.shutdown,
      fleetShare: () => 1,
      lateArrivals: { recordHeard: noop, track: () => undefined },
      budget: () => budget,
      metrics: new RequestMetrics(createMetrics()),
      markAbsent: noop,
      viewAgeMs: () => 0,
      workTimes: new WorkTimes(timers),
      waitQueues: new WaitQueues(timers),
      timers,
      log,
      ...overrides,
    } as unknown as ExecutionDependencies;
  }

  /** Holds up the attempts that are sent to the other engine, or lets those held up arrive. */
  holdPath(isHeld: boolean): void {
    this.isPathHeld = isHeld;
    if (isHeld) return;
    const { heldAttempts } = this;
    this.heldAttempts = [];
    for (const { arrive } of heldAttempts) arrive();
  }

  /** Sends requests at an even rate for some time. */
  async run(perSecond: number, ms: number): Promise<void> {
    const intervalMs = 1000 / perSecond;
    for (let passed = 0; passed < ms; passed += intervalMs) {
      void this.request();
      await this.timers.advance(intervalMs);
    }
  }

  /** Number of requests that have arrived at a replica. */
  get arrived(): number {
    return this.record.arrivedCount();
  }

  /**
   * Sends a request.
   * @returns The response to the caller, when it has ended.
   */
  async request(route: Route = ROUTE): Promise<FakeServerResponse> {
    this.lastId += 1;
    const id = `r${this.lastId}`;
    this.record.recordRequest(this.timers.now());
    const generation = { model: MODEL, adapter: id, promptTokens: 0, maxTokens: 10 };
    const res = new FakeServerResponse();
    this.latestResponse = res;
    const execution = new RequestExecution(this.parts, {
      head: {
        id,
        method: 'POST',
        host: route.host,
        target: route.prefix,
        waitMs: TIMEOUT_MS,
        generation,
        promptParts: [],
        lastEventId: undefined,
      } as never,
      body: undefined,
      route,
      service: 'engines',
      hasAccounts: false,
      account: undefined,
      res: res as unknown as ServerResponse,
      runs: new RunRecord(),
      caller: { onLeave: () => () => undefined },
      unreadMs: 0,
      arrivedAt: this.timers.now(),
    });
    await execution.run();
    return res;
  }

  private choose(tried: ReadonlySet<string>): Choice {
    const id = tried.has(REFUSING) ? OTHER : REFUSING;
    const needsLoad = id === OTHER && !this.canLoad;
    return { replica: engineEntry(id), residentVersion: undefined, needsLoad, cost: 0 };
  }

  private async load(patienceMs: number): Promise<boolean> {
    await this.timers.sleep(patienceMs);
    return this.canLoad;
  }

  private send(engine: string, { headers: [id] }: UpstreamCall, sink: ResponseSink): ExchangeHandle {
    let isCancelled = false;
    let wasSent = false;
    const arrive = (): void => {
      if (isCancelled) return;
      this.record.recordArrival(id!, this.timers.now());
      sink.onHead(engine === REFUSING && this.isRefusing ? NOT_RUN : OK, { id, ...CHUNKED });
      sink.onEnd();
    };
    queueMicrotask(() => {
      if (this.isDown && engine === REFUSING) {
        sink.onFail(ChannelFailure.NotSent, new Error('connection refused'));
        return;
      }
      wasSent = true;
      sink.onSent();
      if (this.isPathHeld && engine === OTHER) this.heldAttempts.push({ arrive });
      else arrive();
    });
    return {
      cancel: (reason) => {
        isCancelled = true;
        sink.onFail(ChannelFailure.Cancelled, new Error(reason));
      },
      mayHaveArrived: () => wasSent,
      pause: () => undefined,
      resume: () => undefined,
    };
  }
}

/** Response to a caller that reads everything. */
export class FakeServerResponse extends Writable {
  headersSent = false;

  /** Status of the response; undefined before its head. */
  status: number | undefined;

  constructor() {
    super({ write: (_chunk, _encoding, done) => done() });
  }

  writeHead(status: number): this {
    this.status = status;
    this.headersSent = true;
    return this;
  }

  /** Does nothing, as no header is set before the head. */
  removeHeader(): this {
    return this;
  }

  flushHeaders(): void {
    this.headersSent = true;
  }
}
