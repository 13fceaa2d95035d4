/** What one daemon holds of one caller's limits, and its talk with the daemon that divides them. */
import type { CallerConfig } from '@celeryyoke/configuration';
import type { TimerService } from '@celeryyoke/core';

import { DemandMeter } from './demand.js';
import type { LimitRefusal } from './share.js';
import { burstOf, LimitKind, LimitShare } from './share.js';
import type { GrantItem, ReportItem } from './wire.js';

const ASK_AGAIN_MS = 50;

/** One caller at one daemon. */
export class CallerHolding {
  readonly share: LimitShare;

  readonly demand: DemandMeter;

  /** Requests that wait for an exchange. */
  waiting = 0;

  /** The exchange that goes on, of which a caller has at most one. */
  exchange: Promise<void> | undefined;

  /** The exchange after that one, for those that came too late for it. */
  followUp: Promise<void> | undefined;

  /** Whether this daemon has had a share from one that knows what all daemons hold, or an equal part. */
  isInformed = false;

  /** Whether more is due as soon as other daemons have given it back. */
  isOwed = false;

  private config: CallerConfig;

  private askAgainAt = -Infinity;

  private retryAfterMs = 0;

  private isOneByOne = false;

  constructor(
    config: CallerConfig,
    private readonly timers: TimerService,
    idleAfterMs: number,
  ) {
    this.config = config;
    this.share = new LimitShare(timers);
    this.demand = new DemandMeter(timers, idleAfterMs);
  }

  /** The caller's name. */
  get caller(): string {
    return this.config.name;
  }

  /** Whether nothing is held or runs. */
  get isEmpty(): boolean {
    return this.share.rate === 0 && this.share.places === 0 && this.share.inUse === 0 && this.waiting === 0;
  }

  /** Whether it may be worth asking for more now. */
  get canAsk(): boolean {
    return this.timers.now() >= this.askAgainAt;
  }

  /** Takes in the caller's newest configuration. */
  configure(config: CallerConfig): void {
    this.config = config;
  }

  /** Holds an equal share until there is a daemon that divides. */
  provide(daemons: number): void {
    const rate = this.config.requestsPerSecond / daemons;
    const places = Math.max(1, Math.floor(this.config.concurrency / daemons));
    this.isInformed = true;
    if (this.share.rate === rate && this.share.places === places) return;
    const isFirst = this.share.rate === 0 && this.share.places === 0;
    this.share.resize(rate, places, isFirst ? burstOf(rate) : 0);
  }

  /** Takes a token and a place, or tells what is missing. */
  take(): LimitRefusal | undefined {
    const refusal = this.share.take();
    this.demand.observe(this.share.inUse);
    if (refusal?.kind === LimitKind.Concurrency) this.demand.refuse();
    if (refusal?.kind === LimitKind.Rate && this.share.rate === 0) {
      return { kind: LimitKind.Rate, retryAfterMs: Math.max(refusal.retryAfterMs, this.retryAfterMs) };
    }
    return refusal;
  }

  /** Ends a request; tells whether its place should go back at once. */
  release(heldMs: number): boolean {
    this.share.release(heldMs);
    if (!this.isOneByOne) return false;
    this.share.resize(this.share.rate, this.share.inUse, 0);
    return true;
  }

  /** Makes the report for the daemon that divides the limits. */
  report(): ReportItem {
    const { requestsPerSecond: limitRate, concurrency: limitPlaces } = this.config;
    const { rate, inUse } = this.share;
    return {
      caller: this.caller,
      limitRate,
      limitPlaces,
      rate,
      places: Math.max(this.share.places, inUse),
      demandRate: this.demand.rate,
      demandPlaces: this.demand.places,
      inUse,
      waiting: this.waiting,
    };
  }

  /** Takes in a grant. */
  apply(grant: GrantItem): void {
    const hasGrown = grant.tokens > 0 || grant.rate > this.share.rate || grant.places > this.share.places;
    this.share.resize(grant.rate, grant.places, grant.tokens);
    this.retryAfterMs = grant.retryAfterMs;
    this.isOneByOne = grant.isOneByOne;
    this.isInformed ||= grant.isComplete;
    this.isOwed = grant.isOwed;
    if (!hasGrown) this.askAgainAt = this.timers.now() + ASK_AGAIN_MS;
  }

  /** Gives everything up at once. */
  giveUp(): void {
    this.share.resize(0, 0, 0);
  }
}
