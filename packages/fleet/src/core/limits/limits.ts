/** Limits of callers: this daemon lets requests in from its shares, which follow the demand. */
import type { CallerConfig } from '@celeryyoke/configuration';
import type { Task } from '@celeryyoke/core';
import { CeleryyokeError, runTask } from '@celeryyoke/core';
import { HostRole } from '@celeryyoke/platform';

import { LimitBank } from './bank.js';
import { ShareExchange } from './exchange.js';
import { CallerHolding } from './holding.js';
import type { LimitRefusal } from './share.js';
import { LimitKind } from './share.js';
import type { CallerLimits, CallerLimitsOptions, LimitPass } from './types.js';
import { EXCHANGE, SURVEY } from './wire.js';

const DEFAULT_EXCHANGE_MS = 200;
const DEFAULT_IDLE_AFTER_MS = 5000;
const MS_PER_SECOND = 1000;
/** Time after the start in which a request waits for this daemon to learn what the fleet holds. */
const STARTUP_MS = 5000;
/** Longest time in which a request waits for a share that is due to this daemon and on its way. */
const OWED_WAIT_MS = 2000;
const POLL_MS = 50;
const LEAST_WAIT_MS = 1;

function refuse(refusal: LimitRefusal): CeleryyokeError {
  const retryAfter = refusal.retryAfterMs / MS_PER_SECOND;
  return new CeleryyokeError('LimitExceeded', { limit: refusal.kind }, { retryAfter });
}

/** Limits of one daemon. */
class SharedLimits implements CallerLimits {
  private readonly holdings = new Map<string, CallerHolding>();

  private readonly bank: LimitBank;

  private readonly exchange: ShareExchange;

  private readonly task: Task<void>;

  private readonly startedAt: number;

  constructor(private readonly options: CallerLimitsOptions) {
    const { bus } = options;
    this.startedAt = options.timers.now();
    this.bank = new LimitBank(options);
    this.exchange = new ShareExchange(options, this.holdings);
    bus.handle(EXCHANGE, (message, from) => this.bank.exchange(message, from));
    bus.handle(SURVEY, async (message) => this.exchange.survey(message));
    this.task = this.runRounds();
  }

  async enter(caller: CallerConfig, signal?: AbortSignal): Promise<LimitPass> {
    const holding = this.find(caller);
    holding.demand.arrive();
    this.provide(holding);
    let refusal = holding.take();
    if (refusal !== undefined && holding.canAsk) refusal = await this.ask(holding, signal);
    const begun = this.options.timers.now();
    while (refusal !== undefined && this.isOnItsWay(holding, begun)) {
      await this.options.timers.sleep(POLL_MS, signal);
      refusal = await this.ask(holding, signal);
    }
    if (refusal?.kind === LimitKind.Rate) refusal = await this.awaitToken(holding, refusal, signal);
    if (refusal !== undefined) throw refuse(refusal);
    return this.pass(holding);
  }

  /** A share that has just been granted holds no token yet; those who waited for it take the first ones in turn. */
  private async awaitToken(
    holding: CallerHolding,
    first: LimitRefusal,
    signal?: AbortSignal,
  ): Promise<LimitRefusal | undefined> {
    const { timers } = this.options;
    const dueBy = timers.now() + POLL_MS;
    let refusal: LimitRefusal | undefined = first;
    while (refusal?.kind === LimitKind.Rate && timers.now() + refusal.retryAfterMs <= dueBy) {
      await timers.sleep(Math.max(LEAST_WAIT_MS, refusal.retryAfterMs), signal);
      refusal = holding.take();
    }
    return refusal;
  }

  async leave(): Promise<void> {
    for (const holding of this.holdings.values()) holding.giveUp();
    await this.exchange.sendAll();
  }

  async stop(): Promise<void> {
    await this.task.stop();
  }

  private async ask(holding: CallerHolding, signal?: AbortSignal): Promise<LimitRefusal | undefined> {
    const asking = holding;
    asking.waiting += 1;
    try {
      await this.exchange.ask(asking);
    } finally {
      asking.waiting -= 1;
    }
    signal?.throwIfAborted();
    this.provide(asking);
    return asking.take();
  }

  /** Whether the request would be refused for no more than that this daemon's share has not come yet. */
  private isOnItsWay(holding: CallerHolding, begun: number): boolean {
    const now = this.options.timers.now();
    if (!holding.isInformed && now - this.startedAt < STARTUP_MS) return true;
    // The dividing daemon may be changing; a daemon that has not heard of it yet does not know that it has nothing.
    return (holding.isOwed || !holding.isInformed) && now - begun < OWED_WAIT_MS;
  }

  private runRounds(): Task<void> {
    const { timers, exchangeMs = DEFAULT_EXCHANGE_MS } = this.options;
    const round = (): Promise<void> => this.round();
    return runTask(function* rounds(signal) {
      for (;;) {
        yield timers.sleep(exchangeMs, signal);
        yield round();
      }
    });
  }

  private async round(): Promise<void> {
    const isFormed = this.options.custody.isFormed();
    for (const holding of this.holdings.values()) {
      holding.demand.roll(holding.share.inUse);
      if (this.isUnlisted()) holding.giveUp();
      const isIdle = holding.demand.isIdle && holding.share.inUse === 0;
      if (isIdle && (holding.isEmpty || !isFormed)) this.holdings.delete(holding.caller);
    }
    this.bank.prune();
    await this.exchange.sendAll();
  }

  private find(caller: CallerConfig): CallerHolding {
    let holding = this.holdings.get(caller.name);
    if (holding === undefined) {
      const { timers, idleAfterMs = DEFAULT_IDLE_AFTER_MS } = this.options;
      holding = new CallerHolding(caller, timers, idleAfterMs);
      this.holdings.set(caller.name, holding);
    }
    holding.configure(caller);
    return holding;
  }

  private pass(holding: CallerHolding): LimitPass {
    const { timers } = this.options;
    const begun = timers.now();
    let hasLeft = false;
    return {
      leave: () => {
        if (hasLeft) return;
        hasLeft = true;
        if (holding.release(timers.now() - begun)) void this.exchange.ask(holding);
      },
    };
  }

  /** At the first start of a fleet, before any daemon divides limits, each that sees most others takes its part. */
  private provide(holding: CallerHolding): void {
    const { custody, membership, bus } = this.options;
    if (custody.isFormed()) return;
    const names = membership.hosts(HostRole.Entry).map((host) => host.name);
    const seen = names.filter((name) => name === bus.self.name || membership.isReachable(name));
    if (seen.length * 2 > names.length) holding.provide(names.length);
  }

  /** Whether the host list names others but not this daemon, whose shares then count as lost. */
  private isUnlisted(): boolean {
    const { bus, membership } = this.options;
    return membership.hosts(HostRole.Entry).length > 0 && membership.findHost(bus.self.name) === undefined;
  }
}

/**
 * Makes the limits of callers of one daemon.
 * @param options - Peers, custody and time.
 * @returns The limits, which have begun to exchange shares.
 */
export function createCallerLimits(options: CallerLimitsOptions): CallerLimits {
  return new SharedLimits(options);
}
