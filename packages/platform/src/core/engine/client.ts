/** A client of one engine over HTTP, in the OpenAI-compatible dialect that docs/PLATFORM.md describes. */
import type { TimerService } from '@celeryyoke/core';
import { CeleryyokeError } from '@celeryyoke/core';

import type { ExchangeAnswer, ExchangeCall, Exchanger, WholeAnswer } from '../http/index.js';
import {
  createExchanger,
  headerOf,
  INCARNATION_HEADER,
  NOT_STARTED_HEADER,
  REQUEST_ID_HEADER,
  sendAndRead,
} from '../http/index.js';
import { generateBody } from './body.js';
import { orderCall, orderResult } from './orders.js';
import { parseCacheEvents, parseReport } from './schema.js';
import type {
  CacheEvent,
  EngineClient,
  EngineOrder,
  EngineReport,
  GenerateAnswer,
  GenerateCall,
  OrderResult,
} from './types.js';
import { OrderOutcome } from './types.js';

const DEFAULT_KV_TIMEOUT_MS = 10_000;
const KV_LIMIT_BYTES = 256 * 1024 * 1024;
const NOT_FOUND = 404;
const SERVER_ERROR = 500;

/** Options of an engine client. */
export interface HttpEngineClientOptions {
  /** Engine's name, for errors. */
  readonly name: string;
  /** Base URL. */
  readonly address: string;
  /** Gives time limits. */
  readonly timers: TimerService;
  /** Longest time to set up a connection in milliseconds. */
  readonly connectTimeoutMs?: number;
  /** Longest time to move a KV cache in milliseconds; 10,000 when left out. */
  readonly kvTimeoutMs?: number;
}

function flatten(answer: ExchangeAnswer): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(answer.headers)) {
    flat[name] = typeof value === 'string' ? value : value.join(', ');
  }
  return flat;
}

class HttpEngineClient implements EngineClient {
  private readonly exchanger: Exchanger;

  constructor(private readonly options: HttpEngineClientOptions) {
    this.exchanger = createExchanger(options);
  }

  async generate(call: GenerateCall): Promise<GenerateAnswer> {
    const answer = await this.exchanger.send({
      method: 'POST',
      path: call.path,
      headers: { ...call.trace, 'content-type': 'application/json', [REQUEST_ID_HEADER]: call.requestId },
      body: generateBody(call),
      signal: call.signal,
      isAllowed: call.isAllowed,
    });
    this.check(call, answer);
    return { status: answer.status, headers: flatten(answer), body: answer.body };
  }

  async order(order: EngineOrder): Promise<OrderResult> {
    try {
      const answer = await this.read(orderCall(order), order.timeoutMs);
      return orderResult(order, answer);
    } catch (err) {
      const isNotSent = err instanceof CeleryyokeError && err.isNotRun;
      const reason = err instanceof Error ? err.message : String(err);
      return { outcome: isNotSent ? OrderOutcome.Failed : OrderOutcome.Unknown, reason };
    }
  }

  async report(timeoutMs: number): Promise<EngineReport> {
    const answer = await this.readOk({ method: 'GET', path: '/v1/report', headers: {} }, timeoutMs);
    return parseReport(answer.body.toString('utf8'));
  }

  async cacheEvents(afterSeq: number, timeoutMs: number): Promise<readonly CacheEvent[]> {
    const path = `/v1/cache_events?after=${afterSeq}`;
    const answer = await this.readOk({ method: 'GET', path, headers: {} }, timeoutMs);
    return parseCacheEvents(answer.body.toString('utf8'));
  }

  async exportKv(requestId: string): Promise<Buffer> {
    const path = `/v1/kv/${encodeURIComponent(requestId)}`;
    const answer = await this.readOk({ method: 'GET', path, headers: {} }, this.kvTimeoutMs);
    return answer.body;
  }

  async importKv(requestId: string, data: Buffer): Promise<void> {
    const path = `/v1/kv/${encodeURIComponent(requestId)}`;
    const headers = { 'content-type': 'application/octet-stream' };
    await this.readOk({ method: 'PUT', path, headers, body: data }, this.kvTimeoutMs);
  }

  close(): Promise<void> {
    return this.exchanger.destroy();
  }

  private get kvTimeoutMs(): number {
    return this.options.kvTimeoutMs ?? DEFAULT_KV_TIMEOUT_MS;
  }

  /** Refuses an answer that belongs to another request, or that proves whether this one ran. */
  private check(call: GenerateCall, answer: ExchangeAnswer): void {
    const upstream = this.options.name;
    const echoed = headerOf(answer.headers, REQUEST_ID_HEADER);
    if (echoed !== undefined && echoed !== call.requestId) {
      answer.body.destroy();
      const cause = new Error(`The answer belongs to request "${echoed}".`);
      throw new CeleryyokeError('OutcomeUnknown', { upstream }, { cause });
    }
    // The dialect answers 404 before it runs anything: the adapter is not loaded there.
    const isRefusal = headerOf(answer.headers, NOT_STARTED_HEADER) === '1' || answer.status === NOT_FOUND;
    if (!isRefusal && answer.status < SERVER_ERROR) return;
    answer.body.destroy();
    const cause = new Error(`The engine answered with status ${answer.status}.`);
    throw new CeleryyokeError(isRefusal ? 'UpstreamRefused' : 'OutcomeUnknown', { upstream }, { cause });
  }

  private read(call: ExchangeCall, timeoutMs: number): Promise<WholeAnswer> {
    const { timers } = this.options;
    return sendAndRead(this.exchanger, call, { timers, timeoutMs, limitBytes: KV_LIMIT_BYTES });
  }

  private async readOk(call: ExchangeCall, timeoutMs: number): Promise<WholeAnswer> {
    const answer = await this.read(call, timeoutMs);
    if (answer.status === 200) return answer;
    const incarnation = headerOf(answer.headers, INCARNATION_HEADER) ?? 'unknown';
    const service = `engine "${this.options.name}" (incarnation ${incarnation})`;
    throw new CeleryyokeError('PlatformUnavailable', { service, reason: `status ${answer.status}` });
  }
}

/**
 * Makes a client of one engine; it connects when it is first used.
 * @param options - Name, address and time.
 * @returns The client.
 */
export function createHttpEngineClient(options: HttpEngineClientOptions): EngineClient {
  return new HttpEngineClient(options);
}
