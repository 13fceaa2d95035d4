/** How replicas have answered of late: failures and times, both fading so that a recovered one is tried again. */
import type { TimerService } from '@celeryyoke/core';

/** Time over which what was seen fades, in milliseconds. */
const FADE_MS = 4000;
/** Weight of a new measurement. */
const WEIGHT = 0.15;
/**
 * Time without a byte from a replica with requests in progress after which it counts as silent, in milliseconds: an
 * engine with streams sends every ten, and a plain service takes some hundred at most.
 */
const SILENT_MS = 700;
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

/** Requests on one replica, and since when they wait without a byte from it. */
interface Hearing {
  outstanding: number;
  /** Monotonic time of the last byte, or of the first request after none was outstanding. */
  since: number;
}

/** Failures, latencies and ejections of all replicas. */
export class ReplicaHealth {
  private readonly records = new Map<string, Record>();

  private readonly hearings = new Map<string, Hearing>();

  /**
   * Makes a table that knows of no replica.
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
   * Notes that a request is sent.
   * @param replica - The replica.
   */
  sent(replica: string): void {
    const hearing = this.hearings.get(replica) ?? { outstanding: 0, since: 0 };
    this.hearings.set(replica, hearing);
    if (hearing.outstanding === 0) hearing.since = this.timers.now();
    hearing.outstanding += 1;
  }

  /**
   * Notes bytes of a replica.
   * @param replica - The replica.
   */
  heard(replica: string): void {
    const hearing = this.hearings.get(replica);
    if (hearing !== undefined) hearing.since = this.timers.now();
  }

  /**
   * Notes the end of a request.
   * @param replica - The replica.
   */
  ended(replica: string): void {
    const hearing = this.hearings.get(replica);
    if (hearing === undefined) return;
    hearing.outstanding -= 1;
    if (hearing.outstanding === 0) this.hearings.delete(replica);
  }

  /**
   * Tells whether a replica is left alone for now: it could not be reached, or is silent under requests.
   * @param replica - The replica.
   * @returns Whether it rests.
   */
  isEjected(replica: string): boolean {
    const now = this.timers.now();
    const hearing = this.hearings.get(replica);
    if (hearing !== undefined && now - hearing.since > SILENT_MS) return true;
    return (this.records.get(replica)?.restUntil ?? 0) > now;
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
