/** Small fakes at the interfaces of the serving package. */
import { createHash } from 'node:crypto';
import { EventEmitter } from 'node:events';
import { PassThrough } from 'node:stream';

import type { CallerConfig, EngineConfig, SiteConfig } from '@celeryyoke/configuration';
import { createConfigHolder, createSnapshot, Fencing } from '@celeryyoke/configuration';
import type { ManualTimerService } from '@celeryyoke/core';
import {
  CeleryyokeError,
  createManualTimers,
  createMetrics,
  createSilentLog,
  Suspicion,
} from '@celeryyoke/core';
import type {
  CallerLimits,
  DispatchGrant,
  DispatchRequest,
  Dispatcher,
  IsolationPass,
  KeyLedger,
  Membership,
  Quarantine,
  SuspectRegistry,
} from '@celeryyoke/fleet';
import { KeyOutcome } from '@celeryyoke/fleet';
import type { EngineClient, EngineReport, GenerateAnswer, GenerateCall } from '@celeryyoke/platform';

import type { Dispatcher as HttpDispatcher } from 'undici';
import { request } from 'undici';

import type { CallerServer, CallerServerOptions, CallerSettings } from '../src/index.js';
import { createCallerServer } from '../src/index.js';

/** Key of the caller `studio`. */
export const STUDIO_KEY = 'studio-key';

/** Key of the caller `press`. */
export const PRESS_KEY = 'press-key';

function makeCaller(name: string, key: string): CallerConfig {
  const keySha256 = createHash('sha256').update(key).digest('hex');
  return { name, keySha256, requestsPerSecond: 1000, concurrency: 1000, weight: 1, priority: 0 };
}

function makeEngine(name: string): EngineConfig {
  return {
    name,
    domain: 'a',
    address: `http://${name}`,
    model: 'base',
    store: 'store',
    slots: 4,
    batch: 8,
    fencing: Fencing.Honoured,
  };
}

/** A site with two callers, three engines and a hundred adapters. */
export const SITE: SiteConfig = {
  site: 'test',
  domains: [{ name: 'a', region: 'r' }],
  models: [{ name: 'base', sizeMb: 1 }],
  engines: ['e1', 'e2', 'e3'].map(makeEngine),
  services: [],
  stores: [{ name: 'store', address: 'http://store', loadsPerSecond: 2, concurrentLoads: 1 }],
  adapters: Array.from({ length: 100 }, (_, index) => ({
    name: `brief-${index}`,
    model: 'base',
    versions: ['1', '2'],
    current: '2',
    sizeMb: 10,
  })),
  events: [],
  callers: [makeCaller('studio', STUDIO_KEY), makeCaller('press', PRESS_KEY)],
  policy: { stallWeight: 1, maxLoadWaitMs: 1000, firstTokenMs: 300, interTokenMs: 35 },
};

/** A dispatcher that grants the first engine which is not excluded, and counts leases. */
export class FakeDispatcher extends EventEmitter implements Dispatcher {
  readonly wants: DispatchRequest[] = [];

  held = 0;

  /** For each lease that ended, whether nothing was left running on the engine. */
  readonly settled: boolean[] = [];

  /** Answers in place of the usual grant. */
  override: ((want: DispatchRequest, signal: AbortSignal) => Promise<DispatchGrant>) | undefined;

  async acquire(want: DispatchRequest, signal: AbortSignal): Promise<DispatchGrant> {
    this.wants.push({ ...want, excluded: new Set(want.excluded) });
    this.emit('want', want);
    if (this.override !== undefined) return this.override(want, signal);
    return this.grant(want);
  }

  grant(want: DispatchRequest, isValid: () => boolean = () => true): DispatchGrant {
    const engine = SITE.engines.find(({ name }) => !want.excluded.has(name));
    if (engine === undefined) throw new CeleryyokeError('NoUpstream', { target: want.adapter.key });
    this.held += 1;
    let isHeld = true;
    return {
      engine,
      loadWaitMs: 7,
      reasons: ['first that is free'],
      isValid,
      release: (isSettled = false) => {
        if (!isHeld) return;
        isHeld = false;
        this.held -= 1;
        this.settled.push(isSettled);
        this.emit('release');
      },
    };
  }
}

