/** Runs one generation: tries engines until the caller has the whole answer or an honest final result. */
import type { CeleryyokeError } from '@celeryyoke/core';

import type { AttemptRecord } from '../records/index.js';
import type { RequestContext } from '../requests/index.js';
import { StreamPosition } from '../streams/index.js';
import { runOnEngine } from './exchange.js';
import { EngineSearch } from './search.js';
import type { EngineHold, Generation, GenerationServices } from './types.js';

/** Failures after which nothing is known of the run, so that only an idempotent request may be tried again. */
const BROKEN = new Set(['OutcomeUnknown', 'StreamBroken', 'AnswerWrong']);

/**
 * Most refusals of one request. A refusal is proof that nothing ran, and an engine that restarted refuses until its
 * owner has told of it, so that refusals do not use up the tries of a stream that has begun; the retry budget and the
 * deadline bound them too.
 */
const MOST_REFUSALS = 8;

/** One generation with what it has learned from its tries. */
class GenerationRun {
  private readonly search: EngineSearch;

  /** Engines that failed the request once. */
  private readonly broken = new Set<string>();

  private readonly position = new StreamPosition();

  /** Tries that an engine refused with the proof that it did not run them. */
  private refusals = 0;

  constructor(
    private readonly ctx: RequestContext,
    private readonly generation: Generation,
    private readonly services: GenerationServices,
  ) {
    this.search = new EngineSearch(ctx, generation, services);
  }

  async run(): Promise<void> {
    const { ctx, services } = this;
    services.retries.earn();
    const leave = services.waiting.enter(ctx);
    let hold: EngineHold;
    try {
      hold = await this.search.find();
    } finally {
      leave();
    }
    for (;;) {
      const failure = await this.attempt(hold);
      if (failure === undefined) return;
      await this.prepareNext(failure);
      hold = await this.search.find();
    }
  }

  /** Tries one engine; returns why it failed, or undefined when the answer is complete. */
  private async attempt(hold: EngineHold): Promise<CeleryyokeError | undefined> {
    const { ctx, generation, services, position } = this;
    const { name } = hold.grant.engine;
    const record = this.open(hold);
    const { failure, isSettled, isEngineWell } = await runOnEngine({
      ctx,
      generation,
      services,
      hold,
      position,
    });
    hold.release(isSettled);
    record.outcome = failure === undefined ? 'complete' : `${failure.code} ${failure.kind}`;
    // Where only the link broke, the adapter is still loaded; an engine that breaks a second time is left.
    if (failure !== undefined && (!isEngineWell || this.broken.has(name))) this.search.failed.add(name);
    if (failure !== undefined) this.broken.add(name);
    return failure;
  }

  private open({ grant, queueWaitMs }: EngineHold): AttemptRecord {
    const record: AttemptRecord = {
      upstream: grant.engine.name,
      reasons: grant.reasons,
      loadWaitMs: grant.loadWaitMs,
      queueWaitMs,
      resumedFrom: this.position.next,
      outcome: 'running',
    };
    this.ctx.record.attempts.push(record);
    return record;
  }

  /** Waits for the next try, or throws the final result when there is none. */
  private async prepareNext(failure: CeleryyokeError): Promise<void> {
    const { ctx, services } = this;
    if (ctx.signal.aborted) throw ctx.signal.reason;
    if (failure.kind === 'UpstreamRefused') this.refusals += 1;
    if (!this.mayGoOn(failure)) throw failure;
    const tries = ctx.record.attempts.length;
    const leave = services.retries.spend({ tries, deadlineAt: ctx.deadlineAt });
    if (leave === undefined) throw failure;
    if (leave.delayMs > 0) await services.timers.sleep(leave.delayMs, ctx.signal);
  }

  /** Whether another try can neither run the request twice where it must not, nor give the caller a token twice. */
  private mayGoOn(failure: CeleryyokeError): boolean {
    const { ctx, generation, services, position } = this;
    // A caller that has part of its answer loses it when the search ends; the others are told when to come back.
    const spared = position.next > 0 ? this.refusals : 0;
    const tries = ctx.record.attempts.length - spared;
    if (tries >= services.limits.maxAttempts || this.refusals >= MOST_REFUSALS) return false;
    if (!position.canGoOn) return false;
    if (failure.kind === 'UpstreamRefused') return true;
    return BROKEN.has(failure.kind) && !generation.isNonIdempotent;
  }
}

/**
 * Runs a generation and writes its whole answer, or throws.
 * @param ctx - The request.
 * @param generation - What is generated.
 * @param services - What it needs.
 * @returns When the answer is complete.
 * @throws CeleryyokeError the final result; when the head has gone out, it belongs into the stream.
 */
export function runGeneration(
  ctx: RequestContext,
  generation: Generation,
  services: GenerationServices,
): Promise<void> {
  return new GenerationRun(ctx, generation, services).run();
}
