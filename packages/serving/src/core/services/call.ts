/** Calls a plain service: any method, bodies streamed both ways, and repeated only where that is safe. */
import { pipeline } from 'node:stream/promises';

import { CeleryyokeError, Suspicion, toCeleryyokeError } from '@celeryyoke/core';
import type { IsolationPass } from '@celeryyoke/fleet';
import type { ExchangeAnswer } from '@celeryyoke/platform';

import type { AttemptRecord } from '../records/index.js';
import type { RequestContext } from '../requests/index.js';
import { headerNames } from '../results/index.js';
import { refusesConnections } from './listening.js';
import type { PickedUpstream } from './pool.js';
import type { PlainCall, PlainServices } from './types.js';

/** Methods that change nothing, so that running them twice does no harm (RFC 9110, 9.2.1). */
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);
/** A suspect asks again after this many milliseconds when no upstream was free of other suspects. */
const ISOLATION_RETRY_MS = 50;
/** Shared by all tries: an abort without a reason makes an exception with a stack for each. */
const TRY_ENDED = new Error('The try has ended.');

/** An upstream with the leave of a suspect to be alone there. */
interface UpstreamHold {
  readonly upstream: PickedUpstream;
  readonly pass: IsolationPass | undefined;
}

/** One call with what it has learned from its tries. */
class ServiceCallRun {
  private readonly failed = new Set<string>();

  constructor(
    private readonly ctx: RequestContext,
    private readonly call: PlainCall,
    private readonly services: PlainServices,
  ) {}

  async run(): Promise<void> {
    const { retries, timers } = this.services;
    retries.earn();
    for (;;) {
      const failure = await this.attempt(await this.find());
      if (failure === undefined) return;
      const { ctx } = this;
      if (ctx.signal.aborted) throw ctx.signal.reason;
      const leave = this.mayRepeat(failure)
        ? retries.spend({ tries: ctx.record.attempts.length, deadlineAt: ctx.deadlineAt })
        : undefined;
      if (leave === undefined) throw failure;
      if (leave.delayMs > 0) await timers.sleep(leave.delayMs, ctx.signal);
    }
  }

  private async find(): Promise<UpstreamHold> {
    const { ctx, call, services } = this;
    const { suspects, timers } = services;
    for (;;) {
      const suspicion = suspects.lookUp(call.fingerprint);
      if (suspicion === Suspicion.Quarantined) throw new CeleryyokeError('Quarantined');
      if (suspicion === Suspicion.Clear) return { upstream: this.pick(new Set()), pass: undefined };
      const upstream = this.pick(suspects.upstreamsWithSuspects());
      const pass = await suspects.isolate(call.fingerprint, upstream.name);
      if (pass !== undefined) return { upstream, pass };
      upstream.release();
      await timers.sleep(ISOLATION_RETRY_MS, ctx.signal);
    }
  }

  private pick(occupied: ReadonlySet<string>): PickedUpstream {
    const { pool } = this.services;
    const { service } = this.call;
    try {
      return pool.pick(service, new Set([...this.failed, ...occupied]));
    } catch (err) {
      // An upstream that failed once is better than none.
      if (this.failed.size === 0) throw err;
      return pool.pick(service, occupied);
    }
  }

  /** Tries one upstream; returns why it failed, or undefined when the answer is complete. */
  private async attempt({ upstream, pass }: UpstreamHold): Promise<CeleryyokeError | undefined> {
    const { ctx, call, services } = this;
    const record = this.open(upstream.name);
    const limit = new AbortController();
    const onAbort = (): void => limit.abort(ctx.signal.reason);
    ctx.signal.addEventListener('abort', onAbort, { once: true });
    const timer = services.timers.after(call.service.timeoutMs, () => {
      limit.abort(new CeleryyokeError('DeadlineDuringRun', { upstream: upstream.name }));
    });
    let isGood = false;
    try {
      await this.deliver(await this.send(upstream, limit.signal), upstream, limit.signal);
      isGood = true;
      record.outcome = 'complete';
      return undefined;
    } catch (err) {
      const failure = limit.signal.aborted
        ? (limit.signal.reason as CeleryyokeError)
        : toCeleryyokeError(err);
      record.outcome = `${failure.code} ${failure.kind}`;
      await this.noteFailure(upstream, failure);
      return failure;
    } finally {
      timer.cancel();
      ctx.signal.removeEventListener('abort', onAbort);
      limit.abort(TRY_ENDED);
      services.suspects.ended(call.fingerprint, upstream.name, isGood);
      pass?.leave();
      upstream.release();
    }
  }

