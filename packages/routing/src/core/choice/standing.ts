/** How replicas have answered of late: failures and times, both fading so that a recovered one is tried again. */
import type { TimerService } from '@celeryyoke/core';

/** Time over which what was seen fades, in milliseconds. */
const FADE_MS = 4000;
/** Weight of a new measurement. */
const WEIGHT = 0.15;
/** First time for which a replica that can't be reached is left alone, in milliseconds; it doubles. */
const FIRST_REST_MS = 400;
const MAX_REST_MS = 3000;

interface Record {
  failures: number;
  firstByteMs: number;
  at: number;
  restUntil: number;
  restMs: number;
}

/** The standing of all replicas. */
export class Standings {
  private readonly records = new Map<string, Record>();

  /**
   * Makes an empty book.
   * @param timers - Time.
   */
  constructor(private readonly timers: TimerService) {}

  /**
   * Notes how an exchange went.
   * @param replica - The replica.
   * @param isGood - Whether it answered as it should.
   * @param firstByteMs - Time to its first byte, when it answered.
   */
  note(replica: string, isGood: boolean, firstByteMs: number | undefined): void {
    const record = this.of(replica);
    record.failures += WEIGHT * ((isGood ? 0 : 1) - record.failures);
    if (firstByteMs !== undefined) record.firstByteMs += WEIGHT * (firstByteMs - record.firstByteMs);
    if (isGood) record.restMs = 0;
  }

  /**
   * Notes that a replica could not be reached.
   * @param replica - The replica.
   */
  unreachable(replica: string): void {
    const record = this.of(replica);
    record.restMs = Math.min(MAX_REST_MS, Math.max(FIRST_REST_MS, record.restMs * 2));
    record.restUntil = this.timers.now() + record.restMs;
    this.note(replica, false, undefined);
  }

  /**
   * Tells whether a replica is left alone for now.
   * @param replica - The replica.
   * @returns Whether it rests.
   */
  isResting(replica: string): boolean {
    return (this.records.get(replica)?.restUntil ?? 0) > this.timers.now();
  }

  /**
   * Tells the share of failures of late.
   * @param replica - The replica.
   * @returns From 0 to 1.
   */
  failureRate(replica: string): number {
    return this.records.has(replica) ? this.of(replica).failures : 0;
  }

  /**
   * Tells the time to the first byte of late.
   * @param replica - The replica.
   * @returns Milliseconds; 0 when unknown.
   */
  firstByteMs(replica: string): number {
    return this.records.has(replica) ? this.of(replica).firstByteMs : 0;
  }

  /**
   * Forgets a replica that is gone.
   * @param replica - The replica.
   */
  forget(replica: string): void {
    this.records.delete(replica);
  }

  private of(replica: string): Record {
    const now = this.timers.now();
    let record = this.records.get(replica);
    if (record === undefined) {
      record = { failures: 0, firstByteMs: 0, at: now, restUntil: 0, restMs: 0 };
      this.records.set(replica, record);
    }
    const kept = Math.exp((record.at - now) / FADE_MS);
    record.failures *= kept;
    record.firstByteMs *= kept;
    record.at = now;
    return record;
  }
}