/** One generation at a fake engine, answered by the test. */
export class FakeGeneration {
  readonly body = new PassThrough();

  constructor(
    readonly engine: string,
    readonly call: GenerateCall,
  ) {
    call.signal.addEventListener('abort', () => this.body.destroy(), { once: true });
    this.body.on('error', () => undefined);
  }

  /** Writes tokens as events, from the number given. */
  tokens(from: number, count: number): void {
    for (let index = from; index < from + count; index += 1) this.body.write(tokenEvent(index));
  }

  /** Ends the stream as an engine does. */
  done(): void {
    this.body.end('data: [DONE]\n\n');
  }

  /** Breaks the connection. */
  cut(): void {
    this.body.destroy(new Error('cut'));
  }
}

/** One token as an engine sends it. */
export function tokenEvent(index: number): string {
  return `id: ${index}\ndata: {"choices":[{"index":0,"delta":{"content":"t${index} "}}]}\n\n`;
}

type Script = (generation: FakeGeneration) => Promise<GenerateAnswer> | GenerateAnswer;

/** Makes the answer of a stream that the test writes. */
export function streamed(generation: FakeGeneration): GenerateAnswer {
  return { status: 200, headers: { 'content-type': 'text/event-stream' }, body: generation.body };
}

/** Makes a whole JSON answer. */
export function whole(generation: FakeGeneration, value: unknown, status = 200): GenerateAnswer {
  generation.body.end(JSON.stringify(value));
  return { status, headers: { 'content-type': 'application/json' }, body: generation.body };
}

const EMPTY_REPORT: EngineReport = {
  incarnation: '',
  ageMs: 0,
  running: 0,
  waiting: 0,
  slots: [],
  fencing: 0,
  role: 'both',
  batchFill: 0,
};

/** Engines whose answers are a script of the test, one for each call in order; the last one stays. */
export class FakeEngines extends EventEmitter {
  readonly calls: FakeGeneration[] = [];

  /** What the engines say of themselves when they are asked; one that is not here can't be reached. */
  readonly incarnations = new Map<string, string>();

  constructor(public scripts: Script[]) {
    super();
  }

  readonly factory = (name: string): EngineClient => {
    const generate = async (call: GenerateCall): Promise<GenerateAnswer> => {
      const generation = new FakeGeneration(name, call);
      const script = this.scripts[Math.min(this.calls.length, this.scripts.length - 1)]!;
      this.calls.push(generation);
      this.emit('call', generation);
      return script(generation);
    };
    const report = async (): Promise<EngineReport> => {
      const incarnation = this.incarnations.get(name);
      if (incarnation === undefined) throw new CeleryyokeError('PeerUnreachable', { peer: name });
      return { ...EMPTY_REPORT, incarnation };
    };
    return { generate, report, close: async () => undefined } as unknown as EngineClient;
  };
}

/** Keeps what was reported of requests. */
export class FakeSuspects implements SuspectRegistry {
  readonly notes: string[] = [];

  suspicion = Suspicion.Clear;

  readonly suspectUpstreams = new Set<string>();

  lookUp(): Suspicion {
    return this.suspicion;
  }

  upstreamsWithSuspects(): ReadonlySet<string> {
    return this.suspectUpstreams;
  }

  started(_fingerprint: string, upstream: string): void {
    this.notes.push(`started ${upstream}`);
  }

  ended(_fingerprint: string, upstream: string, ok: boolean): void {
    this.notes.push(`ended ${upstream} ${ok}`);
  }

  async crashed(upstream: string): Promise<void> {
    this.notes.push(`crashed ${upstream}`);
  }

  /** Upstreams that a suspect can't have to itself. */
  readonly taken = new Set<string>();

  private readonly quarantined: readonly Quarantine[] = [];

