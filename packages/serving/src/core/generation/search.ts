/** Finds an engine for one try: slot lease, isolation of a suspect, and a place in the engine's batch. */
import { CeleryyokeError, Suspicion, toCeleryyokeError } from '@celeryyoke/core';
import type { DispatchGrant, IsolationPass } from '@celeryyoke/fleet';

import type { RequestContext } from '../requests/index.js';
import type { EngineHold, Generation, GenerationServices } from './types.js';

/** A suspect asks again after this many milliseconds when no engine was free of other suspects. */
const ISOLATION_RETRY_MS = 50;

/** Looks for an engine on behalf of one request. */
export class EngineSearch {
  /** Engines that failed the request. */
  readonly failed = new Set<string>();

  /**
   * Makes the search of one request.
   * @param ctx - The request.
   * @param generation - What is generated.
   * @param services - What the search needs.
   */
  constructor(
    private readonly ctx: RequestContext,
    private readonly generation: Generation,
    private readonly services: GenerationServices,
  ) {}

  /**
   * Waits for an engine.
   * @returns The engine, held for one try.
   * @throws CeleryyokeError with a not-run code, or the reason that the request was given up.
   */
  async find(): Promise<EngineHold> {
    const { ctx, services } = this;
    for (;;) {
      const isSuspect = this.lookUp();
      const grant = await this.acquire(isSuspect);
      if (grant !== undefined) {
        const pass = isSuspect ? await this.isolate(grant) : undefined;
        if (!isSuspect || pass !== undefined) return this.enter(grant, pass);
        grant.release(true);
      }
      await services.timers.sleep(ISOLATION_RETRY_MS, ctx.signal);
    }
  }

  private lookUp(): boolean {
    const suspicion = this.services.suspects.lookUp(this.generation.fingerprint);
    if (suspicion === Suspicion.Quarantined) throw new CeleryyokeError('Quarantined');
    return suspicion === Suspicion.Suspect;
  }

  /** Acquires a lease; undefined when only suspects are in the way, which will pass. */
  private async acquire(isSuspect: boolean): Promise<DispatchGrant | undefined> {
    const occupied = isSuspect ? this.services.suspects.upstreamsWithSuspects() : new Set<string>();
    try {
      return await this.ask(new Set([...this.failed, ...occupied]));
    } catch (err) {
      if (toCeleryyokeError(err).kind !== 'NoUpstream') throw err;
      // An engine that failed once is better than none: it may have restarted, or the link may be back.
      if (this.failed.size > 0) {
        this.failed.clear();
        return this.acquire(isSuspect);
      }
      if (occupied.size === 0) throw err;
      return undefined;
    }
  }

  private async ask(excluded: ReadonlySet<string>): Promise<DispatchGrant> {
    const { ctx, generation, services } = this;
    const { id, priority, deadlineAt, signal } = ctx;
    const want = { requestId: id, adapter: generation.adapter, priority, deadlineAt, excluded };
    try {
      return await services.dispatcher.acquire(want, signal);
    } catch (err) {
      throw signal.aborted ? signal.reason : err;
    }
  }

  private isolate(grant: DispatchGrant): Promise<IsolationPass | undefined> {
    return this.services.suspects.isolate(this.generation.fingerprint, grant.engine.name);
  }

  private async enter(grant: DispatchGrant, pass: IsolationPass | undefined): Promise<EngineHold> {
    try {
      const place = await this.services.places.enter(grant.engine, this.ctx);
      return {
        grant,
        queueWaitMs: place.waitMs,
        release: (isSettled) => {
          place.leave();
          pass?.leave();
          grant.release(isSettled);
        },
      };
    } catch (err) {
      pass?.leave();
      grant.release(true);
      throw err;
    }
  }
}