  private open(upstream: string): AttemptRecord {
    const reasons = ['the live, healthy upstream with the least to do'];
    const record: AttemptRecord = {
      upstream,
      reasons,
      loadWaitMs: 0,
      queueWaitMs: 0,
      resumedFrom: 0,
      outcome: 'running',
    };
    this.ctx.record.attempts.push(record);
    return record;
  }

  private async send(upstream: PickedUpstream, signal: AbortSignal): Promise<ExchangeAnswer> {
    const { ctx, call, services } = this;
    const before = ctx.startedOn;
    if (signal.aborted) throw signal.reason;
    services.suspects.started(call.fingerprint, upstream.name);
    ctx.startedOn = upstream.name;
    const leftMs = Math.max(1, Math.floor(ctx.deadlineAt - services.timers.now()));
    try {
      return await upstream.client.call({
        method: call.method,
        path: call.target,
        headers: { ...call.headers, [headerNames.REQUEST_TIMEOUT]: String(leftMs) },
        body: call.isStreamed ? ctx.req : call.body,
        signal,
      });
    } catch (err) {
      if (toCeleryyokeError(err).isNotRun) ctx.startedOn = before;
      throw err;
    }
  }

  /** From here on the call has an answer; if that breaks, the caller's connection is cut so that it sees it. */
  private async deliver(
    answer: ExchangeAnswer,
    upstream: PickedUpstream,
    signal: AbortSignal,
  ): Promise<void> {
    const { res, record, id } = this.ctx;
    record.firstByteMs = this.ctx.elapsedMs();
    for (const [name, value] of Object.entries(answer.headers)) {
      res.setHeader(name, typeof value === 'string' ? value : [...value]);
    }
    res.setHeader(headerNames.REQUEST_ID, id);
    res.setHeader(headerNames.ENGINE, encodeURIComponent(upstream.name));
    res.writeHead(answer.status);
    upstream.succeeded();
    try {
      await pipeline(answer.body, res, { signal });
    } catch (cause) {
      throw new CeleryyokeError('OutcomeUnknown', { upstream: upstream.name }, { cause });
    }
  }

  private async noteFailure(upstream: PickedUpstream, failure: CeleryyokeError): Promise<void> {
    const { ctx, services } = this;
    // A call that was given up says nothing about its upstream.
    if (ctx.signal.aborted) return;
    upstream.failed();
    if (failure.kind !== 'OutcomeUnknown') return;
    const { timers, crashCheckMs, suspects } = services;
    if (await refusesConnections(upstream.address, timers, crashCheckMs))
      await suspects.crashed(upstream.name);
  }

  private mayRepeat(failure: CeleryyokeError): boolean {
    const { ctx, call, services } = this;
    if (ctx.res.headersSent || ctx.record.attempts.length >= services.maxAttempts) return false;
    const isBodyWhole = !call.isStreamed || !(ctx.req.readableDidRead || ctx.req.destroyed);
    if (!isBodyWhole) return false;
    this.failed.add(ctx.record.attempts.at(-1)!.upstream);
    if (failure.kind === 'UpstreamRefused') return true;
    return failure.kind === 'OutcomeUnknown' && SAFE_METHODS.has(call.method) && !call.isNonIdempotent;
  }
}

/**
 * Calls a plain service and writes its whole answer, or throws.
 * @param ctx - The request.
 * @param call - The call.
 * @param services - What it needs.
 * @returns When the answer is complete.
 * @throws CeleryyokeError the honest final result.
 */
export function runServiceCall(ctx: RequestContext, call: PlainCall, services: PlainServices): Promise<void> {
  return new ServiceCallRun(ctx, call, services).run();
}