  async isolate(_fingerprint: string, upstream: string): Promise<IsolationPass | undefined> {
    if (this.taken.has(upstream)) return undefined;
    this.notes.push(`isolated ${upstream}`);
    return { leave: () => this.notes.push(`left ${upstream}`) };
  }

  quarantines(): readonly Quarantine[] {
    return this.quarantined;
  }

  stop(): void {
    this.notes.push('stopped');
  }
}

/** A ledger of one process. */
export class FakeKeys implements KeyLedger {
  readonly outcomes = new Map<string, KeyOutcome | 'running'>();

  size(): number {
    return this.outcomes.size;
  }

  stop(): void {
    this.outcomes.clear();
  }

  async admit(key: string): Promise<{ settle(outcome: KeyOutcome): Promise<void> }> {
    const state = this.outcomes.get(key);
    if (state !== undefined && state !== KeyOutcome.NotRun)
      throw new CeleryyokeError('KeyAlreadyRan', { state });
    this.outcomes.set(key, 'running');
    return {
      settle: async (outcome) => {
        this.outcomes.set(key, outcome);
      },
    };
  }
}

const NO_LIMITS: CallerLimits = {
  enter: async () => ({ leave: () => undefined }),
  leave: async () => undefined,
  stop: async () => undefined,
};

/** A running server with its fakes. */
export interface Bed {
  readonly server: CallerServer;
  readonly url: string;
  readonly timers: ManualTimerService;
  readonly dispatcher: FakeDispatcher;
  readonly engines: FakeEngines;
  readonly suspects: FakeSuspects;
  readonly keys: FakeKeys;
  readonly leaving: Set<string>;
}

/** What differs in one test. */
export interface BedOptions {
  readonly scripts?: Script[];
  readonly settings?: Partial<CallerSettings>;
  readonly config?: SiteConfig;
  readonly limits?: CallerLimits;
  readonly options?: Partial<CallerServerOptions>;
}

type Answer = HttpDispatcher.ResponseData;

/** A generation's body. */
export const PROMPT = { model: 'brief-7', prompt: 'hi' };

/** Sends a completion as the caller `studio`. */
export function ask(
  { url }: Bed,
  body: unknown = PROMPT,
  headers: Record<string, string> = {},
): Promise<Answer> {
  return request(`${url}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${STUDIO_KEY}`, 'content-type': 'application/json', ...headers },
    body: typeof body === 'string' ? body : JSON.stringify(body),
  });
}

/** Reads the number of the result code that a body holds. */
export async function codeOf(answer: Pick<Answer, 'body'>): Promise<number> {
  const { error } = (await answer.body.json()) as { readonly error: { readonly code: string } };
  return Number(error.code);
}

/** Starts a server on a free port of the loopback. */
export async function startBed({
  scripts = [],
  settings,
  config = SITE,
  limits,
  options,
}: BedOptions): Promise<Bed> {
  const timers = createManualTimers();
  const snapshot = createSnapshot(1, config);
  const holder = createConfigHolder();
  holder.accept(snapshot);
  const dispatcher = new FakeDispatcher();
  const engines = new FakeEngines(scripts);
  const suspects = new FakeSuspects();
  const keys = new FakeKeys();
  const leaving = new Set<string>();
  const server = createCallerServer({
    daemon: 'd1',
    config: holder,
    dispatcher,
    engines: engines.factory,
    keys,
    limits: limits ?? NO_LIMITS,
    suspects,
    membership: { isLive: (name: string) => !leaving.has(name) } as Membership,
    timers,
    retries: { earn: () => undefined, spend: () => ({ delayMs: 0 }), balance: () => 1 },
    log: createSilentLog(),
    metrics: createMetrics(),
    ...(settings === undefined ? {} : { settings }),
    ...options,
  });
  const port = await server.listen('127.0.0.1', 0);
  return { server, url: `http://127.0.0.1:${port}`, timers, dispatcher, engines, suspects, keys, leaving };
}
