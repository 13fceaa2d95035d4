/** One try of a generation on one engine: asks, delivers the answer, and reports how the engine did. */
import type { CeleryyokeError, TimerHandle } from '@celeryyoke/core';
import { CeleryyokeError as ResultError, toCeleryyokeError } from '@celeryyoke/core';
import type { GenerateAnswer } from '@celeryyoke/platform';

import type { RequestContext } from '../requests/index.js';
import { traceHeaders } from '../requests/index.js';
import type { StreamPosition } from '../streams/index.js';
import type { KnownEngine } from './clients.js';
import { noteIncarnation } from './clients.js';
import { askFate, EngineFate } from './crash.js';
import { deliverStream, deliverWhole } from './deliver.js';
import type { EngineHold, Generation, GenerationServices } from './types.js';

const SUCCESS = 200;
const TOO_MANY = 429;
/** Shared by all tries: an abort without a reason makes an exception with a stack for each. */
const TRY_ENDED = new Error('The try has ended.');

/** What one try needs. */
export interface ExchangeOptions {
  readonly ctx: RequestContext;
  readonly generation: Generation;
  readonly services: GenerationServices;
  readonly hold: EngineHold;
  /** Where the caller's stream stands. */
  readonly position: StreamPosition;
}

/** How one try ended. */
export interface ExchangeResult {
  /** Why the answer is not complete; undefined when it is. */
  readonly failure: CeleryyokeError | undefined;
  /** Whether nothing of the request runs on the engine any more. */
  readonly isSettled: boolean;
  /** Whether the engine itself is well, so that the request may go on there. */
  readonly isEngineWell: boolean;
}

/** One try. */
class Exchange {
  private readonly engine: KnownEngine;

  /** Incarnation of the engine that runs the request, as far as it is known. */
  private incarnation: string | undefined;

  /** Whether the head of the engine's answer has come. */
  private isAnswered = false;

  constructor(private readonly options: ExchangeOptions) {
    this.engine = options.services.clients.get(options.hold.grant.engine);
    this.incarnation = this.engine.incarnation;
  }

  async run(): Promise<ExchangeResult> {
    const { ctx } = this.options;
    const cancel = new AbortController();
    const onAbort = (): void => cancel.abort(ctx.signal.reason);
    ctx.signal.addEventListener('abort', onAbort, { once: true });
    const timer = this.boundFirstEvent(cancel);
    try {
      const answer = await this.ask(cancel.signal);
      this.isAnswered = true;
      const isSettled = await this.deliver(answer, () => timer?.cancel());
      this.report(true);
      return { failure: undefined, isSettled, isEngineWell: true };
    } catch (err) {
      return await this.fail(toCeleryyokeError(err));
    } finally {
      timer?.cancel();
      ctx.signal.removeEventListener('abort', onAbort);
      // The engine's answer is cancelled when the try ends, however it ends.
      cancel.abort(TRY_ENDED);
    }
  }

  private get name(): string {
    return this.options.hold.grant.engine.name;
  }

  private async ask(signal: AbortSignal): Promise<GenerateAnswer> {
    const { ctx, generation, services, hold, position } = this.options;
    const before = ctx.startedOn;
    if (ctx.signal.aborted) throw ctx.signal.reason;
    services.suspects.started(generation.fingerprint, this.name);
    ctx.startedOn = this.name;
    try {
      const answer = await this.engine.client.generate({
        path: generation.path,
        body: generation.body,
        requestId: ctx.id,
        priority: ctx.priority,
        trace: traceHeaders(ctx.req),
        ...(position.next > 0 ? { resumeFrom: position.next } : {}),
        signal,
        // Asked in the step that hands the request to a socket: a paused process must not act on an old lease.
        isAllowed: () => hold.grant.isValid(),
      });
      this.incarnation = noteIncarnation(this.engine, answer.headers) ?? this.incarnation;
      return this.checkRefusal(answer);
    } catch (err) {
      if (toCeleryyokeError(err).isNotRun) ctx.startedOn = before;
      throw err;
    }
  }

  /** An engine that answers "too many requests" has not begun this one. */
  private checkRefusal(answer: GenerateAnswer): GenerateAnswer {
    if (answer.status !== TOO_MANY) return answer;
    answer.body.destroy();
    throw new ResultError('UpstreamRefused', { upstream: this.name });
  }

  /** An engine that hangs is given up long before a caller's deadline; a whole answer may take its time. */
  private boundFirstEvent(cancel: AbortController): TimerHandle | undefined {
    const { generation, services } = this.options;
    if (!generation.isStreamed) return undefined;
    const { firstEventMs } = services.limits;
    return services.timers.after(firstEventMs, () => {
      cancel.abort(new Error(`No event came within ${firstEventMs} ms.`));
    });
  }

  private async deliver(answer: GenerateAnswer, onFirst: () => void): Promise<boolean> {
    const { generation } = this.options;
    const delivery = { ...this.options, answer, onFirst };
    const isStream = generation.isStreamed && answer.status === SUCCESS;
    return isStream ? deliverStream(delivery) : deliverWhole(delivery);
  }

  private report(isGood: boolean): void {
    const { services, generation } = this.options;
    services.suspects.ended(generation.fingerprint, this.name, isGood);
    if (isGood) services.health?.succeeded(this.name);
  }

  private async fail(failure: CeleryyokeError): Promise<ExchangeResult> {
    const { ctx, hold } = this.options;
    // A request that was given up, and a lease that lapsed, say nothing about the engine.
    const isOwnDoing = ctx.signal.aborted || (failure.isNotRun && !hold.grant.isValid());
    const isEngineWell = isOwnDoing || (await this.judge(failure));
    this.report(false);
    return { failure, isSettled: failure.isNotRun && !ctx.signal.aborted, isEngineWell };
  }

  /** Finds out whether the engine is to blame, and warns the whole fleet of a crash before anybody tries again. */
  private async judge(failure: CeleryyokeError): Promise<boolean> {
    const { services } = this.options;
    services.health?.failed(this.name);
    if (failure.isNotRun || failure.kind === 'AnswerWrong') return false;
    const { client, introduction } = this.engine;
    const incarnation = this.incarnation ?? (await introduction);
    const fate = await askFate(client, incarnation, services.limits.crashCheckMs);
    if (fate === EngineFate.Crashed) await services.suspects.crashed(this.name);
    return fate === EngineFate.Alive && this.isAnswered;
  }
}

/**
 * Runs one try on an engine.
 * @param options - The request, the engine and where the stream stands.
 * @returns How it ended; it never rejects.
 */
export function runOnEngine(options: ExchangeOptions): Promise<ExchangeResult> {
  return new Exchange(options).run();
}
