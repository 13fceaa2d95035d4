/**
 * The account of one caller's limits at the daemon that divides them: what each daemon holds, counted so that the
 * sum never exceeds the limit. A share that shrinks counts in full until its holder confirms.
 */
import type { TimerService } from '@celeryyoke/core';

import { dividePlaces, divideRate, RESERVE_SHARE } from './division.js';
import { burstOf } from './share.js';
import type { GrantItem, HeldItem, ReportItem } from './wire.js';

const MS_PER_SECOND = 1000;
/** With fewer places, or tokens in a burst, for each holder than this, requests are let in one by one. */
const SCARCE_PER_HOLDER = 2;
/** A share this near to its target stays: moving it loses a little, as one shrinks before the other grows. */
const STEADY_SHARE = 0.1;

/** One daemon's part. */
interface Holder {
  readonly incarnation: number;
  /** Upper bounds of what it holds. */
  rate: number;
  places: number;
  demandRate: number;
  demandPlaces: number;
}

/** A share shrinks to its target at once, and grows by no more than what is free. */
function limitGrowth(held: number, target: number, free: number): number {
  return target <= held ? target : held + Math.min(target - held, free);
}

/** The account of one caller. */
export class LimitAccount {
  private readonly holders = new Map<string, Holder>();

  private limitRate = 0;

  private limitPlaces = 0;

  private tokens = 0;

  private filledAt = -Infinity;

  constructor(
    private readonly caller: string,
    private readonly timers: TimerService,
  ) {}

  /** Takes in what a daemon held when this one came to divide the limits. */
  enroll(daemon: string, incarnation: number, held: HeldItem): void {
    const { rate, places } = held;
    if (this.holders.has(daemon)) return;
    this.holders.set(daemon, { incarnation, rate, places, demandRate: 0, demandPlaces: 0 });
  }

  /** Drops the parts of daemons that a test finds ended, and of those that hold and want nothing. */
  prune(isStopped: (daemon: string, incarnation: number) => boolean): void {
    for (const [daemon, { incarnation, rate, places, demandRate, demandPlaces }] of this.holders) {
      const isIdle = rate === 0 && places === 0 && demandRate === 0 && demandPlaces === 0;
      if (isIdle || isStopped(daemon, incarnation)) this.holders.delete(daemon);
    }
  }

  /** Whether nobody has a part. */
  get isIdle(): boolean {
    return this.holders.size === 0;
  }

  /**
   * Takes in a report and answers with the daemon's new share.
   * @param daemon - Who reports.
   * @param incarnation - Its incarnation.
   * @param report - What it holds and wants.
   * @param epoch - Epoch of this daemon's term.
   * @param canGrow - Whether it is known what all daemons hold, so that what is free may be given out.
   * @returns The share.
   */
  exchange(
    daemon: string,
    incarnation: number,
    report: ReportItem,
    epoch: number,
    canGrow: boolean,
  ): GrantItem {
    this.limitRate = report.limitRate;
    this.limitPlaces = report.limitPlaces;
    this.fill();
    const { rate, places, demandRate, demandPlaces } = report;
    const holder = { incarnation, rate, places, demandRate, demandPlaces };
    this.holders.set(daemon, holder);
    const targetRate = this.targetRate(daemon, rate);
    const targetPlaces = this.targetPlaces(daemon, report);
    const newRate = limitGrowth(rate, targetRate, canGrow ? this.freeRate() : 0);
    const newPlaces = limitGrowth(places, targetPlaces, canGrow ? this.freePlaces() : 0);
    holder.rate = Math.max(rate, newRate);
    holder.places = Math.max(places, newPlaces);
    const tokens = canGrow ? Math.min(report.waiting, Math.floor(this.tokens)) : 0;
    this.tokens -= tokens;
    return {
      caller: this.caller,
      epoch,
      rate: newRate,
      places: newPlaces,
      tokens,
      retryAfterMs: this.nextTokenMs(),
      isOneByOne: this.isScarce(this.limitPlaces),
      isComplete: canGrow,
      isOwed: newRate < targetRate || newPlaces < targetPlaces,
    };
  }

  private targetRate(daemon: string, rate: number): number {
    if (this.isScarce(burstOf(this.limitRate))) return 0;
    const demands = new Map([...this.holders].map(([name, holder]) => [name, holder.demandRate]));
    const target = divideRate(this.limitRate, demands).get(daemon) ?? 0;
    const isNear = Math.abs(target - rate) <= rate * STEADY_SHARE;
    const isReserveFree = this.heldRate() <= this.limitRate * (1 - RESERVE_SHARE);
    return isNear && isReserveFree && target > 0 ? rate : target;
  }

  private targetPlaces(daemon: string, { inUse, waiting }: ReportItem): number {
    if (this.isScarce(this.limitPlaces)) return inUse + waiting;
    const demands = new Map([...this.holders].map(([name, holder]) => [name, holder.demandPlaces]));
    return Math.max(dividePlaces(this.limitPlaces, demands).get(daemon) ?? 0, inUse);
  }

  private isScarce(amount: number): boolean {
    return this.holders.size > 1 && amount < SCARCE_PER_HOLDER * this.holders.size;
  }

  private freeRate(): number {
    return Math.max(0, this.limitRate - this.heldRate());
  }

  private heldRate(): number {
    return [...this.holders.values()].reduce((sum, holder) => sum + holder.rate, 0);
  }

  private freePlaces(): number {
    const held = [...this.holders.values()].reduce((sum, holder) => sum + holder.places, 0);
    return Math.max(0, this.limitPlaces - held);
  }

  private fill(): void {
    const now = this.timers.now();
    const free = this.freeRate();
    // A caller that nobody has sent for lately may send its first requests at once.
    const gained = free === 0 ? 0 : ((now - this.filledAt) / MS_PER_SECOND) * free;
    this.filledAt = now;
    this.tokens = Math.min(burstOf(free), this.tokens + gained);
  }

  private nextTokenMs(): number {
    const free = this.freeRate();
    const missing = Math.max(0, 1 - this.tokens);
    return free <= 0 ? MS_PER_SECOND : (missing / free) * MS_PER_SECOND;
  }
}
