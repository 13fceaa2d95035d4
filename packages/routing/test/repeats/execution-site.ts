/** Requests on their whole way through one daemon on the virtual clock, before engines that a test shuts off. */
import type { ServerResponse } from 'node:http';
import { Writable } from 'node:stream';

import type { ManualTimerService } from '@celeryyoke/core';
import { createManualTimers, createMetrics } from '@celeryyoke/core';
import type {
  AnswerSink,
  Choice,
  ExecutionDependencies,
  Route,
  RunningExchange,
  UpstreamCall,
} from '@celeryyoke/routing';
import {
  CallerTimes,
  ChannelFailure,
  RepeatBudget,
  RequestExecution,
  RequestMetrics,
  RouteKind,
} from '@celeryyoke/routing';

import { engineEntry, log, MODEL } from '../fakes.js';
import type { RepeatBounds } from './rule.js';
import { RepeatRecord } from './rule.js';

/** Engine that refuses all that it gets. */
const REFUSING = 'refusing';
/** Engine at which requests are tried again. */
const OTHER = 'other';
const TIMEOUT_MS = 20_000;
const NOT_RUN = 503;
const OK = 200;

const ROUTE: Route = {
  name: 'batch',
  host: 'app.example',
  prefix: '/batch/',
  kind: RouteKind.Streaming,
  timeoutMs: TIMEOUT_MS,
  objectiveMs: 1000,
  rank: 1,
  targets: [{ service: 'engines', weight: 1 }],
  maxAttempts: 1,
  maxPauseMs: undefined,
  isResumable: false,
  isAnonymous: false,
};

/** A send that has not arrived, as the way to its engine is held up. */
interface HeldSend {
  readonly arrive: () => void;
}

/** One daemon, its engines and its callers. */
export class ExecutionSite {
  readonly timers: ManualTimerService = createManualTimers();

  readonly record = new RepeatRecord();

  /** Whether the first engine refuses what it gets. */
  isRefusing = false;

  /** Whether nothing listens at the first engine. */
  isDown = false;

  /** Whether the other engine can load the adapters of requests. */
  canLoad = true;

  private isWayHeld = false;

  private held: HeldSend[] = [];

  private lastId = 0;

  private readonly parts: ExecutionDependencies;

  constructor(bounds: RepeatBounds) {
    const { timers } = this;
    const callerTimes = new CallerTimes();
    callerTimes.record(ROUTE.name, TIMEOUT_MS);
    const budget = new RepeatBudget({ bounds, share: () => 1, timers });
    const nothing = (): void => undefined;
    this.parts = {
      chooser: {
        choose: ({ tried }: { tried: ReadonlySet<string> }) => this.choose(tried),
        leastVersion: () => 0,
      },
      ensure: (_replica: unknown, _ref: unknown, { patienceMs }: { patienceMs: number }) =>
        this.load(patienceMs),
      pool: {
        send: (replica: { id: string }, call: UpstreamCall, sink: AnswerSink) =>
          this.send(replica.id, call, sink),
      },
      dialect: {
        upstreamHeaders: ({ id }: { id: string }) => [id],
        readAnswer: (status: number) => ({
          isSigned: true,
          isNotRun: status === NOT_RUN,
          isMisdirected: false,
          requestId: undefined,
        }),
      },
      inFlight: {
        begin: () => ({ answered: nothing, ended: nothing }),
        counts: () => ({ running: 0, waiting: 0 }),
      },
      health: { sent: nothing, heard: nothing, ended: nothing, note: nothing, unreachable: nothing },
      migrations: { register: () => undefined, complete: () => Promise.resolve(undefined) },
      limits: { admit: () => Promise.resolve(true), noteAnswer: nothing },
      admission: { noteFirstEvent: nothing, readingMs: () => 0 },
      fleetShare: () => 1,
      budget: () => budget,
      metrics: new RequestMetrics(createMetrics()),
      notHeld: nothing,
      viewAgeMs: () => 0,
      callerTimes,
      timers,
      log,
    } as unknown as ExecutionDependencies;
  }

  /** Holds up all that is sent, or lets it arrive. */
  holdWay(isHeld: boolean): void {
    this.isWayHeld = isHeld;
    if (isHeld) return;
    const { held } = this;
    this.held = [];
    for (const { arrive } of held) arrive();
  }

  /** Has callers send requests evenly for some time. */
  async play(perSecond: number, ms: number): Promise<void> {
    const intervalMs = 1000 / perSecond;
    for (let passed = 0; passed < ms; passed += intervalMs) {
      this.request();
      await this.timers.advance(intervalMs);
    }
  }

  /** Requests that have arrived at a replica. */
  get arrived(): number {
    return this.record.arrived();
  }

  private request(): void {
    this.lastId += 1;
    const id = `r${this.lastId}`;
    this.record.request(this.timers.now());
    const generation = { model: MODEL, adapter: id, promptTokens: 0, maxTokens: 10 };
    const execution = new RequestExecution(this.parts, {
      head: {
        id,
        method: 'POST',
        host: ROUTE.host,
        target: ROUTE.prefix,
        waitMs: TIMEOUT_MS,
        generation,
        lastEventId: undefined,
      } as never,
      body: undefined,
      route: ROUTE,
      service: 'engines',
      hasAccounts: false,
      account: undefined,
      res: new CallerEnd() as unknown as ServerResponse,
      arrivedAt: this.timers.now(),
    });
    void execution.run();
  }

  private choose(tried: ReadonlySet<string>): Choice {
    const id = tried.has(REFUSING) ? OTHER : REFUSING;
    const needsLoad = id === OTHER && !this.canLoad;
    return { replica: engineEntry(id), heldVersion: undefined, needsLoad, cost: 0 };
  }

  private async load(patienceMs: number): Promise<boolean> {
    await this.timers.sleep(patienceMs);
    return this.canLoad;
  }

  private send(engine: string, { headers: [id] }: UpstreamCall, sink: AnswerSink): RunningExchange {
    let isCancelled = false;
    const arrive = (): void => {
      if (isCancelled) return;
      this.record.arrive(id!, this.timers.now());
      sink.onHead(engine === REFUSING && this.isRefusing ? NOT_RUN : OK, {});
      sink.onEnd();
    };
    queueMicrotask(() => {
      if (this.isDown && engine === REFUSING) {
        sink.onFail(ChannelFailure.NotSent, new Error('connection refused'));
        return;
      }
      sink.onSent();
      if (this.isWayHeld && engine === OTHER) this.held.push({ arrive });
      else arrive();
    });
    return {
      cancel: (reason) => {
        isCancelled = true;
        sink.onFail(ChannelFailure.Cancelled, new Error(reason));
      },
    };
  }
}

/** The caller's end of a connection, which takes whatever it gets. */
class CallerEnd extends Writable {
  headersSent = false;

  constructor() {
    super({ write: (_chunk, _encoding, done) => done() });
  }

  writeHead(): this {
    this.headersSent = true;
    return this;
  }

  flushHeaders(): void {
    this.headersSent = true;
  }
}
